package faults

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/sched"
	"laburnumdock/internal/core/state"
)

const (
	leaseRepair = 40 * time.Second
	leaseRounds = 1200
)

// liveTask is a task that runs on a worker under the lease that it was given.
type liveTask struct {
	epoch    uint64
	until    time.Time
	stopping bool
}

// worker is the true condition of one host that runs tasks.
type worker struct {
	// cut tells that the flow itself cuts the worker off.
	up, cut bool
	tasks   map[string]*liveTask
	// seen is the highest epoch of each task; a call of an older one is refused.
	seen  map[string]uint64
	ended map[string]sched.ListedTask
}

// leaseScene is a leader with workers that run the task of one job.
type leaseScene struct {
	*leader
	scheduler *sched.Scheduler
	workers   map[string]*worker
	names     []string
	lists     [][]sched.ListedTask
	usedCores int
	rivals    int
	// ignoreLeases is a broken variant: workers run on after their lease.
	ignoreLeases bool
}

func leaseFlow() flow {
	return flow{
		name:  "lease of a task",
		steps: []string{"placed", "started", "renewed", "expired", "stopped"},
		start: func(rng *rand.Rand, reach func(string)) scene { return newLeaseScene(rng, reach) },
		skip: func(step string, f injection) string {
			if f == cancellation && step == "stopped" {
				return "the step is the end of the cancellation itself"
			}
			return ""
		},
	}
}

func newLeaseScene(rng *rand.Rand, reach func(string)) *leaseScene {
	s := &leaseScene{leader: newLeader(rng, reach), workers: map[string]*worker{}}
	s.lead()
	p := model.New(model.KindPool).(*model.Pool)
	p.Name = "a"
	s.commit(state.Put{Origin: s.origin(), Object: p})
	for i := range 6 {
		h := model.New(model.KindHost).(*model.Host)
		h.Name = fmt.Sprintf("host-%d", i)
		h.Spec = model.HostSpec{Pool: "a", Zone: fmt.Sprintf("zone-%d", i/2), Rack: fmt.Sprintf("rack-%d", i/2), Cores: 16, MemoryMB: 64 << 10}
		s.commit(state.Put{Origin: s.origin(), Object: h})
		s.names = append(s.names, h.Name)
		s.workers[h.Name] = &worker{up: true, tasks: map[string]*liveTask{}, seen: map[string]uint64{}, ended: map[string]sched.ListedTask{}}
	}
	return s
}

func (s *leaseScene) lead() {
	s.scheduler = sched.New()
	s.boot()
}

func (s *leaseScene) job() *model.Job {
	job, _ := s.st.Get(model.Key{Kind: model.KindJob, Name: "j"}).(*model.Job)
	return job
}

func (s *leaseScene) task() model.Task {
	if job := s.job(); job != nil && len(job.Status.Tasks) > 0 {
		return job.Status.Tasks[0]
	}
	return model.Task{State: model.TaskPending}
}

// do commits a command and marks what it does to the task.
func (s *leaseScene) do(cmd state.Command) state.Result {
	before := s.task()
	res := s.commit(cmd)
	after := s.task()
	s.markTask(before, after)
	return res
}

func (s *leaseScene) markTask(before, after model.Task) {
	held := func(t model.Task) bool { return t.Host != "" }
	switch {
	case after.Epoch < before.Epoch:
		s.fail("epoch of the task goes back from %d to %d", before.Epoch, after.Epoch)
	case after.Epoch > before.Epoch && held(before) && before.LeaseUntil.After(s.st.Now()):
		s.fail("a new lease begins before %s, the end of the former one", before.LeaseUntil)
	case before.Epoch == 0 && after.Epoch == 1:
		s.mark("placed")
	case after.Epoch > before.Epoch && held(before):
		// One entry ends the lease that ran out and begins the next one.
		s.mark("expired")
	case after.State == model.TaskRunning && before.State == model.TaskStarting:
		s.mark("started")
	case after.State == model.TaskRunning && after.LeaseUntil.After(before.LeaseUntil):
		s.mark("renewed")
	case held(before) && !held(after) && after.State == model.TaskPending:
		s.mark("expired")
	case after.State == model.TaskCancelled && before.State != model.TaskCancelled:
		s.mark("stopped")
	}
}

// round is one second.
func (s *leaseScene) round() {
	s.now = s.now.Add(time.Second)
	if !s.repairAt.IsZero() && !s.now.Before(s.repairAt) {
		s.repair()
	}
	s.work()
	s.list()
	if s.pause > 0 {
		if s.pause--; s.pause == 0 {
			s.lead()
		}
		return
	}
	s.report()
	s.decide()
	s.act()
	s.checkOnce()
}

// work ends tasks that were stopped or whose lease has run out on the worker.
func (s *leaseScene) work() {
	for _, name := range s.names {
		w := s.workers[name]
		for key, t := range w.tasks {
			over := !s.now.Before(t.until) && !s.ignoreLeases
			if !w.up || t.stopping || over {
				delete(w.tasks, key)
				w.ended[key] = s.listed(name, t.epoch, sched.OutcomeStopped, 0)
			}
		}
	}
}

func (s *leaseScene) listed(host string, epoch uint64, out sched.Outcome, left time.Duration) sched.ListedTask {
	return sched.ListedTask{Report: sched.Report{Job: "j", Epoch: epoch, Host: host, Outcome: out, UsedCores: s.usedCores}, LeaseRemaining: left}
}

// list is what the platform knows. A worker that is cut off is not in it, and
// its tasks are not either.
func (s *leaseScene) list() {
	var list []sched.ListedTask
	for _, name := range s.names {
		w := s.workers[name]
		if w.cut || !w.up {
			continue
		}
		for _, e := range w.ended {
			list = append(list, e)
		}
		for _, t := range w.tasks {
			list = append(list, s.listed(name, t.epoch, sched.OutcomeRunning, t.until.Sub(s.now)))
		}
	}
	s.lists = append(s.lists, list)
}

// reports returns the listings that reach the leader.
func (s *leaseScene) reports() []sched.Report {
	last := len(s.lists) - 1
	var from [][]sched.ListedTask
	switch {
	case s.noReports || s.silent:
		return nil
	case s.lose > 0:
		s.lose--
		return nil
	case s.late:
		from = s.lists[max(0, last-5) : max(0, last-5)+1]
	case s.twice:
		from = [][]sched.ListedTask{s.lists[last], s.lists[last]}
	case s.shuffle:
		from = [][]sched.ListedTask{s.lists[last], s.lists[max(0, last-1)]}
	default:
		from = s.lists[last:]
	}
	var reports []sched.Report
	for _, list := range from {
		for _, l := range list {
			reports = append(reports, l.Report)
		}
	}
	return reports
}

func (s *leaseScene) report() {
	if s.noReports || s.silent || s.refuse {
		s.commit(state.Tick{Origin: s.origin()})
		return
	}
	r := state.HostReport{Origin: s.origin()}
	for _, name := range s.names {
		w := s.workers[name]
		if w.cut {
			continue
		}
		health := model.HealthHealthy
		if !w.up {
			health = model.HealthUnhealthy
		}
		r.Hosts = append(r.Hosts, state.HostObservation{Host: name, Health: health, InFlight: len(w.tasks), BootID: "b", Observed: s.time()})
	}
	s.commit(r)
}

func (s *leaseScene) decide() {
	s.outbox = s.scheduler.Plan(s.st.Snapshot(), sched.Input{Reports: s.reports()}, s.time()).Commands
	due := s.held
	s.held = nil
	if s.shuffle {
		slices.Reverse(s.outbox)
	}
	if s.late {
		s.held, s.outbox = s.outbox, nil
	}
	s.outbox = append(due, s.outbox...)
	for len(s.outbox) > 0 {
		cmd := s.outbox[0]
		s.outbox = s.outbox[1:]
		if s.refuse {
			continue
		}
		s.do(cmd)
		if s.twice {
			s.do(cmd)
		}
	}
}

func (s *leaseScene) act() {
	if s.noCalls || s.silent || s.pause > 0 {
		return
	}
	for _, a := range sched.Actions(s.st.Snapshot(), s.lists[len(s.lists)-1], s.time()) {
		if s.lose > 0 {
			s.lose--
			continue
		}
		// A call carries the rest of the lease, which needs no common clock.
		left := a.Until.Sub(s.time())
		s.call(a, left)
		if s.twice {
			s.call(a, left)
		}
	}
}

func (s *leaseScene) call(a sched.Action, left time.Duration) {
	w := s.workers[a.Host]
	if w == nil || !w.up || w.cut || a.Epoch < w.seen[a.Job] {
		return
	}
	t := w.tasks[a.Job]
	isNew := a.Epoch > w.seen[a.Job]
	w.seen[a.Job] = a.Epoch
	switch {
	case a.Stop && t != nil && t.epoch == a.Epoch:
		t.stopping = true
	case a.Stop:
		w.ended[a.Job] = s.listed(a.Host, a.Epoch, sched.OutcomeStopped, 0)
	case t != nil && t.epoch == a.Epoch:
		t.until = s.now.Add(left)
	case isNew:
		w.tasks[a.Job] = &liveTask{epoch: a.Epoch, until: s.now.Add(left)}
		delete(w.ended, a.Job)
	}
}

// checkOnce looks at the workers alone: the task runs on one at most.
func (s *leaseScene) checkOnce() {
	var running []string
	for _, name := range s.names {
		if len(s.workers[name].tasks) > 0 {
			running = append(running, name)
		}
	}
	if len(running) > 1 {
		s.fail("the task runs on %s at once", strings.Join(running, " and "))
	}
}

func (s *leaseScene) repair() {
	s.heal()
	for _, name := range s.names {
		s.workers[name].up = true
	}
	s.usedCores = 0
	s.healed()
}

func (s *leaseScene) until(done func() bool) bool {
	for range leaseRounds {
		if done() {
			return true
		}
		s.round()
	}
	return false
}

func (s *leaseScene) play() []string {
	j := model.New(model.KindJob).(*model.Job)
	j.Name = "j"
	j.Spec = model.JobSpec{Pool: "a", Tasks: 1, Cores: 4, MemoryMB: 1024, Priority: model.PriorityNormal}
	s.request = state.Put{Origin: state.Origin{Actor: "operator", Time: s.time(), ChangeID: "job-1", IssuedAt: epoch}, Object: j}
	s.first = s.do(s.request)
	isOver := func() bool { return s.task().State == model.TaskCancelled }
	s.until(func() bool { return s.seen["renewed"] || isOver() })
	// The worker is cut off until its lease has run out.
	cutOff := s.workers[s.task().Host]
	if cutOff != nil {
		cutOff.cut = true
	}
	s.until(func() bool { return s.seen["expired"] || isOver() })
	if cutOff != nil {
		cutOff.cut = false
	}
	if !s.until(func() bool { return s.repairAt.IsZero() && (s.task().State == model.TaskRunning || isOver()) }) {
		s.fail("the task is not placed again: %+v", s.task())
	}
	s.cancel()
	if !s.until(func() bool { return s.repairAt.IsZero() && isOver() }) {
		s.fail("the task is not stopped: %+v", s.task())
	}
	s.until(func() bool { return s.repairAt.IsZero() })
	return s.found
}

func (s *leaseScene) cancel() {
	next := s.job().Clone().(*model.Job)
	next.Spec.Cancelled = true
	s.do(state.Put{Origin: s.origin(), Object: next, Expected: state.AnyVersion})
}

func (s *leaseScene) inject(f injection) {
	s.repairAt = s.now.Add(leaseRepair)
	if s.injectMessages(f) || s.injectProcess(f, s.lead) {
		return
	}
	name := s.task().Host
	if name == "" {
		name = s.names[0]
	}
	w := s.workers[name]
	switch f {
	case restart:
		clear(w.tasks)
		clear(w.ended)
	case failAgain:
		w.up = false
		s.onRepair = append(s.onRepair, func() {
			if next := s.workers[s.task().Host]; next != nil {
				next.up, s.repairAt = false, s.now.Add(leaseRepair)
			}
		})
	case rackLost, zoneLost:
		// Two neighbours share a rack; the zone takes the platform's link along.
		i := slices.Index(s.names, name) / 2 * 2
		s.workers[s.names[i]].up, s.workers[s.names[i+1]].up = false, false
		s.noReports = s.noReports || f == zoneLost
	case falseSize:
		s.usedCores = 14
	case cancellation:
		s.cancel()
	case twoOperators:
		s.race()
	case resend:
		s.again(s.do)
	default:
		panic("no injection for " + f)
	}
}

// race has two operators change one version of the job.
func (s *leaseScene) race() {
	taken := 0
	base := s.job()
	for range 2 {
		s.rivals++
		next := base.Clone().(*model.Job)
		next.Spec.MemoryMB += s.rivals
		if s.do(state.Put{Origin: s.origin(), Object: next, Expected: base.Version}).Err == nil {
			taken++
		}
	}
	if taken != 1 {
		s.fail("%d of two operators succeed on one version", taken)
	}
}

// Guards against a check of leases that finds nothing: workers that run on
// after their lease must be found.
func TestLeaseCheckFindsWorkersThatIgnoreLeases(t *testing.T) {
	t.Parallel()
	s := newLeaseScene(rand.New(rand.NewPCG(1, 6)), func(string) {})
	s.ignoreLeases = true
	require.Contains(t, strings.Join(s.play(), "\n"), "at once")
}
