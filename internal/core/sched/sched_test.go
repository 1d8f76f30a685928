package sched_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/sched"
	"laburnumdock/internal/core/state"
)

func waits(res sched.Result) map[string]model.Reason {
	byJob := make(map[string]model.Reason)
	for _, w := range res.Waits {
		byJob[w.Job] = w.Reason
	}
	return byJob
}

// Guards against tasks of one job that all sit in one zone or rack.
func TestTasksAreSpreadOverZonesAndRacks(t *testing.T) {
	w := newWorld()
	w.hosts(12)
	w.job("j", func(j *model.JobSpec) { j.Tasks = 6 })
	w.plan(sched.New())
	zones, racks := make(map[string]int), make(map[string]int)
	for _, task := range w.jobOf("j").Status.Tasks {
		h := w.hostOf(task.Host)
		zones[h.Spec.Zone]++
		racks[h.Spec.Rack]++
	}
	require.Equal(t, map[string]int{"zone-0": 2, "zone-1": 2, "zone-2": 2}, zones)
	require.Len(t, racks, 6)
}

// Guards against a job that can never run and blocks those behind it.
func TestJobThatFitsNoHostSaysSoAndBlocksNobody(t *testing.T) {
	w := newWorld()
	w.hosts(4)
	w.job("large", func(j *model.JobSpec) { j.Cores, j.Priority = 64, model.PriorityUrgent })
	w.advance(time.Second)
	w.job("small", nil)
	res := w.plan(sched.New())
	require.Equal(t, map[string]model.Reason{"large": model.ReasonNeverFits}, waits(res))
	require.Equal(t, model.ReasonNeverFits, w.jobOf("large").Status.Reason)
	require.Equal(t, 1, w.count("small", model.TaskStarting))
}

// Guards against a reason that stays after the job was placed, and a wrong one
// while the hosts are only busy.
func TestJobWaitsForCapacity(t *testing.T) {
	w, s := newWorld(), sched.New()
	w.runTime = 10 * time.Second
	w.hosts(1)
	w.job("a", func(j *model.JobSpec) { j.Cores = 16 })
	w.advance(time.Second)
	w.job("b", func(j *model.JobSpec) { j.Cores = 16 })
	require.Equal(t, map[string]model.Reason{"b": model.ReasonNoCapacity}, waits(w.round(s)))
	w.rounds(s, 25)
	require.Equal(t, 1, w.count("a", model.TaskFinished))
	require.Equal(t, 1, w.count("b", model.TaskRunning))
	require.Equal(t, model.ReasonNone, w.jobOf("b").Status.Reason)
}

// Guards against declared sizes that are far off: a job that uses more than it
// declares overloads hosts, one that uses less wastes them; a wild report must
// not count without bound.
func TestDeclaredSizeIsCorrectedByUse(t *testing.T) {
	tests := []struct {
		declared, used, perHost int
	}{
		{declared: 4, used: 0, perHost: 4},
		{declared: 2, used: 7, perHost: 2},
		{declared: 8, used: 3, perHost: 4},
		{declared: 4, used: 4000, perHost: 1},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("declared %d used %d", test.declared, test.used), func(t *testing.T) {
			w, s := newWorld(), sched.New()
			w.hosts(1)
			w.uses["j"] = test.used
			w.job("j", func(j *model.JobSpec) { j.Cores = test.declared })
			w.rounds(s, 4)
			w.job("j", func(j *model.JobSpec) { j.Cores, j.Tasks = test.declared, 20 })
			w.rounds(s, 4)
			require.Equal(t, test.perHost, w.count("j", model.TaskRunning))
		})
	}
}

// Guards against a worker that fails every task and takes all work, since it is
// always free; and against a quarantine that empties the pool.
func TestFailingWorkerIsQuarantined(t *testing.T) {
	w, s := newWorld(), sched.New()
	w.hosts(6)
	w.workers["host-002"].bad = true
	for i := range 24 {
		w.job(fmt.Sprintf("j%02d", i), nil)
	}
	w.rounds(s, 60)
	require.True(t, w.hostOf("host-002").Status.QuarantineUntil.After(w.now))
	running := 0
	for i := range 24 {
		running += w.count(fmt.Sprintf("j%02d", i), model.TaskRunning)
	}
	require.Equal(t, 20, running, "five hosts with four tasks each")
	for _, v := range w.workers {
		v.bad = true
	}
	for i := range 40 {
		w.job(fmt.Sprintf("k%02d", i), nil)
	}
	w.rounds(s, 200)
	quarantined := 0
	for _, name := range w.names {
		if w.hostOf(name).Status.QuarantineUntil.After(w.now) {
			quarantined++
		}
	}
	require.Equal(t, 1, quarantined, "one in ten, at least one")
}

// Guards against hosts that are blamed for a job that fails everywhere.
func TestJobThatFailsEverywhereIsNotHeldAgainstHosts(t *testing.T) {
	w, s := newWorld(), sched.New()
	w.hosts(6)
	for i := range 4 {
		name := fmt.Sprintf("bad%d", i)
		w.badJobs[name] = true
		w.job(name, func(j *model.JobSpec) { j.Tasks = 6 })
	}
	w.rounds(s, 300)
	for _, name := range w.names {
		require.Zero(t, w.hostOf(name).Status.QuarantineUntil)
	}
	require.Equal(t, model.ReasonBackoff, w.jobOf("bad0").Status.Reason)
}

// Guards against a failing task that is started again without a pause.
func TestFailingTaskBacksOff(t *testing.T) {
	w, s := newWorld(), sched.New()
	w.hosts(2)
	w.badJobs["j"] = true
	w.job("j", nil)
	w.rounds(s, 240)
	require.LessOrEqual(t, w.jobOf("j").Status.Tasks[0].Failures, 5, "5, 10, 20, 40 s in 2 minutes")
	require.GreaterOrEqual(t, w.jobOf("j").Status.Tasks[0].Failures, 3)
}

// Guards against a burst of cancellations that costs a command per task or
// several passes.
func TestBurstOfCancellationsCostsOnePass(t *testing.T) {
	w, s := newWorld(), sched.New()
	w.hosts(12)
	for i := range 20 {
		w.job(fmt.Sprintf("j%02d", i), func(j *model.JobSpec) { j.Tasks, j.Cores = 50, 1 })
	}
	w.rounds(s, 3)
	for i := range 20 {
		w.cancel(fmt.Sprintf("j%02d", i))
	}
	require.Len(t, w.plan(s).Commands, 20)
	for i := range 20 {
		name := fmt.Sprintf("j%02d", i)
		require.Equal(t, 50, w.count(name, model.TaskStopping)+w.count(name, model.TaskCancelled))
	}
	w.platform()
	w.rounds(s, 2)
	for i := range 20 {
		require.Equal(t, 50, w.count(fmt.Sprintf("j%02d", i), model.TaskCancelled))
	}
}

// Guards against a task that runs twice because its first host was cut off.
func TestTaskOfAPartitionedWorkerIsPlacedAfterItsLease(t *testing.T) {
	w, s := newWorld(), sched.New()
	w.hosts(3)
	w.job("j", nil)
	w.rounds(s, 3)
	first := w.jobOf("j").Status.Tasks[0].Host
	w.workers[first].cut = true
	cut := w.now
	for w.jobOf("j").Status.Tasks[0].Host == first {
		w.round(s)
		require.Less(t, w.now.Sub(cut), sched.LeaseTime+2*time.Second)
	}
	require.Empty(t, w.faults)
	require.GreaterOrEqual(t, w.now.Sub(cut), sched.RenewBefore)
	w.workers[first].cut = false
	w.rounds(s, 3)
	require.Equal(t, uint64(2), w.jobOf("j").Status.Tasks[0].Epoch)
	require.Equal(t, 1, w.count("j", model.TaskRunning))
}

// Guards against a team that exceeds its quota, and a job that waits for it
// without saying so.
func TestQuotaOfATeam(t *testing.T) {
	w, s := newWorld(), sched.New()
	w.hosts(6)
	w.team("t", 10)
	w.job("j", func(j *model.JobSpec) { j.Tasks, j.Team = 5, "t" })
	res := w.round(s)
	require.Equal(t, 2, w.count("j", model.TaskStarting))
	require.Equal(t, map[string]model.Reason{"j": model.ReasonQuota}, waits(res))
	w.job("urgent", func(j *model.JobSpec) { j.Team, j.Priority = "t", model.PriorityUrgent })
	require.Equal(t, model.ReasonQuota, waits(w.round(s))["urgent"])
	require.Zero(t, w.count("j", model.TaskStopping), "nothing is stopped for work beyond its quota")
}

// Guards against urgent work that displaces others while hosts are free, waits
// too long, displaces more than it needs, or loses the room to other work.
func TestUrgentWorkStartsWithinFiveRounds(t *testing.T) {
	w, s := newWorld(), sched.New()
	w.hosts(2)
	w.job("batch", func(j *model.JobSpec) { j.Tasks, j.Priority = 3, model.PriorityBatch })
	w.job("normal", func(j *model.JobSpec) { j.Tasks = 4 })
	w.rounds(s, 3)
	w.job("first", func(j *model.JobSpec) { j.Priority = model.PriorityUrgent })
	w.rounds(s, 2)
	require.Equal(t, 1, w.count("first", model.TaskRunning))
	require.Equal(t, 7, w.count("batch", model.TaskRunning)+w.count("normal", model.TaskRunning), "free capacity comes first")
	w.job("second", func(j *model.JobSpec) { j.Cores, j.Priority = 8, model.PriorityUrgent })
	for i := range 20 {
		w.job(fmt.Sprintf("more%d", i), func(j *model.JobSpec) { j.Cores = 1 })
	}
	require.Equal(t, model.ReasonPreempting, waits(w.round(s))["second"])
	w.rounds(s, 4)
	require.Equal(t, 1, w.count("second", model.TaskRunning))
	require.GreaterOrEqual(t, w.count("normal", model.TaskRunning), 3)
	for _, task := range w.jobOf("first").Status.Tasks {
		require.Equal(t, model.TaskRunning, task.State, "urgent work does not displace urgent work")
	}
}

// Guards against tasks that are placed on hosts which are leaving.
func TestDrainingHostsGetNoTasks(t *testing.T) {
	w, s := newWorld(), sched.New()
	w.hosts(2)
	b := model.New(model.KindBudget).(*model.Budget)
	b.Name, b.Spec = "a", model.BudgetSpec{Pool: "a", MinHealthy: 1, MaxPlannedStops: 1}
	w.put(b)
	w.apply(state.HostStep{Origin: w.origin(), Host: "host-000", Expected: state.AnyVersion, To: model.HostDraining, Stop: &model.PlannedStop{Action: model.StopReboot}})
	w.job("j", func(j *model.JobSpec) { j.Tasks = 4 })
	w.round(s)
	for _, task := range w.jobOf("j").Status.Tasks {
		require.Equal(t, "host-001", task.Host)
	}
}
