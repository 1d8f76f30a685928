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

// shadowHost is what the judge keeps of a host.
type shadowHost struct {
	name, pool, zone, rack string
	version, epoch         uint64
	isStopped, isUp        bool
	lastReport             time.Time
}

type shadowBudget struct {
	pool                     string
	minHealthy, maxStops     int
	surviveRack, surviveZone bool
}

// shadow is a state as the judge reads it: plain values without its methods.
type shadow struct {
	now      time.Time
	hosts    map[string]shadowHost
	budgets  []shadowBudget
	reported map[string]time.Time
	done     map[string]int
	// members is the number of hosts of each pool as the state tells it.
	members map[string]int
}

func shadowOf(snap *state.Snapshot) shadow {
	s := shadow{now: snap.Now, hosts: map[string]shadowHost{}, reported: map[string]time.Time{}, done: map[string]int{}, members: map[string]int{}}
	for _, obj := range snap.List(model.KindHost) {
		h := obj.(*model.Host)
		s.hosts[h.Name] = shadowHost{
			name: h.Name, pool: h.Spec.Pool, zone: h.Spec.Zone, rack: h.Spec.Rack, version: h.Version, epoch: h.Status.Epoch,
			isStopped: h.Status.Stop != nil, isUp: string(h.Status.Phase) == "active" && string(h.Status.Health) == "healthy",
			lastReport: h.Status.LastReport,
		}
	}
	for _, obj := range snap.List(model.KindBudget) {
		b := obj.(*model.Budget).Spec
		s.budgets = append(s.budgets, shadowBudget{b.Pool, b.MinHealthy, b.MaxPlannedStops, b.SurviveRack, b.SurviveZone})
	}
	for _, obj := range snap.List(model.KindPool) {
		p := obj.(*model.Pool)
		s.reported[p.Name] = p.Status.Reported
		s.members[p.Name] = snap.HostCount(p.Name)
	}
	for _, obj := range snap.List(model.KindWave) {
		w := obj.(*model.Wave)
		s.done[w.Name] = len(w.Status.Done)
	}
	return s
}

// isAvailable counts a host whose last report is at most 10 s old.
func (s shadow) isAvailable(h shadowHost) bool {
	fresh := s.now.Sub(h.lastReport) <= 10*time.Second || s.now.Sub(s.reported[h.pool]) <= 10*time.Second
	return h.isUp && fresh
}

// fleetJudge keeps what it finds in a run of the fleet.
type fleetJudge struct{ found []string }

func newFleetJudge() *fleetJudge { return &fleetJudge{} }

func (j *fleetJudge) fail(format string, args ...any) {
	j.found = append(j.found, fmt.Sprintf(format, args...))
}

// command judges the states before and after one command.
func (j *fleetJudge) command(before, after shadow) {
	if after.now.Before(before.now) {
		j.fail("replicated time goes back")
	}
	count := map[string]int{}
	for name, h := range after.hosts {
		count[h.pool]++
		old, known := before.hosts[name]
		if !known {
			continue
		}
		if h.version < old.version || h.epoch < old.epoch {
			j.fail("version or epoch of host %s goes back", name)
		}
		if h.pool != old.pool && h.epoch <= old.epoch {
			j.fail("host %s changes its pool without a new epoch", name)
		}
		if h.isStopped && !old.isStopped {
			j.stopped(old, after)
		}
	}
	for pool, n := range after.members {
		if count[pool] != n {
			j.fail("pool %s counts %d hosts, %d name it", pool, n, count[pool])
		}
	}
	for wave, n := range before.done {
		if after.done[wave] < n {
			j.fail("wave %s forgets hosts that are done", wave)
		}
	}
}

// stopped judges a stop that has begun against every budget of its pool.
func (j *fleetJudge) stopped(h shadowHost, after shadow) {
	left, stops, racks, zones := 0, 0, map[string]int{}, map[string]int{}
	for _, other := range after.hosts {
		if other.pool != h.pool {
			continue
		}
		if other.isStopped {
			stops++
		}
		if other.name != h.name && after.isAvailable(other) {
			left++
			racks[other.zone+"/"+other.rack]++
			zones[other.zone]++
		}
	}
	for _, b := range after.budgets {
		if b.pool != h.pool {
			continue
		}
		if left < b.minHealthy || stops > b.maxStops {
			j.fail("stop of host %s breaks the budget of %s: %d healthy of %d, %d stops of %d", h.name, b.pool, left, b.minHealthy, stops, b.maxStops)
		}
		if b.surviveRack && left-most(racks) < b.minHealthy {
			j.fail("stop of host %s: %s would not survive the loss of a rack", h.name, b.pool)
		}
		if b.surviveZone && left-most(zones) < b.minHealthy {
			j.fail("stop of host %s: %s would not survive the loss of a zone", h.name, b.pool)
		}
	}
}

func most(counts map[string]int) int {
	n := 0
	for _, c := range counts {
		n = max(n, c)
	}
	return n
}

// truth judges the machines: a pool has at most two in a planned stop.
func (j *fleetJudge) truth(machines map[string]*machine) {
	stopped := map[string]int{}
	for _, m := range machines {
		if m.draining {
			stopped[m.pool]++
		}
	}
	for pool, n := range stopped {
		if n > 2 {
			j.fail("%d machines of pool %s are stopped at once", n, pool)
		}
	}
}

func (j *fleetJudge) rebooted(host string, inFlight int) {
	if inFlight > 0 {
		j.fail("the reboot of host %s cuts off %d requests", host, inFlight)
	}
}

func (j *fleetJudge) moved(host string, inFlight int, oldEpoch, epoch uint64) {
	if inFlight > 0 {
		j.fail("the move of host %s cuts off %d requests", host, inFlight)
	}
	if epoch <= oldEpoch {
		j.fail("host %s serves another pool under the same epoch", host)
	}
}

// Guards against checks of the fleet that find nothing.
func TestFleetJudgeFindsBrokenStates(t *testing.T) {
	states := func() (shadow, shadow) {
		build := func() shadow {
			s := shadow{now: epoch, hosts: map[string]shadowHost{}, reported: map[string]time.Time{"a": epoch, "b": epoch}, done: map[string]int{"w": 2}, members: map[string]int{"a": 6, "b": 0}}
			for i := range 6 {
				name := fmt.Sprint("h", i)
				s.hosts[name] = shadowHost{name: name, pool: "a", zone: fmt.Sprint(i / 2), rack: fmt.Sprint(i), version: 5, epoch: 2, isUp: true}
			}
			s.budgets = []shadowBudget{{"a", 3, 1, true, true}}
			return s
		}
		after := build()
		h := after.hosts["h0"]
		h.isStopped, h.isUp, h.version = true, false, 9
		after.hosts["h0"] = h
		return build(), after
	}
	change := func(s shadow, name string, f func(h *shadowHost)) {
		h := s.hosts[name]
		f(&h)
		s.hosts[name] = h
	}
	judge := newFleetJudge()
	judge.command(states())
	require.Empty(t, judge.found)
	for want, breakIt := range map[string]func(before, after shadow){
		"time goes back":             func(_, _ shadow) {},
		"epoch of host h1 goes back": func(_, a shadow) { change(a, "h1", func(h *shadowHost) { h.epoch = 1 }) },
		"without a new epoch": func(_, a shadow) {
			change(a, "h1", func(h *shadowHost) { h.pool = "b" })
			a.members["a"], a.members["b"] = 5, 1
		},
		"counts 6 hosts, 5 name it": func(_, a shadow) { change(a, "h1", func(h *shadowHost) { h.pool, h.epoch = "b", 3 }) },
		"forgets hosts":             func(_, a shadow) { a.done["w"] = 1 },
		"breaks the budget":         func(_, a shadow) { a.budgets[0].minHealthy = 6 },
		"2 stops of 1": func(b, a shadow) {
			change(b, "h1", func(h *shadowHost) { h.isStopped = true })
			change(a, "h1", func(h *shadowHost) { h.isStopped = true })
		},
		"loss of a rack": func(_, a shadow) { a.budgets[0].minHealthy, a.budgets[0].surviveZone = 5, false },
		"loss of a zone": func(_, a shadow) { a.budgets[0].minHealthy = 4 },
	} {
		before, after := states()
		breakIt(before, after)
		if want == "time goes back" {
			after.now = before.now.Add(-time.Second)
		}
		judge := newFleetJudge()
		judge.command(before, after)
		require.Contains(t, strings.Join(judge.found, "\n"), want)
	}
	judge = newFleetJudge()
	judge.rebooted("h", 1)
	judge.moved("h", 1, 2, 2)
	judge.truth(map[string]*machine{"a": {draining: true}, "b": {draining: true}, "c": {draining: true}})
	require.Len(t, judge.found, 4)
}
