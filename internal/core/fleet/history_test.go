package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"laburnumdock/internal/core/fleet"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

// chooser draws a number below n.
type chooser func(n int) int

// history is a random run: failures, operators and two planners, one of which
// works on an old snapshot, as during a failover.
type history struct {
	*world
	draw     chooser
	planners [2]*fleet.Planner
	// demand outlives planners, so that lasting needs come up in short runs.
	demand *fleet.Demand
	load   int
	// old is a snapshot from some steps ago.
	old *state.Snapshot
	// pending are the commands of a plan that is not proposed yet.
	pending []state.Command
}

func newHistory(draw chooser) *history {
	h := &history{world: newWorld(), draw: draw, demand: fleet.NewDemand(), load: 1 + draw(200)}
	h.planners = [2]*fleet.Planner{fleet.NewPlanner(h.demand), fleet.NewPlanner(h.demand)}
	h.InFlight = func(string) int { return draw(4) }
	h.LateWork = func(string) int { return draw(2) }
	h.PutPool("spare", func(p *model.PoolSpec) { p.Spare, p.MinDwellSeconds = true, 30 })
	h.PutPool("web", func(p *model.PoolSpec) { p.SpareFrom, p.MaxHosts, p.MinDwellSeconds = "spare", 14, 30 })
	h.PutPool("jobs", func(p *model.PoolSpec) { p.MaxHosts = 20 })
	h.AddHosts("spare", 5)
	h.AddHosts("web", 12)
	h.AddHosts("jobs", 12)
	h.PutBudget("spare", model.BudgetSpec{MinHealthy: 2, MaxPlannedStops: 2})
	h.PutBudget("web", model.BudgetSpec{MinHealthy: 6 + draw(3), MaxPlannedStops: 1 + draw(3), SurviveRack: draw(2) == 0})
	h.PutBudget("jobs", model.BudgetSpec{MinHealthy: 4 + draw(3), MaxPlannedStops: 1 + draw(3), SurviveZone: draw(2) == 0})
	h.Report(h.State.Snapshot())
	h.old = h.State.Snapshot()
	h.PutWave("w1", []string{"web", "jobs"}, func(w *model.WaveSpec) { w.MaxParallel = 1 + draw(4) })
	h.PutWave("w2", []string{"jobs", "spare"}, func(w *model.WaveSpec) { w.MaxParallel = 2 })
	return h
}

func (h *history) any() string { return h.Names[h.draw(len(h.Names))] }

// step is one random event.
func (h *history) step() {
	switch h.draw(16) {
	case 0, 1, 2, 3:
		h.Advance(time.Duration(200+h.draw(4000)) * time.Millisecond)
		h.UpdateWork()
		h.Report(h.State.Snapshot())
	case 4:
		h.Advance(time.Duration(h.draw(12000)) * time.Millisecond)
		h.UpdateWork()
	case 5:
		h.Report(h.old)
	case 6, 7:
		h.old = h.State.Snapshot()
		h.RunPlatform()
	case 8, 9, 10:
		h.planWith(h.draw(2))
	case 11:
		h.proposePending()
	case 12:
		h.fail()
	case 13:
		h.heal()
	case 14:
		h.operate()
	case 15:
		h.pause()
	}
}

// planWith plans on the newest or on the old snapshot and proposes a part of
// the commands now and the rest later.
func (h *history) planWith(i int) {
	snap := h.State.Snapshot()
	if i == 1 {
		snap = h.old
	}
	pl := h.planners[i]
	if h.draw(4) == 0 {
		pl = fleet.NewPlanner(h.demand)
		h.planners[i] = pl
	}
	pl.Sync(snap)
	in := fleet.Input{Loads: []fleet.Load{{EntryHost: "e", Service: "web", InFlight: h.draw(h.load), Observed: h.Now}}}
	commands := pl.Plan(in, h.Now).Commands
	cut := h.draw(len(commands) + 1)
	for _, cmd := range commands[:cut] {
		h.Execute(cmd)
	}
	h.pending = append(h.pending, commands[cut:]...)
}

func (h *history) proposePending() {
	for _, cmd := range h.pending {
		h.Execute(cmd)
	}
	h.pending = nil
}

func (h *history) fail() {
	victim := h.any()
	spec := h.GetHost(victim).Spec
	scope := h.draw(6)
	for _, name := range h.Names {
		other := h.GetHost(name).Spec
		hit := name == victim || scope == 1 && other.Rack == spec.Rack || scope == 2 && other.Zone == spec.Zone
		if m := h.Machines[name]; hit && m.RebootEnds.IsZero() {
			m.Up = false
		}
	}
}

func (h *history) heal() {
	all := h.draw(2) == 0
	for _, name := range h.Names {
		if m := h.Machines[name]; m.RebootEnds.IsZero() && (all || h.draw(2) == 0) {
			m.Up = true
			m.HealthyAt = h.Now
		}
	}
}

// operate is an operator who acts on an old or the current version.
func (h *history) operate() {
	snap := h.State.Snapshot()
	if h.draw(2) == 0 {
		snap = h.old
	}
	host, ok := snap.Get(model.Key{Kind: model.KindHost, Name: h.any()}).(*model.Host)
	if !ok {
		return
	}
	c := state.HostStep{Origin: h.Origin(), Host: host.Name, Expected: host.Version}
	if h.draw(8) == 0 {
		c.Expected = state.AnyVersion
	}
	pools := []string{"web", "jobs", "spare"}
	switch h.draw(4) {
	case 0:
		c.Cancel = true
	case 1:
		c.To, c.Stop = model.HostDraining, &model.PlannedStop{Action: model.StopDrain}
	case 2:
		c.To, c.Stop = model.HostDraining, &model.PlannedStop{Action: model.StopReboot}
	case 3:
		c.To, c.Stop = model.HostDraining, &model.PlannedStop{Action: model.StopMove, TargetPool: pools[h.draw(3)]}
	}
	h.Execute(c)
}

func (h *history) pause() {
	wave := h.GetWave("w1").Clone().(*model.Wave)
	wave.Spec.Paused = !wave.Spec.Paused
	h.Execute(state.Put{Origin: h.Origin(), Object: wave, Expected: wave.Version})
}

// settle ends the faults and the operators' work, and runs one leader until
// the waves are finished or ten hours have passed.
func (h *history) settle() bool {
	h.pending = nil
	h.InFlight, h.LateWork = nil, nil
	for _, name := range h.Names {
		if m := h.Machines[name]; m.RebootEnds.IsZero() {
			m.Up = true
		}
	}
	if h.GetWave("w1").Spec.Paused {
		h.pause()
	}
	h.fitBudgets()
	pl := fleet.NewPlanner(nil)
	for range 36_000 {
		h.RunRound(pl, fleet.Input{})
		h.releaseDrained()
		if h.GetWave("w1").Status.Phase == model.WaveFinished && h.GetWave("w2").Status.Phase == model.WaveFinished {
			return true
		}
	}
	return false
}

// fitBudgets lowers the budgets of pools from which operators have moved so many
// hosts that no stop is possible even without a fault.
func (h *history) fitBudgets() {
	for _, pool := range []string{"spare", "web", "jobs"} {
		b := h.State.Get(model.Key{Kind: model.KindBudget, Name: pool}).Clone().(*model.Budget)
		hosts, racks, zones := 0, make(map[string]int), make(map[string]int)
		for _, name := range h.Names {
			host := h.GetHost(name)
			leaves := host.Status.Stop != nil && host.Status.Stop.Action == model.StopMove
			if spec := host.Spec; spec.Pool == pool && !leaves {
				hosts++
				racks[spec.Zone+spec.Rack]++
				zones[spec.Zone]++
			}
		}
		worst := 0
		for _, n := range racks {
			if b.Spec.SurviveRack {
				worst = max(worst, n)
			}
		}
		for _, n := range zones {
			if b.Spec.SurviveZone {
				worst = max(worst, n)
			}
		}
		b.Spec.MinHealthy = max(0, min(b.Spec.MinHealthy, hosts-1-worst))
		h.PutObject(b)
	}
}

// releaseDrained cancels the drains of operators, which only they end.
func (h *history) releaseDrained() {
	for _, name := range h.Names {
		host := h.GetHost(name)
		if stop := host.Status.Stop; host.Status.Phase == model.HostDrained && stop.Action == model.StopDrain && stop.Wave == "" {
			h.Execute(state.HostStep{Origin: h.Origin(), Host: name, Expected: host.Version, Cancel: true})
		}
	}
}

// play plays n steps, or until the checker finds something.
func (h *history) play(n int) *checker {
	c := newChecker(h.world)
	for range n {
		h.step()
		if len(c.faults) > 0 {
			break
		}
	}
	return c
}

// run plays a history of n steps and returns what the checker found.
func run(h *history, n int) []string {
	c := h.play(n)
	if len(c.faults) > 0 {
		return c.faults
	}
	if !h.settle() {
		c.fail("waves do not finish after the faults healed: w1 %+v, w2 %+v", h.GetWave("w1").Status, h.GetWave("w2").Status)
	}
	for _, wave := range []string{"w1", "w2"} {
		c.checkComplete(h.GetWave(wave))
	}
	return c.faults
}

// checkComplete checks that a finished wave left out no host that stayed in its
// pools.
func (c *checker) checkComplete(wave *model.Wave) {
	done := make(map[string]bool)
	for _, name := range append(wave.Status.Done, wave.Status.Skipped...) {
		done[name] = true
	}
	for _, name := range c.w.Names {
		h := c.w.GetHost(name)
		for _, pool := range wave.Spec.Pools {
			if h.Spec.Pool == pool && h.Status.PoolSince.Before(wave.Status.Finished) && !done[name] {
				c.fail("wave %s is finished without %s", wave.Name, name)
			}
		}
	}
}

// Guards against every break of the rules for planned stops that a mixture of
// failures, stale planners and operators can cause, and against waves that hang.
func TestRandomHistoriesKeepBudgets(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "choice") }
		// Long histories come from a seed: rapid's own draws would make them slow.
		seed := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		h := newHistory(func(n int) int { return seed.IntN(n) })
		faults := run(h, 100+draw(300))
		if len(faults) > 0 {
			rt.Fatalf("%v", faults)
		}
	})
}

// broken runs histories with a broken variant until the checker finds it.
func broken(t *testing.T, name, want string, breakIt func(*history)) {
	t.Helper()
	for seed := range uint64(60) {
		source := rand.New(rand.NewPCG(seed, 2))
		h := newHistory(source.IntN)
		breakIt(h)
		if strings.Contains(strings.Join(h.play(300).faults, "\n"), want) {
			return
		}
	}
	t.Fatalf("checker does not find the broken variant %s", name)
}

// loosen replaces the budgets while a command is applied.
func (h *history) loosen(cmd state.Command, change func(*model.BudgetSpec)) state.Result {
	for _, pool := range []string{"spare", "web", "jobs"} {
		kept := h.State.Get(model.Key{Kind: model.KindBudget, Name: pool}).Clone().(*model.Budget)
		loose := kept.Clone().(*model.Budget)
		change(&loose.Spec)
		h.Commit(state.Put{Origin: h.Origin(), Object: loose, Expected: state.AnyVersion})
		defer h.Commit(state.Put{Origin: h.Origin(), Object: kept, Expected: state.AnyVersion})
	}
	return h.Commit(cmd)
}

// Guards against a checker that finds nothing: each rule is broken on purpose.
func TestCheckerFindsBrokenVariants(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name, want string
		loosen     func(*model.BudgetSpec)
	}{
		{"minimum not checked", "healthy hosts of", func(b *model.BudgetSpec) { b.MinHealthy = 0 }},
		{"planned stops not counted", "planned stops of", func(b *model.BudgetSpec) { b.MaxPlannedStops = 100 }},
		{"rack loss not checked", "survive the loss of rack", func(b *model.BudgetSpec) { b.SurviveRack = false }},
		{"zone loss not checked", "survive the loss of zone", func(b *model.BudgetSpec) { b.SurviveZone = false }},
	}
	for _, test := range tests {
		broken(t, test.name, test.want, func(h *history) {
			h.Apply = func(cmd state.Command) state.Result {
				if c, ok := cmd.(state.HostStep); ok && c.To == model.HostDraining {
					return h.loosen(cmd, test.loosen)
				}
				return h.Commit(cmd)
			}
		})
	}
	broken(t, "marks of old listings are taken", "healthy hosts of", func(h *history) {
		h.Apply = func(cmd state.Command) state.Result {
			c, ok := cmd.(state.HostReport)
			if !ok {
				return h.Commit(cmd)
			}
			for i := range c.Marks {
				c.Marks[i].Base = state.AnyVersion
				c.Marks[i].Observed = h.Now
			}
			c.Hosts = nil
			return h.Commit(c)
		}
	})
	broken(t, "drain without a late report", "counts as drained", func(h *history) {
		h.Apply = func(cmd state.Command) state.Result {
			if c, ok := cmd.(state.HostStep); ok && c.To == model.HostDraining {
				res := h.Commit(cmd)
				if res.Err == nil {
					h.forgeDrained(c.Host)
				}
				return res
			}
			return h.Commit(cmd)
		}
	})
}

// forgeDrained reports a draining host as empty, whatever it still runs.
func (h *history) forgeDrained(host string) {
	h.Commit(state.HostReport{Origin: state.Origin{Time: h.Now.Add(state.DrainSettleTime)}, Hosts: []state.HostObservation{{
		Host: host, Health: model.HealthHealthy, BootID: h.GetHost(host).Status.BootID, Observed: h.Now.Add(state.DrainSettleTime),
	}}})
}

// Guards against checks of hosts and waves that find nothing; the public
// commands cannot break these rules, so the pairs are made by hand.
func TestCheckerFindsBrokenPairs(t *testing.T) {
	w := newWorld()
	w.hosts2()
	c := &checker{w: w, reboots: make(map[string]int)}
	old := w.GetHost("a-000")
	pairs := map[string]func(*model.Host){
		"goes back":             func(h *model.Host) { h.Status.Epoch = 0 },
		"changes its pool from": func(h *model.Host) { h.Spec.Pool = "b" },
		"without a new epoch":   func(h *model.Host) { h.Spec.Pool = "b" },
	}
	for want, change := range pairs {
		next := old.Clone().(*model.Host)
		next.Version++
		change(next)
		c.faults = nil
		c.checkHost(old, next)
		require.Contains(t, fmt.Sprint(c.faults), want)
	}
}

func (w *world) hosts2() {
	w.PutPool("a", nil)
	w.PutPool("b", nil)
	w.AddHosts("a", 2)
}
