package sched_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/sched"
	"laburnumdock/internal/core/state"
)

// rapidSeed makes the random histories the same in every run. A seed on the command
// line takes precedence.
const rapidSeed = "20261202"

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", rapidSeed)
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

var startTime = time.Date(2026, 12, 1, 20, 0, 0, 0, time.UTC)

// runningTask is a task that runs on a worker.
type runningTask struct {
	job        string
	index      int
	epoch      uint64
	leaseUntil time.Time
	finishes   time.Time
	// stopping is set when the worker has been asked to checkpoint the task.
	stopping bool
}

// worker is the actual condition of one host.
type worker struct {
	up bool
	// partitioned is set when the control replicas cannot reach the worker.
	partitioned bool
	// failsTasks is set when every task fails on the worker.
	failsTasks bool
	// tasks are the running tasks by job and index.
	tasks map[string]*runningTask
	// unreported are reports of ended tasks that have not been delivered yet.
	unreported []sched.Report
	// highestEpoch is the highest epoch by task. The worker refuses to start a task
	// under an older epoch.
	highestEpoch map[string]uint64
}

// simulation is a replicated state with simulated workers that run tasks under
// leases.
type simulation struct {
	state     *state.State
	now       time.Time
	workers   map[string]*worker
	hostNames []string
	// taskDuration is how long a task runs.
	taskDuration time.Duration
	// failingJobs are the jobs whose tasks fail on every host.
	failingJobs map[string]bool
	// usedCores is the reported use of a task by job.
	usedCores map[string]int
	// apply applies a command. A test replaces it to break a rule on purpose.
	apply func(state.Command) state.Result
	// violations are the broken rules that the checks found.
	violations []string
	// ignoreLeases lets workers run tasks after their lease has expired, as a rule
	// that is broken on purpose.
	ignoreLeases bool
}

func newSimulation() *simulation {
	sim := &simulation{
		state: state.New(), now: startTime, workers: make(map[string]*worker), taskDuration: time.Hour,
		failingJobs: make(map[string]bool), usedCores: make(map[string]int),
	}
	sim.apply = func(cmd state.Command) state.Result { return sim.state.Apply(sim.state.Version()+1, cmd) }
	p := model.New(model.KindPool).(*model.Pool)
	p.Name = "a"
	sim.put(p)
	return sim
}

func (sim *simulation) origin() state.Origin { return state.Origin{Actor: "operator", Time: sim.now} }

func (sim *simulation) put(obj model.Object) {
	if res := sim.state.Apply(sim.state.Version()+1, state.Put{Origin: sim.origin(), Object: obj, Expected: state.AnyVersion}); res.Err != nil {
		panic(res.Err)
	}
}

// addHosts adds n healthy hosts of 16 cores, two per rack. The racks are assigned
// to three zones in turn.
func (sim *simulation) addHosts(n int) {
	for range n {
		i := len(sim.hostNames)
		h := model.New(model.KindHost).(*model.Host)
		h.Name = fmt.Sprintf("host-%03d", i)
		h.Spec = model.HostSpec{Pool: "a", Zone: fmt.Sprintf("zone-%d", i/2%3), Rack: fmt.Sprintf("rack-%d", i/2), Cores: 16, MemoryMB: 64 << 10, Accelerators: i % 2}
		sim.put(h)
		sim.hostNames = append(sim.hostNames, h.Name)
		sim.workers[h.Name] = &worker{up: true, tasks: make(map[string]*runningTask), highestEpoch: make(map[string]uint64)}
	}
	sim.reportHealth()
}

// putJob puts a job of one task with 4 cores, modified by change.
func (sim *simulation) putJob(name string, change func(*model.JobSpec)) {
	j := model.New(model.KindJob).(*model.Job)
	j.Name = name
	j.Spec = model.JobSpec{Pool: "a", Tasks: 1, Cores: 4, MemoryMB: 1024, Priority: model.PriorityNormal}
	if change != nil {
		change(&j.Spec)
	}
	sim.put(j)
}

func (sim *simulation) putTeam(name string, cores int) {
	t := model.New(model.KindTeam).(*model.Team)
	t.Name = name
	t.Spec = model.TeamSpec{QuotaCores: cores, QuotaMemoryMB: 1 << 20}
	sim.put(t)
}

func (sim *simulation) cancelJob(name string) {
	j := sim.getJob(name).Clone().(*model.Job)
	j.Spec.Cancelled = true
	sim.put(j)
}

func (sim *simulation) getJob(name string) *model.Job {
	return sim.state.Get(model.Key{Kind: model.KindJob, Name: name}).(*model.Job)
}

func (sim *simulation) getHost(name string) *model.Host {
	return sim.state.Get(model.Key{Kind: model.KindHost, Name: name}).(*model.Host)
}

// countTasks returns the number of tasks of a job in a state.
func (sim *simulation) countTasks(name string, want model.TaskState) int {
	n := 0
	for _, task := range sim.getJob(name).Status.Tasks {
		if task.State == want {
			n++
		}
	}
	return n
}

// reportHealth applies a health report of all reachable workers.
func (sim *simulation) reportHealth() {
	r := state.HostReport{Origin: sim.origin()}
	for _, name := range sim.hostNames {
		if w := sim.workers[name]; !w.partitioned {
			health := model.HealthHealthy
			if !w.up {
				health = model.HealthUnhealthy
			}
			r.Hosts = append(r.Hosts, state.HostObservation{Host: name, Health: health, InFlight: len(w.tasks), BootID: "b", Observed: sim.now})
		}
	}
	sim.apply(r)
}

// advance moves the time forward. Tasks end, and workers stop tasks whose lease has
// expired.
func (sim *simulation) advance(d time.Duration) {
	sim.now = sim.now.Add(d)
	for _, name := range sim.hostNames {
		w := sim.workers[name]
		for key, t := range w.tasks {
			if out := sim.outcomeOf(w, t); out != "" {
				delete(w.tasks, key)
				w.unreported = append(w.unreported, sched.Report{Job: t.job, Index: t.index, Epoch: t.epoch, Host: name, Outcome: out})
			}
		}
	}
}

// outcomeOf returns how a task ends now, or an empty outcome if it runs on.
func (sim *simulation) outcomeOf(w *worker, t *runningTask) sched.Outcome {
	switch {
	case !w.up || !sim.now.Before(t.leaseUntil) && !sim.ignoreLeases || t.stopping:
		return sched.OutcomeStopped
	case w.failsTasks || sim.failingJobs[t.job]:
		return sched.OutcomeFailed
	case !sim.now.Before(t.finishes):
		return sched.OutcomeFinished
	}
	return ""
}

// taskReports returns the task reports of all reachable workers.
func (sim *simulation) taskReports() []sched.Report {
	var list []sched.Report
	for _, name := range sim.hostNames {
		w := sim.workers[name]
		if w.partitioned {
			continue
		}
		list = append(list, w.unreported...)
		w.unreported = nil
		for _, t := range w.tasks {
			list = append(list, sched.Report{Job: t.job, Index: t.index, Epoch: t.epoch, Host: name, Outcome: sched.OutcomeRunning, UsedCores: sim.usedCores[t.job]})
		}
	}
	return list
}

// runPlatform executes the committed leases on all reachable workers and checks that
// no task runs twice.
func (sim *simulation) runPlatform() {
	for _, obj := range sim.state.Snapshot().List(model.KindJob) {
		job := obj.(*model.Job)
		for _, task := range job.Status.Tasks {
			if w := sim.workers[task.Host]; w != nil && w.up && !w.partitioned {
				sim.execute(w, job.Name, task)
			}
		}
	}
	sim.checkRunsOnce()
}

// execute starts a task, renews its lease or stops it on a worker, as its state
// requires.
func (sim *simulation) execute(w *worker, job string, task model.Task) {
	key := fmt.Sprintf("%s/%d", job, task.Index)
	t := w.tasks[key]
	switch task.State {
	case model.TaskStarting, model.TaskRunning:
		if t != nil && t.epoch == task.Epoch {
			t.leaseUntil = task.LeaseUntil
		} else if task.Epoch > w.highestEpoch[key] && sim.now.Before(task.LeaseUntil) {
			w.tasks[key] = &runningTask{job: job, index: task.Index, epoch: task.Epoch, leaseUntil: task.LeaseUntil, finishes: sim.now.Add(sim.taskDuration)}
		}
		w.highestEpoch[key] = max(w.highestEpoch[key], task.Epoch)
	case model.TaskStopping:
		if t != nil && t.epoch == task.Epoch {
			t.stopping = true
		} else if task.Epoch > w.highestEpoch[key] {
			w.highestEpoch[key] = task.Epoch
			w.unreported = append(w.unreported, sched.Report{Job: job, Index: task.Index, Epoch: task.Epoch, Host: task.Host, Outcome: sched.OutcomeStopped})
		}
	default:
		// Tasks in the other states hold no lease.
	}
}

// checkRunsOnce records a violation for each task that runs on two workers.
func (sim *simulation) checkRunsOnce() {
	where := make(map[string]string)
	for _, name := range sim.hostNames {
		for key := range sim.workers[name].tasks {
			if other := where[key]; other != "" {
				sim.violations = append(sim.violations, fmt.Sprintf("%s runs on %s and %s", key, other, name))
			}
			where[key] = name
		}
	}
}

// plan runs one scheduling pass and applies its commands.
func (sim *simulation) plan(s *sched.Scheduler) sched.Result {
	res := s.Plan(sim.state.Snapshot(), sched.Input{Reports: sim.taskReports()}, sim.now)
	for _, cmd := range res.Commands {
		sim.apply(cmd)
	}
	return res
}

// runRound runs one round of half a second: time, health reports, a scheduling pass
// and the platform.
func (sim *simulation) runRound(s *sched.Scheduler) sched.Result {
	sim.advance(500 * time.Millisecond)
	sim.reportHealth()
	res := sim.plan(s)
	sim.runPlatform()
	return res
}

func (sim *simulation) runRounds(s *sched.Scheduler, n int) {
	for range n {
		sim.runRound(s)
	}
}
