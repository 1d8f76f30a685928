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

// rapidSeed makes random histories the same in every run; a seed on the
// command line takes precedence.
const rapidSeed = "20261202"

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", rapidSeed)
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

var start = time.Date(2026, 12, 1, 20, 0, 0, 0, time.UTC)

// running is one task on a worker.
type running struct {
	job   string
	index int
	epoch uint64
	until time.Time
	ends  time.Time
	// stopping is set once the worker was told to checkpoint.
	stopping bool
}

// worker is the true condition of one host.
type worker struct {
	up, cut, bad bool
	tasks        map[string]*running
	// ended are reports that the worker has still to give.
	ended []sched.Report
	// seen is the highest epoch per task; an older start is refused.
	seen map[string]uint64
}

// world is a control state with workers that run tasks under leases.
type world struct {
	s       *state.State
	now     time.Time
	workers map[string]*worker
	names   []string
	// runTime is how long a task runs; badJobs fail on every host.
	runTime time.Duration
	badJobs map[string]bool
	uses    map[string]int
	apply   func(state.Command) state.Result
	faults  []string
	// ignoreLease has workers run on after their lease; a broken variant.
	ignoreLease bool
}

func newWorld() *world {
	w := &world{
		s: state.New(), now: start, workers: make(map[string]*worker), runTime: time.Hour,
		badJobs: make(map[string]bool), uses: make(map[string]int),
	}
	w.apply = func(cmd state.Command) state.Result { return w.s.Apply(w.s.Version()+1, cmd) }
	p := model.New(model.KindPool).(*model.Pool)
	p.Name = "a"
	w.put(p)
	return w
}

func (w *world) origin() state.Origin { return state.Origin{Actor: "operator", Time: w.now} }

func (w *world) put(obj model.Object) {
	if res := w.s.Apply(w.s.Version()+1, state.Put{Origin: w.origin(), Object: obj, Expected: state.AnyVersion}); res.Err != nil {
		panic(res.Err)
	}
}

// hosts puts n hosts of 16 cores, two per rack, in three zones in turn by rack.
func (w *world) hosts(n int) {
	for range n {
		i := len(w.names)
		h := model.New(model.KindHost).(*model.Host)
		h.Name = fmt.Sprintf("host-%03d", i)
		h.Spec = model.HostSpec{Pool: "a", Zone: fmt.Sprintf("zone-%d", i/2%3), Rack: fmt.Sprintf("rack-%d", i/2), Cores: 16, MemoryMB: 64 << 10, Accelerators: i % 2}
		w.put(h)
		w.names = append(w.names, h.Name)
		w.workers[h.Name] = &worker{up: true, tasks: make(map[string]*running), seen: make(map[string]uint64)}
	}
	w.report()
}

func (w *world) job(name string, change func(*model.JobSpec)) {
	j := model.New(model.KindJob).(*model.Job)
	j.Name = name
	j.Spec = model.JobSpec{Pool: "a", Tasks: 1, Cores: 4, MemoryMB: 1024, Priority: model.PriorityNormal}
	if change != nil {
		change(&j.Spec)
	}
	w.put(j)
}

func (w *world) team(name string, cores int) {
	t := model.New(model.KindTeam).(*model.Team)
	t.Name = name
	t.Spec = model.TeamSpec{QuotaCores: cores, QuotaMemoryMB: 1 << 20}
	w.put(t)
}

func (w *world) cancel(name string) {
	j := w.jobOf(name).Clone().(*model.Job)
	j.Spec.Cancelled = true
	w.put(j)
}

func (w *world) jobOf(name string) *model.Job {
	return w.s.Get(model.Key{Kind: model.KindJob, Name: name}).(*model.Job)
}

func (w *world) hostOf(name string) *model.Host {
	return w.s.Get(model.Key{Kind: model.KindHost, Name: name}).(*model.Host)
}

func (w *world) count(name string, want model.TaskState) int {
	n := 0
	for _, task := range w.jobOf(name).Status.Tasks {
		if task.State == want {
			n++
		}
	}
	return n
}

// report tells the state the health of all workers that can be reached.
func (w *world) report() {
	r := state.HostReport{Origin: w.origin()}
	for _, name := range w.names {
		if v := w.workers[name]; !v.cut {
			health := model.HealthHealthy
			if !v.up {
				health = model.HealthUnhealthy
			}
			r.Hosts = append(r.Hosts, state.HostObservation{Host: name, Health: health, InFlight: len(v.tasks), BootID: "b", Observed: w.now})
		}
	}
	w.apply(r)
}

// advance moves the time: tasks end, and a worker stops what has no lease.
func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, name := range w.names {
		v := w.workers[name]
		for key, t := range v.tasks {
			if out := w.ending(v, t); out != "" {
				delete(v.tasks, key)
				v.ended = append(v.ended, sched.Report{Job: t.job, Index: t.index, Epoch: t.epoch, Host: name, Outcome: out})
			}
		}
	}
}

func (w *world) ending(v *worker, t *running) sched.Outcome {
	switch {
	case !v.up || !w.now.Before(t.until) && !w.ignoreLease || t.stopping:
		return sched.OutcomeStopped
	case v.bad || w.badJobs[t.job]:
		return sched.OutcomeFailed
	case !w.now.Before(t.ends):
		return sched.OutcomeFinished
	}
	return ""
}

// reports returns what the workers that can be reached say.
func (w *world) reports() []sched.Report {
	var list []sched.Report
	for _, name := range w.names {
		v := w.workers[name]
		if v.cut {
			continue
		}
		list = append(list, v.ended...)
		v.ended = nil
		for _, t := range v.tasks {
			list = append(list, sched.Report{Job: t.job, Index: t.index, Epoch: t.epoch, Host: name, Outcome: sched.OutcomeRunning, UsedCores: w.uses[t.job]})
		}
	}
	return list
}

// platform carries out committed decisions on workers that can be reached, and
// checks that no task runs twice.
func (w *world) platform() {
	for _, obj := range w.s.Snapshot().List(model.KindJob) {
		job := obj.(*model.Job)
		for _, task := range job.Status.Tasks {
			if v := w.workers[task.Host]; v != nil && v.up && !v.cut {
				w.carryOut(v, job.Name, task)
			}
		}
	}
	w.checkRunning()
}

func (w *world) carryOut(v *worker, job string, task model.Task) {
	key := fmt.Sprintf("%s/%d", job, task.Index)
	t := v.tasks[key]
	switch task.State {
	case model.TaskStarting, model.TaskRunning:
		if t != nil && t.epoch == task.Epoch {
			t.until = task.LeaseUntil
		} else if task.Epoch > v.seen[key] && w.now.Before(task.LeaseUntil) {
			v.tasks[key] = &running{job: job, index: task.Index, epoch: task.Epoch, until: task.LeaseUntil, ends: w.now.Add(w.runTime)}
		}
		v.seen[key] = max(v.seen[key], task.Epoch)
	case model.TaskStopping:
		if t != nil && t.epoch == task.Epoch {
			t.stopping = true
		} else if task.Epoch > v.seen[key] {
			v.seen[key] = task.Epoch
			v.ended = append(v.ended, sched.Report{Job: job, Index: task.Index, Epoch: task.Epoch, Host: task.Host, Outcome: sched.OutcomeStopped})
		}
	default:
		// Other states have no lease.
	}
}

func (w *world) checkRunning() {
	where := make(map[string]string)
	for _, name := range w.names {
		for key := range w.workers[name].tasks {
			if other := where[key]; other != "" {
				w.faults = append(w.faults, fmt.Sprintf("%s runs on %s and %s", key, other, name))
			}
			where[key] = name
		}
	}
}

func (w *world) plan(s *sched.Scheduler) sched.Result {
	res := s.Plan(w.s.Snapshot(), sched.Input{Reports: w.reports()}, w.now)
	for _, cmd := range res.Commands {
		w.apply(cmd)
	}
	return res
}

// round is one decision round: half a second.
func (w *world) round(s *sched.Scheduler) sched.Result {
	w.advance(500 * time.Millisecond)
	w.report()
	res := w.plan(s)
	w.platform()
	return res
}

func (w *world) rounds(s *sched.Scheduler, n int) {
	for range n {
		w.round(s)
	}
}
