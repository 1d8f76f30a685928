package fleet_test

import (
	"fmt"
	"reflect"
	"slices"
	"time"

	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

// checker checks the rules for planned stops after every command, with counts of its
// own. It reads the actual condition of the machines, so it does not depend on the
// health in the state.
type checker struct {
	sim *simulation
	// reboots is the number of reboots by wave and host.
	reboots    map[string]int
	violations []string
}

func newChecker(sim *simulation) *checker {
	c := &checker{sim: sim, reboots: make(map[string]int)}
	sim.OnCommand = c.check
	return c
}

func (c *checker) fail(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// check compares the state before and after a command.
func (c *checker) check(_ state.Command, before, after *state.Snapshot) {
	for _, obj := range after.List(model.KindHost) {
		host := obj.(*model.Host)
		old, ok := before.Get(host.Key()).(*model.Host)
		if !ok || old == host {
			continue
		}
		c.checkHost(old, host)
		if old.Status.Phase == model.HostActive && host.Status.Phase == model.HostDraining {
			c.checkBudgets(host, after)
		}
	}
	c.checkWaves(before, after)
}

// checkHost checks the version, epoch, pool and phase of a changed host.
func (c *checker) checkHost(old, host *model.Host) {
	if host.Status.Epoch < old.Status.Epoch {
		c.fail("epoch of %s goes back from %d to %d", host.Name, old.Status.Epoch, host.Status.Epoch)
	}
	if host.Version < old.Version || host.Version == old.Version && !equalExceptReport(host, old) {
		c.fail("%s changes from version %d to %d", host.Name, old.Version, host.Version)
	}
	ended := old.Status.Stop != nil && host.Status.Stop == nil
	if ended && host.Status.Epoch == old.Status.Epoch {
		c.fail("%s returns to service with its old epoch %d", host.Name, host.Status.Epoch)
	}
	if host.Spec.Pool != old.Spec.Pool {
		stop := old.Status.Stop
		if old.Status.Phase != model.HostDrained || stop == nil || stop.Action != model.StopMove || stop.TargetPool != host.Spec.Pool {
			c.fail("%s changes its pool from %s to %s while %s", host.Name, old.Spec.Pool, host.Spec.Pool, old.Status.Phase)
		}
		if host.Status.Epoch != old.Status.Epoch+1 {
			c.fail("%s changes its pool without a new epoch", host.Name)
		}
	}
	if old.Status.Phase == model.HostDraining && host.Status.Phase == model.HostDrained {
		c.checkDrained(host)
	}
	if old.Status.Phase == model.HostDrained && host.Status.Phase == model.HostRebooting && host.Status.Stop.Wave != "" {
		c.checkReboot(host)
	}
}

// checkReboot counts a reboot by a wave and checks that the wave has not completed the
// host before.
func (c *checker) checkReboot(host *model.Host) {
	name := host.Status.Stop.Wave
	c.reboots[name+"/"+host.Name]++
	if wave, ok := c.sim.State.Get(model.Key{Kind: model.KindWave, Name: name}).(*model.Wave); ok && slices.Contains(wave.Status.Done, host.Name) {
		c.fail("wave %s reboots %s again", name, host.Name)
	}
}

// equalExceptReport reports whether two hosts differ at most in the fields that each
// report updates. Such a report does not change the version.
func equalExceptReport(a, b *model.Host) bool {
	x, y := a.Status, b.Status
	x.LastReport, x.InFlight = y.LastReport, y.InFlight
	return a.Spec == b.Spec && reflect.DeepEqual(x, y)
}

// checkDrained checks that the machine of a drained host has no work.
func (c *checker) checkDrained(host *model.Host) {
	if m := c.sim.Machines[host.Name]; m.Up && m.InFlight > 0 {
		c.fail("%s counts as drained with %d in flight", host.Name, m.InFlight)
	}
}

// checkBudgets checks the budgets of a pool after a stop with a count of its hosts. A
// machine that was last up more than 10 s (state.MaxHealthAge) ago is not healthy
// capacity, whatever was reported.
func (c *checker) checkBudgets(stopped *model.Host, after *state.Snapshot) {
	var left []*model.Host
	stops := 0
	for _, obj := range after.List(model.KindHost) {
		h := obj.(*model.Host)
		if h.Spec.Pool != stopped.Spec.Pool {
			continue
		}
		if h.Status.Stop != nil {
			stops++
		}
		if h.Status.Phase == model.HostActive && c.sim.Now.Sub(c.sim.Machines[h.Name].HealthyAt) <= 10*time.Second {
			left = append(left, h)
		}
	}
	budgets := 0
	for _, obj := range after.List(model.KindBudget) {
		b := obj.(*model.Budget)
		if b.Spec.Pool != stopped.Spec.Pool {
			continue
		}
		budgets++
		if stops > b.Spec.MaxPlannedStops {
			c.fail("pool %s has %d planned stops of %d after %s", b.Spec.Pool, stops, b.Spec.MaxPlannedStops, stopped.Name)
		}
		c.checkBudget(b, stopped, left)
	}
	if budgets == 0 {
		c.fail("%s is stopped in pool %s without a budget", stopped.Name, stopped.Spec.Pool)
	}
}

// checkBudget checks that the hosts left satisfy the minimum of a budget, also after
// the loss of a rack or zone where the budget requires it.
func (c *checker) checkBudget(b *model.Budget, stopped *model.Host, left []*model.Host) {
	if len(left) < b.Spec.MinHealthy {
		c.fail("pool %s has %d healthy hosts of %d after the stop of %s", b.Spec.Pool, len(left), b.Spec.MinHealthy, stopped.Name)
	}
	for _, failed := range left {
		rack, zone := 0, 0
		for _, h := range left {
			if h.Spec.Zone != failed.Spec.Zone {
				zone++
			}
			if h.Spec.Zone != failed.Spec.Zone || h.Spec.Rack != failed.Spec.Rack {
				rack++
			}
		}
		if b.Spec.SurviveRack && rack < b.Spec.MinHealthy {
			c.fail("pool %s does not survive the loss of rack %s after the stop of %s", b.Spec.Pool, failed.Spec.Rack, stopped.Name)
		}
		if b.Spec.SurviveZone && zone < b.Spec.MinHealthy {
			c.fail("pool %s does not survive the loss of %s after the stop of %s", b.Spec.Pool, failed.Spec.Zone, stopped.Name)
		}
	}
}

// checkWaves checks that the completed hosts of each wave only grow, are unique and
// were rebooted.
func (c *checker) checkWaves(before, after *state.Snapshot) {
	for _, obj := range after.List(model.KindWave) {
		wave := obj.(*model.Wave)
		old, ok := before.Get(wave.Key()).(*model.Wave)
		if !ok || old == wave {
			continue
		}
		if n := len(old.Status.Done); len(wave.Status.Done) < n || !slices.Equal(wave.Status.Done[:n], old.Status.Done) {
			c.fail("wave %s loses completed hosts", wave.Name)
		}
		seen := make(map[string]bool)
		for _, host := range wave.Status.Done {
			if seen[host] {
				c.fail("wave %s lists %s as done twice", wave.Name, host)
			}
			seen[host] = true
			if c.reboots[wave.Name+"/"+host] == 0 && wave.Spec.Action == model.StopReboot {
				c.fail("wave %s lists %s as done without a reboot", wave.Name, host)
			}
		}
	}
}
