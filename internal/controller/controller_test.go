package controller_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/controller"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/fleet"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
	"laburnumdock/internal/logevent"
	"laburnumdock/internal/platform"
	"laburnumdock/internal/standin"
)

// clockSpeed is the factor by which the test clock is faster than real time. A
// slow machine makes health reports stale, which delays a result but does not
// change it.
const clockSpeed = 10

// waitTimeout is the longest time for which a test waits for an event. Tests
// continue as soon as the event occurs.
const waitTimeout = 2 * time.Minute

// cell is a control state that several backends share, as the replicas of a cell
// do.
type cell struct {
	mutex   sync.Mutex
	s       *state.State
	snap    *state.Snapshot
	changed chan struct{}
	start   time.Time
	leader  int
	// rejectProposals makes all proposals fail, as in a cell without a quorum.
	rejectProposals bool
}

func newCell() *cell {
	s := state.New()
	return &cell{s: s, snap: s.Snapshot(), changed: make(chan struct{}), start: time.Now()}
}

func (c *cell) now() time.Time {
	return c.start.Add(clockSpeed * time.Since(c.start)).UTC()
}

// replica is the backend of one replica. Only the leader's proposals are applied.
type replica struct {
	*cell
	id int
}

func (r replica) Propose(_ context.Context, cmd state.Command) (state.Result, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.leader != r.id || r.rejectProposals {
		return state.Result{}, fault.New(fault.NotLeader, "replica %d does not lead", r.id)
	}
	return r.apply(cmd), nil
}

func (c *cell) apply(cmd state.Command) state.Result {
	res := c.s.Apply(c.s.Version()+1, cmd)
	c.snap = c.s.Snapshot()
	close(c.changed)
	c.changed = make(chan struct{})
	return res
}

func (r replica) Snapshot() *state.Snapshot {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.snap
}

func (r replica) Changed() <-chan struct{} {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.changed
}

func (r replica) IsLeader() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.leader == r.id
}

func (r replica) Now() time.Time { return r.now() }

// harness runs a cell with a stand-in platform and one controller per replica.
type harness struct {
	*cell
	t           *testing.T
	platform    *standin.Platform
	controllers []*controller.Controller
}

func newHarness(t *testing.T, hosts, replicas int, cfg standin.PlatformConfig) *harness {
	x := &harness{cell: newCell(), t: t}
	cfg.Now = x.now
	if cfg.RebootTime == 0 {
		cfg.RebootTime = 5 * time.Second
	}
	var list []standin.PlatformHost
	x.put("pools", "a", func(model.Object) {})
	for i := range hosts {
		h := standin.PlatformHost{Host: fmt.Sprintf("host-%02d", i), Pool: "a", Zone: fmt.Sprintf("zone-%d", i/2%3), Rack: fmt.Sprintf("rack-%d", i/2)}
		list = append(list, h)
		x.put("hosts", h.Host, func(o model.Object) {
			o.(*model.Host).Spec = model.HostSpec{Pool: "a", Zone: h.Zone, Rack: h.Rack, Cores: 16, MemoryMB: 64 << 10}
		})
	}
	x.put("budgets", "a", func(o model.Object) {
		o.(*model.Budget).Spec = model.BudgetSpec{Pool: "a", MinHealthy: hosts / 2, MaxPlannedStops: 2}
	})
	x.platform = standin.NewPlatform(cfg, list)
	server := httptest.NewServer(x.platform.Handler())
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, replicas)
	for id := range replicas {
		c := controller.New(controller.Config{Backend: replica{x.cell, id}, Platform: platform.New(server.URL), Interval: 50 * time.Millisecond, Log: logevent.Discard()})
		x.controllers = append(x.controllers, c)
		go func() { done <- c.Run(ctx) }()
	}
	t.Cleanup(func() {
		stop()
		for range replicas {
			require.NoError(t, <-done)
		}
		server.Close()
	})
	return x
}

func (x *harness) put(kind model.Kind, name string, change func(model.Object)) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	obj := model.New(kind)
	obj.Metadata().Name = name
	change(obj)
	require.Nil(x.t, x.apply(state.Put{Origin: state.Origin{Time: x.now()}, Object: obj, Expected: state.AnyVersion}).Err)
}

func (x *harness) get(kind model.Kind, name string) model.Object {
	return replica{x.cell, 0}.Snapshot().Get(model.Key{Kind: kind, Name: name})
}

func (x *harness) setLeader(id int) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.leader = id
}

func (x *harness) eventually(what string, holds func() bool) {
	x.t.Helper()
	require.Eventually(x.t, holds, waitTimeout, 10*time.Millisecond, what)
}

func (x *harness) startWave(parallel int) {
	x.put("waves", "w", func(o model.Object) {
		o.(*model.Wave).Spec = model.WaveSpec{Pools: []string{"a"}, Started: true, MaxParallel: parallel}
	})
}

func (x *harness) waveStatus() model.WaveStatus { return x.get("waves", "w").(*model.Wave).Status }

func (x *harness) isWaveFinished() bool { return x.waveStatus().Phase == model.WaveFinished }

// Guards against a wave whose decisions do not reach the platform, and against
// hosts that reboot twice or while they run work.
func TestWaveRebootsEveryHostOnce(t *testing.T) {
	t.Parallel()
	x := newHarness(t, 6, 1, standin.PlatformConfig{ReportLag: time.Second})
	x.startWave(2)
	x.eventually("wave finishes", x.isWaveFinished)
	for i := range 6 {
		name := fmt.Sprintf("host-%02d", i)
		require.Equal(t, name+"-boot-2", x.get("hosts", name).(*model.Host).Status.BootID)
	}
	require.Len(t, x.waveStatus().Done, 6)
}

// Guards against a leader change after which a wave repeats or skips a host.
func TestWaveContinuesAfterLeaderChange(t *testing.T) {
	t.Parallel()
	x := newHarness(t, 6, 3, standin.PlatformConfig{})
	x.startWave(2)
	for i := 1; !x.isWaveFinished(); i++ {
		before := len(x.waveStatus().Done)
		x.eventually("wave makes progress", func() bool { return x.isWaveFinished() || len(x.waveStatus().Done) > before })
		x.setLeader(i % 3)
	}
	for i := range 6 {
		name := fmt.Sprintf("host-%02d", i)
		require.Equal(t, name+"-boot-2", x.get("hosts", name).(*model.Host).Status.BootID)
	}
}

// Guards against planned stops while the health of the hosts is unknown because
// the platform is unreachable.
func TestPlannedStopsWaitForPlatform(t *testing.T) {
	t.Parallel()
	x := newHarness(t, 6, 1, standin.PlatformConfig{})
	x.eventually("hosts are healthy", func() bool { return x.get("hosts", "host-05").(*model.Host).Available() })
	x.platform.SetDown(true)
	downAt := x.now()
	x.eventually("health expires", func() bool { return x.now().Sub(downAt) > 2*state.MaxHealthAge })
	x.startWave(2)
	x.eventually("wave runs", func() bool { return x.waveStatus().Phase == model.WaveRunning })
	runningAt := x.now()
	x.eventually("time passes", func() bool { return x.now().Sub(runningAt) > 2*state.MaxHealthAge })
	require.Empty(t, x.waveStatus().Done)
	for i := range 6 {
		require.Equal(t, model.HostActive, x.get("hosts", fmt.Sprintf("host-%02d", i)).(*model.Host).Status.Phase)
	}
	x.platform.SetDown(false)
	x.eventually("wave finishes", x.isWaveFinished)
}

// Guards against platform calls for decisions that were not committed.
func TestNoPlatformCallBeforeCommit(t *testing.T) {
	t.Parallel()
	x := newHarness(t, 6, 1, standin.PlatformConfig{})
	x.eventually("hosts are healthy", func() bool { return x.get("hosts", "host-05").(*model.Host).Available() })
	x.mutex.Lock()
	x.rejectProposals = true
	x.mutex.Unlock()
	x.startWave(2)
	started := x.now()
	x.eventually("time passes", func() bool { return x.now().Sub(started) > state.MaxHealthAge })
	for _, h := range listPlatform(t, x.platform).Hosts {
		require.False(t, h.Draining)
	}
	x.mutex.Lock()
	x.rejectProposals = false
	x.mutex.Unlock()
	x.eventually("wave finishes", x.isWaveFinished)
}

func listPlatform(t *testing.T, p *standin.Platform) platform.Listing {
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	l, err := platform.New(server.URL).List(context.Background())
	require.NoError(t, err)
	return l
}

// Guards against tasks that do not reach the hosts, and against a host that fails
// all its tasks and so blocks the jobs.
func TestJobsRunToCompletion(t *testing.T) {
	t.Parallel()
	x := newHarness(t, 4, 1, standin.PlatformConfig{TaskTime: 10 * time.Second})
	x.platform.SetTasksFailing("host-01", true)
	for i := range 4 {
		x.put("jobs", fmt.Sprintf("j%d", i), func(o model.Object) {
			o.(*model.Job).Spec = model.JobSpec{Pool: "a", Tasks: 4, Cores: 4, MemoryMB: 1024, Priority: model.PriorityNormal}
		})
	}
	x.eventually("jobs finish", func() bool {
		for i := range 4 {
			job := x.get("jobs", fmt.Sprintf("j%d", i)).(*model.Job)
			for _, task := range job.Status.Tasks {
				if task.State != model.TaskFinished {
					return false
				}
			}
			if len(job.Status.Tasks) < 4 {
				return false
			}
		}
		return true
	})
}

// Guards against load reports that do not reach the planner, and against a move
// that does not reach the platform.
func TestSustainedLoadMovesHost(t *testing.T) {
	t.Parallel()
	x := newHarness(t, 4, 1, standin.PlatformConfig{})
	x.put("pools", "a", func(o model.Object) { o.(*model.Pool).Spec.Spare = true })
	x.put("pools", "b", func(o model.Object) { o.(*model.Pool).Spec.SpareFrom = "a" })
	started := x.now()
	x.eventually("host is moved", func() bool {
		x.controllers[0].EnqueueLoads([]fleet.Load{{EntryHost: "e", Service: "b", InFlight: 20, Observed: x.now()}})
		for _, h := range listPlatform(t, x.platform).Hosts {
			if h.Pool == "b" && !h.Draining {
				return true
			}
		}
		return false
	})
	require.Greater(t, x.now().Sub(started), fleet.NeedFor)
}
