package measure

import (
	"fmt"
	"time"

	"laburnumdock/internal/core/fleet"
	"laburnumdock/internal/core/fleet/fleettest"
	"laburnumdock/internal/core/sched"
	"laburnumdock/internal/core/sched/schedtest"
	"laburnumdock/internal/core/state"
)

// rolloutPolicies are the weights of one user's fleet and two baselines.
func rolloutPolicies(f fleettest.Fleet) []fleettest.Fleet {
	var list []fleettest.Fleet
	for _, weight := range []float64{0, 0.25, 0.5, 1} {
		p := f
		p.Name, p.Weight = fmt.Sprintf("weight-%g", weight), weight
		list = append(list, p)
	}
	one := f
	one.Name, one.MaxPlannedStops, one.IgnoreDemand = "one-at-a-time", 1, true
	blind := f
	blind.Name, blind.IgnoreDemand = "no-surge-reserve", true
	return append(list, one, blind)
}

// longDrain is the time that a long work needs, by the trace of the traffic.
var longDrain = map[string]int{"slidecraft": 60, "memoria-vie": 120}

// Fleet rolls a wave of reboots out over the fleets of both users, with hosts
// that fail and come back, under surges.
func measureRollouts(r *Report) error {
	for _, f := range fleettest.Fleets() {
		user := f.Name
		f.FailEvery, f.FailFor, f.LongDrainSeconds = 20*time.Minute, 3*time.Minute, longDrain[user]
		policies := rolloutPolicies(f)
		seeds := r.rounds()
		runs := parallel(len(policies)*seeds, func(i int) fleettest.Rollout {
			p := policies[i/seeds]
			p.Seed = uint64(i%seeds) + 1
			return p.RollOut(p.NewSimulation())
		})
		for i, p := range policies {
			list := runs[i*seeds : (i+1)*seeds]
			key := "fleet." + user + "." + p.Name + "."
			r.Add(key+"rollout", "s", each(list, func(v fleettest.Rollout) float64 { return v.Duration.Seconds() })...)
			r.Add(key+"hosts_done", "hosts", each(list, func(v fleettest.Rollout) float64 { return float64(v.Done) })...)
			r.Add(key+"moves", "moves", each(list, func(v fleettest.Rollout) float64 { return float64(v.Moves) })...)
			r.Add(key+"stopped", "hosts", each(list, func(v fleettest.Rollout) float64 { return v.Stopped })...)
			r.Add(key+"spare", "hosts", each(list, func(v fleettest.Rollout) float64 { return v.Spare })...)
			r.Add(key+"spare_cost", "host-hours", each(list, func(v fleettest.Rollout) float64 { return v.Spare * v.Duration.Hours() })...)
			r.Add(key+"demand_above_capacity", "host-seconds", each(list, func(v fleettest.Rollout) float64 { return v.Shortage })...)
		}
	}
	return nil
}

// costSizes are the sizes for which costs are given.
var costSizes = []int{50, 500, 5000, 16000}

// Plans measures the planner and the scheduler by the number of hosts.
func measurePlanning(r *Report) error {
	for _, hosts := range costSizes {
		if r.Quick && hosts == 5000 {
			continue
		}
		key := fmt.Sprintf("control.hosts_%d.", hosts)
		w := fleettest.NewSimulationOfSize(hosts)
		snap := w.State.Snapshot()
		full := scaled(perCall(r.rounds(), r.length(), func() { fleet.Plan(snap, fleet.Input{}, w.Now.Add(time.Second)) }), 1e-6)
		change := planChanges(r, w)
		if hosts == 16000 {
			r.AddTarget(key+"full_plan", targetFullPlan, full...)
			r.AddTarget(key+"plan_after_one_change", targetPlanChange, change...)
		} else {
			r.Add(key+"full_plan", "ms", full...)
			r.Add(key+"plan_after_one_change", "ms", change...)
		}
		s := state.New()
		schedtest.Fill(s, hosts, origin)
		jobs := s.Snapshot()
		pass := perCall(r.rounds(), r.length(), func() { sched.New().Plan(jobs, sched.Input{}, origin.Add(time.Second)) })
		r.Add(key+"scheduler_pass", "ms", scaled(pass, 1e-6)...)
		stateBytes := heapOf(func() any {
			return restored(&state.Dump{Objects: append(poolObjects(hosts/67+1), hostObjects(hosts)...)})
		})
		r.Add(key+"state_bytes_per_host", "B", stateBytes/float64(hosts))
		r.Add(key+"state_and_planner_bytes_per_host", "B", heapOf(func() any { return plannerOf(hosts) })/float64(hosts))
	}
	return nil
}

// planChanges measures sync and plan after the health of one host changed; the
// change itself is not measured.
func planChanges(r *Report, w *fleettest.Simulation) []float64 {
	const changes = 40
	pl := fleet.NewPlanner(nil)
	for range 3 {
		w.Plan(pl, fleet.Input{})
	}
	var list []float64
	for round := range r.rounds() {
		var total time.Duration
		for i := range changes {
			m := w.Machines[w.Names[(round*changes+i)*7919%len(w.Names)]]
			m.Up = !m.Up
			w.Now = w.Now.Add(time.Millisecond)
			w.Report(w.State.Snapshot())
			snap := w.State.Snapshot()
			began := time.Now()
			pl.Sync(snap)
			pl.Plan(fleet.Input{}, w.Now)
			total += time.Since(began)
		}
		list = append(list, ms(total)/changes)
	}
	return list
}

func scaled(list []float64, factor float64) []float64 {
	result := make([]float64, 0, len(list))
	for _, v := range list {
		result = append(result, v*factor)
	}
	return result
}
