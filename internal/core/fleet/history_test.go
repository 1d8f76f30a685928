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

// drawFunc draws a random number from 0 to n-1.
type drawFunc func(n int) int

// history is a random run of a simulation with failures, operators and two planners.
// The second planner uses an outdated snapshot, as during a failover.
type history struct {
	*simulation
	draw     drawFunc
	planners [2]*fleet.Planner
	// demand outlives the planners, so that a need is sustained even in short runs.
	demand *fleet.Demand
	// maxLoad limits the requests in flight of a load report.
	maxLoad int
	// oldSnapshot is a snapshot from some steps ago.
	oldSnapshot *state.Snapshot
	// pending are planned commands that have not been proposed yet.
	pending []state.Command
}

func newHistory(draw drawFunc) *history {
	h := &history{simulation: newSimulation(), draw: draw, demand: fleet.NewDemand(), maxLoad: 1 + draw(200)}
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
	h.oldSnapshot = h.State.Snapshot()
	h.PutWave("w1", []string{"web", "jobs"}, func(w *model.WaveSpec) { w.MaxParallel = 1 + draw(4) })
	h.PutWave("w2", []string{"jobs", "spare"}, func(w *model.WaveSpec) { w.MaxParallel = 2 })
	return h
}

func (h *history) randomHost() string { return h.Names[h.draw(len(h.Names))] }

// step runs one random event.
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
		h.Report(h.oldSnapshot)
	case 6, 7:
		h.oldSnapshot = h.State.Snapshot()
		h.RunPlatform()
	case 8, 9, 10:
		h.planWith(h.draw(2))
	case 11:
		h.proposePending()
	case 12:
		h.failHosts()
	case 13:
		h.healHosts()
	case 14:
		h.actAsOperator()
	case 15:
		h.togglePause()
	}
}

// planWith plans with planner i, proposes a random part of the commands and keeps the
// rest as pending. Planner 1 uses the outdated snapshot.
func (h *history) planWith(i int) {
	snap := h.State.Snapshot()
	if i == 1 {
		snap = h.oldSnapshot
	}
	pl := h.planners[i]
	if h.draw(4) == 0 {
		pl = fleet.NewPlanner(h.demand)
		h.planners[i] = pl
	}
	pl.Sync(snap)
	in := fleet.Input{Loads: []fleet.Load{{EntryHost: "e", Service: "web", InFlight: h.draw(h.maxLoad), Observed: h.Now}}}
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

// failHosts fails a random host, or its rack or zone.
func (h *history) failHosts() {
	victim := h.randomHost()
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

// healHosts heals all failed hosts or a random half of them.
func (h *history) healHosts() {
	all := h.draw(2) == 0
	for _, name := range h.Names {
		if m := h.Machines[name]; m.RebootEnds.IsZero() && (all || h.draw(2) == 0) {
			m.Up = true
			m.HealthyAt = h.Now
		}
	}
}

// actAsOperator runs a random command of an operator who has read the current or an
// outdated version of a host.
func (h *history) actAsOperator() {
	snap := h.State.Snapshot()
	if h.draw(2) == 0 {
		snap = h.oldSnapshot
	}
	host, ok := snap.Get(model.Key{Kind: model.KindHost, Name: h.randomHost()}).(*model.Host)
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

// togglePause pauses or resumes the wave w1.
func (h *history) togglePause() {
	wave := h.GetWave("w1").Clone().(*model.Wave)
	wave.Spec.Paused = !wave.Spec.Paused
	h.Execute(state.Put{Origin: h.Origin(), Object: wave, Expected: wave.Version})
}

// settle heals all faults, ends the actions of operators and runs one planner until
// both waves are finished. It reports false if they are not after ten hours.
func (h *history) settle() bool {
	h.pending = nil
	h.InFlight, h.LateWork = nil, nil
	for _, name := range h.Names {
		if m := h.Machines[name]; m.RebootEnds.IsZero() {
			m.Up = true
		}
	}
	if h.GetWave("w1").Spec.Paused {
		h.togglePause()
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

// fitBudgets lowers the budgets of pools from which operators moved so many hosts that
// no stop would be possible even without a fault.
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

// releaseDrained cancels the drains that operators requested, because the planner does
// not end them.
func (h *history) releaseDrained() {
	for _, name := range h.Names {
		host := h.GetHost(name)
		if stop := host.Status.Stop; host.Status.Phase == model.HostDrained && stop.Action == model.StopDrain && stop.Wave == "" {
			h.Execute(state.HostStep{Origin: h.Origin(), Host: name, Expected: host.Version, Cancel: true})
		}
	}
}

// runSteps runs n steps, or fewer if the checker finds a violation.
func (h *history) runSteps(n int) *checker {
	c := newChecker(h.simulation)
	for range n {
		h.step()
		if len(c.violations) > 0 {
			break
		}
	}
	return c
}

// runHistory runs n steps, settles and returns the violations.
func runHistory(h *history, n int) []string {
	c := h.runSteps(n)
	if len(c.violations) > 0 {
		return c.violations
	}
	if !h.settle() {
		c.fail("waves do not finish after the faults healed: w1 %+v, w2 %+v", h.GetWave("w1").Status, h.GetWave("w2").Status)
	}
	for _, wave := range []string{"w1", "w2"} {
		c.checkComplete(h.GetWave(wave))
	}
	return c.violations
}

// checkComplete checks that a finished wave completed or skipped every host that was in
// its pools.
func (c *checker) checkComplete(wave *model.Wave) {
	done := make(map[string]bool)
	for _, name := range append(wave.Status.Done, wave.Status.Skipped...) {
		done[name] = true
	}
	for _, name := range c.sim.Names {
		h := c.sim.GetHost(name)
		for _, pool := range wave.Spec.Pools {
			if h.Spec.Pool == pool && h.Status.PoolSince.Before(wave.Status.Finished) && !done[name] {
				c.fail("wave %s is finished without %s", wave.Name, name)
			}
		}
	}
}

// Guards against violations of the rules for planned stops by combinations of
// failures, outdated planners and operators, and against waves that never finish.
func TestRandomHistoriesKeepBudgets(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "choice") }
		// The history draws from a seeded generator, because rapid's own draws make
		// long histories slow.
		seed := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		h := newHistory(func(n int) int { return seed.IntN(n) })
		violations := runHistory(h, 100+draw(300))
		if len(violations) > 0 {
			rt.Fatalf("%v", violations)
		}
	})
}

// requireDetection runs histories of a variant that breaks a rule until the checker
// finds the violation, and fails the test if none does.
func requireDetection(t *testing.T, name, want string, breakIt func(*history)) {
	t.Helper()
	for seed := range uint64(60) {
		source := rand.New(rand.NewPCG(seed, 2))
		h := newHistory(source.IntN)
		breakIt(h)
		if strings.Contains(strings.Join(h.runSteps(300).violations, "\n"), want) {
			return
		}
	}
	t.Fatalf("checker does not find the broken variant %s", name)
}

// applyWithLooseBudgets applies a command while all budgets are changed.
func (h *history) applyWithLooseBudgets(cmd state.Command, change func(*model.BudgetSpec)) state.Result {
	for _, pool := range []string{"spare", "web", "jobs"} {
		kept := h.State.Get(model.Key{Kind: model.KindBudget, Name: pool}).Clone().(*model.Budget)
		loose := kept.Clone().(*model.Budget)
		change(&loose.Spec)
		h.Commit(state.Put{Origin: h.Origin(), Object: loose, Expected: state.AnyVersion})
		defer h.Commit(state.Put{Origin: h.Origin(), Object: kept, Expected: state.AnyVersion})
	}
	return h.Commit(cmd)
}

// Guards against a checker that misses violations: each variant breaks one rule on
// purpose and must be detected.
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
		requireDetection(t, test.name, test.want, func(h *history) {
			h.Apply = func(cmd state.Command) state.Result {
				if c, ok := cmd.(state.HostStep); ok && c.To == model.HostDraining {
					return h.applyWithLooseBudgets(cmd, test.loosen)
				}
				return h.Commit(cmd)
			}
		})
	}
	requireDetection(t, "marks of old listings are accepted", "healthy hosts of", func(h *history) {
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
	requireDetection(t, "drain without a settled report", "counts as drained", func(h *history) {
		h.Apply = func(cmd state.Command) state.Result {
			if c, ok := cmd.(state.HostStep); ok && c.To == model.HostDraining {
				res := h.Commit(cmd)
				if res.Err == nil {
					h.reportDrained(c.Host)
				}
				return res
			}
			return h.Commit(cmd)
		}
	})
}

// reportDrained reports a draining host without work in flight, whatever it still
// runs.
func (h *history) reportDrained(host string) {
	h.Commit(state.HostReport{Origin: state.Origin{Time: h.Now.Add(state.DrainSettleTime)}, Hosts: []state.HostObservation{{
		Host: host, Health: model.HealthHealthy, BootID: h.GetHost(host).Status.BootID, Observed: h.Now.Add(state.DrainSettleTime),
	}}})
}

// Guards against checks of hosts that miss violations. Commands cannot break these
// rules, so the pairs of old and new host are made by hand.
func TestCheckerFindsBrokenPairs(t *testing.T) {
	sim := newSimulation()
	sim.addTwoPools()
	c := &checker{sim: sim, reboots: make(map[string]int)}
	old := sim.GetHost("a-000")
	pairs := map[string]func(*model.Host){
		"goes back":             func(h *model.Host) { h.Status.Epoch = 0 },
		"changes its pool from": func(h *model.Host) { h.Spec.Pool = "b" },
		"without a new epoch":   func(h *model.Host) { h.Spec.Pool = "b" },
	}
	for want, change := range pairs {
		next := old.Clone().(*model.Host)
		next.Version++
		change(next)
		c.violations = nil
		c.checkHost(old, next)
		require.Contains(t, fmt.Sprint(c.violations), want)
	}
}

func (sim *simulation) addTwoPools() {
	sim.PutPool("a", nil)
	sim.PutPool("b", nil)
	sim.AddHosts("a", 2)
}
