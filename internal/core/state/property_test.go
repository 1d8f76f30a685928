package state_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"laburnumdock/internal/codec"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

var epoch = time.Date(2026, 3, 1, 18, 0, 0, 0, time.UTC)

func named(t *rapid.T, prefix string, n int) string {
	return fmt.Sprintf("%s%d", prefix, rapid.IntRange(0, n-1).Draw(t, prefix))
}

// declared is a state with two pools, two hosts and a budget, so that random
// commands often have something to act on.
func declared() *state.State {
	s := state.New()
	for _, obj := range []model.Object{
		&model.Pool{Meta: model.Meta{Kind: model.KindPool, Name: "n0"}},
		&model.Pool{Meta: model.Meta{Kind: model.KindPool, Name: "n1"}},
		&model.Host{Meta: model.Meta{Kind: model.KindHost, Name: "n0"}, Spec: model.HostSpec{Pool: "n0", Zone: "a", Rack: "r", Cores: 1, MemoryMB: 1}},
		&model.Host{Meta: model.Meta{Kind: model.KindHost, Name: "n1"}, Spec: model.HostSpec{Pool: "n0", Zone: "a", Rack: "r", Cores: 1, MemoryMB: 1}},
		&model.Budget{Meta: model.Meta{Kind: model.KindBudget, Name: "n0"}, Spec: model.BudgetSpec{Pool: "n0", MaxPlannedStops: 2}},
		&model.Job{Meta: model.Meta{Kind: model.KindJob, Name: "n0"}, Spec: model.JobSpec{Pool: "n0", Tasks: 2}},
		&model.Wave{Meta: model.Meta{Kind: model.KindWave, Name: "n0"}, Spec: model.WaveSpec{Pools: []string{"n0"}, Started: true}},
	} {
		s.Apply(s.Version()+1, state.Put{Origin: state.Origin{Time: epoch}, Object: obj})
	}
	return s
}

func drawObject(t *rapid.T) model.Object {
	kind := rapid.SampledFrom(model.Kinds()).Draw(t, "kind")
	obj := model.New(kind)
	obj.Metadata().Name = named(t, "n", 3)
	pool := named(t, "n", 3)
	count := rapid.IntRange(-1, 3).Draw(t, "count")
	switch o := obj.(type) {
	case *model.Pool:
		o.Spec.MinHosts = count
	case *model.Host:
		o.Spec = model.HostSpec{Pool: pool, Zone: "a", Rack: "r", Cores: count, MemoryMB: 1}
	case *model.Job:
		o.Spec = model.JobSpec{Pool: pool, Team: named(t, "n", 3), Tasks: count, Cores: 1}
	case *model.Budget:
		o.Spec = model.BudgetSpec{Pool: pool, MinHealthy: count, MaxPlannedStops: 1}
	case *model.Wave:
		o.Spec = model.WaveSpec{Pools: []string{pool}, Started: rapid.Bool().Draw(t, "started"), MaxParallel: count}
	case *model.Team:
		o.Spec.QuotaCores = count
	case *model.Config:
		o.Spec.Values = map[string]string{"a": fmt.Sprint(count)}
	}
	return obj
}

func drawOrigin(t *rapid.T) state.Origin {
	// The time of the origin jumps back now and then, as after a change of
	// leader.
	o := state.Origin{Actor: "ana", Source: "test", Time: epoch.Add(time.Duration(rapid.IntRange(-60, 1500).Draw(t, "second")) * time.Second)}
	if rapid.Bool().Draw(t, "idempotent") {
		o.ChangeID = named(t, "change", 20)
		o.IssuedAt = epoch
		o.Digest = uint64(rapid.IntRange(0, 1).Draw(t, "digest"))
	}
	return o
}

func drawRecord(t *rapid.T) state.RequestRecord {
	n := rapid.IntRange(0, 4).Draw(t, "request")
	return state.RequestRecord{
		ID: fmt.Sprintf("r%d", n), Phase: state.RequestPhase(rapid.IntRange(0, 5).Draw(t, "phase")), EntryHost: named(t, "e", 2),
		Digest: []byte{byte(n)}, Status: 200, Body: []byte("answer"), Expires: epoch.Add(time.Duration(n*300) * time.Second),
	}
}

func drawCommand(t *rapid.T, s *state.State) state.Command {
	expected := rapid.SampledFrom([]uint64{0, 1, 2, 3, 5, 8, state.AnyVersion, state.AnyVersion, state.AnyVersion}).Draw(t, "expected")
	switch rapid.IntRange(0, 16).Draw(t, "command") {
	case 0, 1, 2, 3, 4, 5:
		return state.Put{Origin: drawOrigin(t), Object: drawObject(t), Expected: expected}
	case 6:
		return state.Delete{Origin: drawOrigin(t), Key: drawObject(t).Metadata().Key(), Expected: expected}
	case 7:
		health := rapid.SampledFrom([]model.Health{model.HealthHealthy, model.HealthHealthy, model.HealthUnhealthy}).Draw(t, "health")
		boot := fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "boot"))
		return state.HostReport{Origin: drawOrigin(t), Hosts: []state.HostObservation{{Host: named(t, "n", 2), Health: health, BootID: boot, Observed: epoch.Add(time.Hour)}}}
	case 8:
		return state.RecordRequests{Origin: drawOrigin(t), Records: []state.RequestRecord{drawRecord(t), drawRecord(t)}}
	}
	return drawStep(t, s)
}

// versionOf returns the version of a resource, now and then a wrong one.
func versionOf(t *rapid.T, s *state.State, kind model.Kind, name string) uint64 {
	obj := s.Get(model.Key{Kind: kind, Name: name})
	if obj == nil || rapid.IntRange(0, 9).Draw(t, "outdated") == 0 {
		return 1
	}
	return obj.Metadata().Version
}

// drawStep returns a command of the planner.
func drawStep(t *rapid.T, s *state.State) state.Command {
	name := named(t, "n", 2)
	switch rapid.IntRange(0, 6).Draw(t, "step") {
	case 0, 1, 2:
		phases := []model.HostPhase{model.HostActive, model.HostDraining, model.HostDrained, model.HostRebooting, model.HostReturning}
		step := state.HostStep{Origin: drawOrigin(t), Host: name, Expected: versionOf(t, s, model.KindHost, name), To: rapid.SampledFrom(phases).Draw(t, "to")}
		step.Cancel = rapid.IntRange(0, 5).Draw(t, "cancel") == 0
		step.Stop = &model.PlannedStop{Action: rapid.SampledFrom([]model.StopAction{model.StopDrain, model.StopReboot, model.StopMove}).Draw(t, "action")}
		if step.Stop.Action == model.StopMove {
			step.Stop.TargetPool = named(t, "n", 3)
		}
		return step
	case 3:
		phase := rapid.SampledFrom([]model.WavePhase{model.WaveRunning, model.WavePaused, model.WaveFinished}).Draw(t, "phase")
		return state.WaveStep{Origin: drawOrigin(t), Wave: name, Expected: versionOf(t, s, model.KindWave, name), Status: model.WaveStatus{Phase: phase, Total: 1}}
	case 4:
		states := []model.TaskState{model.TaskPending, model.TaskStarting, model.TaskRunning, model.TaskFinished}
		task := model.Task{State: rapid.SampledFrom(states).Draw(t, "task"), Host: named(t, "n", 3), Epoch: uint64(rapid.IntRange(0, 2).Draw(t, "epoch")), LeaseUntil: epoch.Add(time.Hour)}
		return state.TaskStep{Origin: drawOrigin(t), Job: name, Expected: versionOf(t, s, model.KindJob, name), Tasks: []model.Task{task}}
	case 5:
		pool, budget := model.New(model.KindPool).(*model.Pool), model.New(model.KindBudget).(*model.Budget)
		pool.Name, budget.Name = name, name
		pool.Status.Healthy = rapid.IntRange(0, 2).Draw(t, "healthy")
		budget.Status = model.BudgetStatus{Healthy: pool.Status.Healthy, Observed: epoch}
		return state.StatusStep{Origin: drawOrigin(t), Objects: []model.Object{pool, budget}}
	}
	return state.Tick{Origin: drawOrigin(t)}
}

// recoded returns what another replica sees of a command: its stored form.
func recoded(t require.TestingT, cmd state.Command) state.Command {
	data, err := codec.EncodeCommand(cmd)
	require.NoError(t, err)
	again, err := codec.DecodeCommand(data)
	require.NoError(t, err)
	return again
}

func dumped(t require.TestingT, s *state.State) []byte {
	data, err := codec.EncodeDump(s.Dump())
	require.NoError(t, err)
	return data
}

func resultBytes(t require.TestingT, r state.Result) string {
	data, err := codec.EncodeResult(r)
	require.NoError(t, err)
	return string(data)
}

// Guards against replicas that disagree: one that applies commands as they
// were made, one that decodes them, and one that was restored from a snapshot
// in between. Guards as well against versions or time that go back.
func TestReplicasAgreeAfterRestore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := declared(), declared()
		commands := rapid.IntRange(1, 120).Draw(t, "commands")
		restoreAt := rapid.IntRange(0, commands-1).Draw(t, "restoreAt")
		versions := make(map[model.Key]uint64)
		for i := range commands {
			cmd := drawCommand(t, first)
			before := first.Now()
			index := first.Version() + 1
			a := first.Apply(index, cmd)
			b := second.Apply(index, recoded(t, cmd))
			require.Equal(t, resultBytes(t, a), resultBytes(t, b))
			require.False(t, first.Now().Before(before), "time went back")
			checkVersions(t, first.Snapshot(), versions)
			if i == restoreAt {
				d, err := codec.DecodeDump(dumped(t, second))
				require.NoError(t, err)
				second = state.Restore(d)
			}
			require.Equal(t, dumped(t, first), dumped(t, second))
		}
	})
}

func checkVersions(t require.TestingT, snap *state.Snapshot, seen map[model.Key]uint64) {
	for _, kind := range model.Kinds() {
		for _, obj := range snap.List(kind) {
			head := obj.Metadata()
			require.GreaterOrEqual(t, head.Version, seen[head.Key()])
			require.LessOrEqual(t, head.Version, snap.Version)
			seen[head.Key()] = head.Version
		}
	}
}

// Guards against two operators who both win with the same expected version,
// and against a resent change that gets another answer than the first.
func TestOneWinnerAndStableAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := state.New()
		type sent struct {
			put    state.Put
			result state.Result
		}
		first := make(map[string]sent)
		wins := make(map[uint64]int)
		for i := range rapid.IntRange(1, 40).Draw(t, "changes") {
			id := named(t, "id", 25)
			earlier, resent := first[id]
			put := earlier.put
			if !resent {
				team := &model.Team{Meta: model.Meta{Kind: model.KindTeam, Name: "x"}, Spec: model.TeamSpec{QuotaCores: i + 1}}
				expected := uint64(rapid.IntRange(0, i).Draw(t, "expected"))
				put = state.Put{Origin: state.Origin{ChangeID: id, IssuedAt: epoch, Time: epoch, Digest: uint64(i)}, Object: team, Expected: expected}
			}
			res := s.Apply(uint64(i+1), put)
			if resent {
				require.True(t, res.Replayed)
				require.Equal(t, earlier.result.Version, res.Version)
				require.Equal(t, earlier.result.Err, res.Err)
				continue
			}
			first[id] = sent{put, res}
			if res.Err == nil {
				wins[put.Expected]++
				require.Equal(t, 1, wins[put.Expected], "two winners for one version")
			} else {
				require.Equal(t, fault.Conflict, res.Err.Kind)
			}
		}
	})
}

// Guards against events from which a relay cannot rebuild the resources.
func TestEventsRebuildTheResources(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := state.New()
		for i := range rapid.IntRange(1, 60).Draw(t, "commands") {
			s.Apply(uint64(i+1), drawCommand(t, s))
		}
		snap := s.Snapshot()
		rebuilt := make(map[model.Key]uint64)
		events, err := snap.EventsAfter(0)
		require.Nil(t, err)
		for _, e := range events {
			rebuilt[e.Key] = e.Version
			if e.Object == nil {
				delete(rebuilt, e.Key)
			}
		}
		current := make(map[model.Key]uint64)
		checkVersions(t, snap, current)
		require.Equal(t, current, rebuilt)
	})
}
