package faults

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

// hostView holds the fields of a host that the checks use.
type hostView struct {
	name, pool, zone, rack string
	version, epoch         uint64
	isStopped, isUp        bool
	lastReport             time.Time
}

type budgetView struct {
	pool                     string
	minHealthy, maxStops     int
	surviveRack, surviveZone bool
}

// fleetView is a copy of a state in plain values. The checks use it so that they
// share no logic with the state.
type fleetView struct {
	now          time.Time
	hosts        map[string]hostView
	budgets      []budgetView
	poolReported map[string]time.Time
	doneHosts    map[string]int
	// hostCounts is the number of hosts of each pool that the state reports.
	hostCounts map[string]int
}

func newFleetView(snap *state.Snapshot) fleetView {
	v := fleetView{now: snap.Now, hosts: map[string]hostView{}, poolReported: map[string]time.Time{}, doneHosts: map[string]int{}, hostCounts: map[string]int{}}
	for _, obj := range snap.List(model.KindHost) {
		h := obj.(*model.Host)
		v.hosts[h.Name] = hostView{
			name: h.Name, pool: h.Spec.Pool, zone: h.Spec.Zone, rack: h.Spec.Rack, version: h.Version, epoch: h.Status.Epoch,
			isStopped: h.Status.Stop != nil, isUp: string(h.Status.Phase) == "active" && string(h.Status.Health) == "healthy",
			lastReport: h.Status.LastReport,
		}
	}
	for _, obj := range snap.List(model.KindBudget) {
		b := obj.(*model.Budget).Spec
		v.budgets = append(v.budgets, budgetView{b.Pool, b.MinHealthy, b.MaxPlannedStops, b.SurviveRack, b.SurviveZone})
	}
	for _, obj := range snap.List(model.KindPool) {
		p := obj.(*model.Pool)
		v.poolReported[p.Name] = p.Status.Reported
		v.hostCounts[p.Name] = snap.HostCount(p.Name)
	}
	for _, obj := range snap.List(model.KindWave) {
		w := obj.(*model.Wave)
		v.doneHosts[w.Name] = len(w.Status.Done)
	}
	return v
}

// isAvailable reports whether a host is up and the last report of the host or of
// its pool is at most 10 s old.
func (v fleetView) isAvailable(h hostView) bool {
	isFresh := v.now.Sub(h.lastReport) <= 10*time.Second || v.now.Sub(v.poolReported[h.pool]) <= 10*time.Second
	return h.isUp && isFresh
}

// fleetChecker collects the violations in a run of the fleet.
type fleetChecker struct{ violations []string }

func newFleetChecker() *fleetChecker { return &fleetChecker{} }

func (c *fleetChecker) fail(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// checkCommand checks the states before and after a command.
func (c *fleetChecker) checkCommand(before, after fleetView) {
	if after.now.Before(before.now) {
		c.fail("replicated time moved backwards")
	}
	count := map[string]int{}
	for name, h := range after.hosts {
		count[h.pool]++
		old, known := before.hosts[name]
		if !known {
			continue
		}
		if h.version < old.version || h.epoch < old.epoch {
			c.fail("version or epoch of host %s decreased", name)
		}
		if h.pool != old.pool && h.epoch <= old.epoch {
			c.fail("host %s changes its pool without a new epoch", name)
		}
		if h.isStopped && !old.isStopped {
			c.checkStop(old, after)
		}
	}
	for pool, n := range after.hostCounts {
		if count[pool] != n {
			c.fail("pool %s counts %d hosts, %d name it", pool, n, count[pool])
		}
	}
	for wave, n := range before.doneHosts {
		if after.doneHosts[wave] < n {
			c.fail("wave %s lost hosts that are done", wave)
		}
	}
}

// checkStop checks a stop that has begun against every budget of the host's pool.
func (c *fleetChecker) checkStop(h hostView, after fleetView) {
	available, stops, racks, zones := 0, 0, map[string]int{}, map[string]int{}
	for _, other := range after.hosts {
		if other.pool != h.pool {
			continue
		}
		if other.isStopped {
			stops++
		}
		if other.name != h.name && after.isAvailable(other) {
			available++
			racks[other.zone+"/"+other.rack]++
			zones[other.zone]++
		}
	}
	for _, b := range after.budgets {
		if b.pool != h.pool {
			continue
		}
		if available < b.minHealthy || stops > b.maxStops {
			c.fail("stop of host %s violates the budget of %s: %d healthy of %d, %d stops of %d", h.name, b.pool, available, b.minHealthy, stops, b.maxStops)
		}
		if b.surviveRack && available-maxCount(racks) < b.minHealthy {
			c.fail("stop of host %s: %s would not survive the loss of a rack", h.name, b.pool)
		}
		if b.surviveZone && available-maxCount(zones) < b.minHealthy {
			c.fail("stop of host %s: %s would not survive the loss of a zone", h.name, b.pool)
		}
	}
}

func maxCount(counts map[string]int) int {
	n := 0
	for _, c := range counts {
		n = max(n, c)
	}
	return n
}

// checkMachines checks that each pool has at most two machines in a planned stop.
func (c *fleetChecker) checkMachines(machines map[string]*machine) {
	stopped := map[string]int{}
	for _, m := range machines {
		if m.isDraining {
			stopped[m.pool]++
		}
	}
	for pool, n := range stopped {
		if n > 2 {
			c.fail("%d machines of pool %s are stopped at once", n, pool)
		}
	}
}

func (c *fleetChecker) checkReboot(host string, inFlight int) {
	if inFlight > 0 {
		c.fail("reboot of host %s interrupts %d requests in flight", host, inFlight)
	}
}

func (c *fleetChecker) checkMove(host string, inFlight int, oldEpoch, epoch uint64) {
	if inFlight > 0 {
		c.fail("move of host %s interrupts %d requests in flight", host, inFlight)
	}
	if epoch <= oldEpoch {
		c.fail("host %s serves another pool under the same epoch", host)
	}
}

// Guards against checks of the fleet that miss a violation.
func TestFleetCheckerDetectsViolations(t *testing.T) {
	states := func() (fleetView, fleetView) {
		build := func() fleetView {
			v := fleetView{now: epoch, hosts: map[string]hostView{}, poolReported: map[string]time.Time{"a": epoch, "b": epoch}, doneHosts: map[string]int{"w": 2}, hostCounts: map[string]int{"a": 6, "b": 0}}
			for i := range 6 {
				name := fmt.Sprint("h", i)
				v.hosts[name] = hostView{name: name, pool: "a", zone: fmt.Sprint(i / 2), rack: fmt.Sprint(i), version: 5, epoch: 2, isUp: true}
			}
			v.budgets = []budgetView{{"a", 3, 1, true, true}}
			return v
		}
		after := build()
		h := after.hosts["h0"]
		h.isStopped, h.isUp, h.version = true, false, 9
		after.hosts["h0"] = h
		return build(), after
	}
	change := func(v fleetView, name string, f func(h *hostView)) {
		h := v.hosts[name]
		f(&h)
		v.hosts[name] = h
	}
	checker := newFleetChecker()
	checker.checkCommand(states())
	require.Empty(t, checker.violations)
	for want, corrupt := range map[string]func(before, after fleetView){
		"time moved backwards":       func(_, _ fleetView) {},
		"epoch of host h1 decreased": func(_, a fleetView) { change(a, "h1", func(h *hostView) { h.epoch = 1 }) },
		"without a new epoch": func(_, a fleetView) {
			change(a, "h1", func(h *hostView) { h.pool = "b" })
			a.hostCounts["a"], a.hostCounts["b"] = 5, 1
		},
		"counts 6 hosts, 5 name it": func(_, a fleetView) { change(a, "h1", func(h *hostView) { h.pool, h.epoch = "b", 3 }) },
		"lost hosts":                func(_, a fleetView) { a.doneHosts["w"] = 1 },
		"violates the budget":       func(_, a fleetView) { a.budgets[0].minHealthy = 6 },
		"2 stops of 1": func(b, a fleetView) {
			change(b, "h1", func(h *hostView) { h.isStopped = true })
			change(a, "h1", func(h *hostView) { h.isStopped = true })
		},
		"loss of a rack": func(_, a fleetView) { a.budgets[0].minHealthy, a.budgets[0].surviveZone = 5, false },
		"loss of a zone": func(_, a fleetView) { a.budgets[0].minHealthy = 4 },
	} {
		before, after := states()
		corrupt(before, after)
		if want == "time moved backwards" {
			after.now = before.now.Add(-time.Second)
		}
		checker := newFleetChecker()
		checker.checkCommand(before, after)
		require.Contains(t, strings.Join(checker.violations, "\n"), want)
	}
	checker = newFleetChecker()
	checker.checkReboot("h", 1)
	checker.checkMove("h", 1, 2, 2)
	checker.checkMachines(map[string]*machine{"a": {isDraining: true}, "b": {isDraining: true}, "c": {isDraining: true}})
	require.Len(t, checker.violations, 4)
}
