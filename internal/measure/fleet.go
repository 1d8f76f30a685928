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

// rolloutPolicies returns variants of a user's fleet: four rollout weights and
// two baselines.
func rolloutPolicies(f fleettest.Fleet) []fleettest.Fleet {
	var list []fleettest.Fleet
	for _, weight := range []float64{0, 0.25, 0.5, 1} {
		p := f
		p.Name, p.Weight = fmt.Sprintf("weight-%g", weight), weight
		list = append(list, p)
	}
	oneAtATime := f
	oneAtATime.Name, oneAtATime.MaxPlannedStops, oneAtATime.IgnoreDemand = "one-at-a-time", 1, true
	noReserve := f
	noReserve.Name, noReserve.IgnoreDemand = "no-surge-reserve", true
	return append(list, oneAtATime, noReserve)
}

// longDrainSeconds is the drain time of long work by deployment, as in its
// traffic trace.
var longDrainSeconds = map[string]int{"slidecraft": 60, "memoria-vie": 120}

// measureRollouts simulates a wave of reboots over the fleets of both users, with
// surges and with hosts that fail and recover.
func measureRollouts(r *Report) error {
	for _, f := range fleettest.Fleets() {
		deployment := f.Name
		f.FailEvery, f.FailFor, f.LongDrainSeconds = 20*time.Minute, 3*time.Minute, longDrainSeconds[deployment]
		policies := rolloutPolicies(f)
		seeds := r.rounds()
		runs := runParallel(len(policies)*seeds, func(i int) fleettest.Rollout {
			p := policies[i/seeds]
			p.Seed = uint64(i%seeds) + 1
			return p.RollOut(p.NewSimulation())
		})
		for i, p := range policies {
			list := runs[i*seeds : (i+1)*seeds]
			key := "fleet." + deployment + "." + p.Name + "."
			r.Add(key+"rollout", "s", collect(list, func(v fleettest.Rollout) float64 { return v.Duration.Seconds() })...)
			r.Add(key+"hosts_done", "hosts", collect(list, func(v fleettest.Rollout) float64 { return float64(v.Done) })...)
			r.Add(key+"moves", "moves", collect(list, func(v fleettest.Rollout) float64 { return float64(v.Moves) })...)
			r.Add(key+"stopped", "hosts", collect(list, func(v fleettest.Rollout) float64 { return v.Stopped })...)
			r.Add(key+"spare", "hosts", collect(list, func(v fleettest.Rollout) float64 { return v.Spare })...)
			r.Add(key+"spare_cost", "host-hours", collect(list, func(v fleettest.Rollout) float64 { return v.Spare * v.Duration.Hours() })...)
			r.Add(key+"demand_above_capacity", "host-seconds", collect(list, func(v fleettest.Rollout) float64 { return v.Shortage })...)
		}
	}
	return nil
}

// fleetSizes are the numbers of hosts at which planning costs are measured.
var fleetSizes = []int{50, 500, 5000, 16000}

// measurePlanning measures time and memory of the planner and the scheduler by
// the number of hosts.
func measurePlanning(r *Report) error {
	for _, hosts := range fleetSizes {
		if r.Quick && hosts == 5000 {
			continue
		}
		key := fmt.Sprintf("control.hosts_%d.", hosts)
		simulation := fleettest.NewSimulationOfSize(hosts)
		snap := simulation.State.Snapshot()
		full := scale(timePerCall(r.rounds(), r.callRoundDuration(), func() { fleet.Plan(snap, fleet.Input{}, simulation.Now.Add(time.Second)) }), 1e-6)
		incremental := measureIncrementalPlans(r, simulation)
		if hosts == 16000 {
			r.AddTarget(key+"full_plan", targetFullPlan, full...)
			r.AddTarget(key+"plan_after_one_change", targetPlanChange, incremental...)
		} else {
			r.Add(key+"full_plan", "ms", full...)
			r.Add(key+"plan_after_one_change", "ms", incremental...)
		}
		s := state.New()
		schedtest.Fill(s, hosts, baseTime)
		jobs := s.Snapshot()
		schedulerPass := timePerCall(r.rounds(), r.callRoundDuration(), func() { sched.New().Plan(jobs, sched.Input{}, baseTime.Add(time.Second)) })
		r.Add(key+"scheduler_pass", "ms", scale(schedulerPass, 1e-6)...)
		stateBytes := retainedHeap(func() any {
			return restoredState(&state.Dump{Objects: append(poolObjects(hosts/hostsPerPool+1), hostObjects(hosts)...)})
		})
		r.Add(key+"state_bytes_per_host", "B", stateBytes/float64(hosts))
		r.Add(key+"state_and_planner_bytes_per_host", "B", retainedHeap(func() any { return newPlannerWithHosts(hosts) })/float64(hosts))
	}
	return nil
}

// measureIncrementalPlans measures the planner's sync and plan after the health
// of one host changed, without the change itself.
func measureIncrementalPlans(r *Report, simulation *fleettest.Simulation) []float64 {
	const changes = 40 // per round
	planner := fleet.NewPlanner(nil)
	for range 3 {
		simulation.Plan(planner, fleet.Input{})
	}
	var list []float64
	for round := range r.rounds() {
		var total time.Duration
		for i := range changes {
			// The prime stride spreads the changes over the hosts.
			machine := simulation.Machines[simulation.Names[(round*changes+i)*7919%len(simulation.Names)]]
			machine.Up = !machine.Up
			simulation.Now = simulation.Now.Add(time.Millisecond)
			simulation.Report(simulation.State.Snapshot())
			snap := simulation.State.Snapshot()
			began := time.Now()
			planner.Sync(snap)
			planner.Plan(fleet.Input{}, simulation.Now)
			total += time.Since(began)
		}
		list = append(list, ms(total)/changes)
	}
	return list
}

func scale(list []float64, factor float64) []float64 {
	result := make([]float64, 0, len(list))
	for _, v := range list {
		result = append(result, v*factor)
	}
	return result
}
