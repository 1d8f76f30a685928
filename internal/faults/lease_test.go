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
	// leaseRepairTime is the time from a fault to its repair.
	leaseRepairTime = 40 * time.Second
	maxLeaseRounds  = 1200
)

// liveTask is a task that runs on a worker under a lease.
type liveTask struct {
	epoch      uint64
	leaseUntil time.Time
	isStopping bool
}

// worker is the actual state of one host that runs tasks.
type worker struct {
	// isCutOff is set while the procedure itself disconnects the worker.
	isUp, isCutOff bool
	tasks          map[string]*liveTask
	// highestEpochs holds the highest epoch received for each job. A call with an
	// older epoch is refused.
	highestEpochs map[string]uint64
	endedTasks    map[string]sched.ListedTask
}

// leaseSimulation simulates a leader with workers that run the task of one job.
type leaseSimulation struct {
	*leader
	scheduler *sched.Scheduler
	workers   map[string]*worker
	names     []string
	listings  [][]sched.ListedTask
	// usedCores is the number of cores that workers report for the task.
	usedCores  int
	rivalCount int
	// ignoresLeases selects a faulty variant in which workers keep running tasks
	// after the lease has expired.
	ignoresLeases bool
}

func leaseProcedure() procedure {
	return procedure{
		name:          "lease of a task",
		steps:         []string{"placed", "started", "renewed", "expired", "stopped"},
		newSimulation: func(rng *rand.Rand, onEvent func(string)) simulation { return newLeaseSimulation(rng, onEvent) },
		skipReason: func(step string, f faultKind) string {
			if f == cancellation && step == "stopped" {
				return "the step is the end of the cancellation itself"
			}
			return ""
		},
	}
}

func newLeaseSimulation(rng *rand.Rand, onEvent func(string)) *leaseSimulation {
	s := &leaseSimulation{leader: newLeader(rng, onEvent), workers: map[string]*worker{}}
	s.startLeader()
	p := model.New(model.KindPool).(*model.Pool)
	p.Name = "a"
	s.commit(state.Put{Origin: s.origin(), Object: p})
	for i := range 6 {
		h := model.New(model.KindHost).(*model.Host)
		h.Name = fmt.Sprintf("host-%d", i)
		h.Spec = model.HostSpec{Pool: "a", Zone: fmt.Sprintf("zone-%d", i/2), Rack: fmt.Sprintf("rack-%d", i/2), Cores: 16, MemoryMB: 64 << 10}
		s.commit(state.Put{Origin: s.origin(), Object: h})
		s.names = append(s.names, h.Name)
		s.workers[h.Name] = &worker{isUp: true, tasks: map[string]*liveTask{}, highestEpochs: map[string]uint64{}, endedTasks: map[string]sched.ListedTask{}}
	}
	return s
}

// startLeader starts the leader's process with a new scheduler.
func (s *leaseSimulation) startLeader() {
	s.scheduler = sched.New()
	s.startProcess()
}

func (s *leaseSimulation) job() *model.Job {
	job, _ := s.st.Get(model.Key{Kind: model.KindJob, Name: "j"}).(*model.Job)
	return job
}

func (s *leaseSimulation) task() model.Task {
	if job := s.job(); job != nil && len(job.Status.Tasks) > 0 {
		return job.Status.Tasks[0]
	}
	return model.Task{State: model.TaskPending}
}

// execute commits a command and marks the step that the task reaches by it.
func (s *leaseSimulation) execute(cmd state.Command) state.Result {
	before := s.task()
	res := s.commit(cmd)
	after := s.task()
	s.markTaskStep(before, after)
	return res
}

func (s *leaseSimulation) markTaskStep(before, after model.Task) {
	hasHost := func(t model.Task) bool { return t.Host != "" }
	switch {
	case after.Epoch < before.Epoch:
		s.fail("epoch of the task decreased from %d to %d", before.Epoch, after.Epoch)
	case after.Epoch > before.Epoch && hasHost(before) && before.LeaseUntil.After(s.st.Now()):
		s.fail("a new lease began before %s, the end of the previous one", before.LeaseUntil)
	case before.Epoch == 0 && after.Epoch == 1:
		s.markStep("placed")
	case after.Epoch > before.Epoch && hasHost(before):
		// One entry ends the expired lease and begins the next one.
		s.markStep("expired")
	case after.State == model.TaskRunning && before.State == model.TaskStarting:
		s.markStep("started")
	case after.State == model.TaskRunning && after.LeaseUntil.After(before.LeaseUntil):
		s.markStep("renewed")
	case hasHost(before) && !hasHost(after) && after.State == model.TaskPending:
		s.markStep("expired")
	case after.State == model.TaskCancelled && before.State != model.TaskCancelled:
		s.markStep("stopped")
	}
}

// runRound runs one round, which lasts one second.
func (s *leaseSimulation) runRound() {
	s.now = s.now.Add(time.Second)
	if !s.repairAt.IsZero() && !s.now.Before(s.repairAt) {
		s.repair()
	}
	s.updateWork()
	s.recordListing()
	if s.leaderlessRounds > 0 {
		if s.leaderlessRounds--; s.leaderlessRounds == 0 {
			s.startLeader()
		}
		return
	}
	s.report()
	s.plan()
	s.sendActions()
	s.checkSingleWorker()
}

// updateWork ends tasks that were stopped, whose lease has expired on the worker or
// whose worker is down.
func (s *leaseSimulation) updateWork() {
	for _, name := range s.names {
		w := s.workers[name]
		for key, t := range w.tasks {
			isExpired := !s.now.Before(t.leaseUntil) && !s.ignoresLeases
			if !w.isUp || t.isStopping || isExpired {
				delete(w.tasks, key)
				w.endedTasks[key] = s.listedTask(name, t.epoch, sched.OutcomeStopped, 0)
			}
		}
	}
}

func (s *leaseSimulation) listedTask(host string, epoch uint64, outcome sched.Outcome, remaining time.Duration) sched.ListedTask {
	return sched.ListedTask{Report: sched.Report{Job: "j", Epoch: epoch, Host: host, Outcome: outcome, UsedCores: s.usedCores}, LeaseRemaining: remaining}
}

// recordListing records the platform's current listing. It omits workers that are
// down or cut off, and their tasks.
func (s *leaseSimulation) recordListing() {
	var list []sched.ListedTask
	for _, name := range s.names {
		w := s.workers[name]
		if w.isCutOff || !w.isUp {
			continue
		}
		for _, e := range w.endedTasks {
			list = append(list, e)
		}
		for _, t := range w.tasks {
			list = append(list, s.listedTask(name, t.epoch, sched.OutcomeRunning, t.leaseUntil.Sub(s.now)))
		}
	}
	s.listings = append(s.listings, list)
}

// reports returns the task reports of the listings that reach the leader.
func (s *leaseSimulation) reports() []sched.Report {
	last := len(s.listings) - 1
	var from [][]sched.ListedTask
	switch {
	case s.dropReports || s.connectionSilent:
		return nil
	case s.messagesToLose > 0:
		s.messagesToLose--
		return nil
	case s.delayMessages:
		from = s.listings[max(0, last-5) : max(0, last-5)+1]
	case s.duplicateMessages:
		from = [][]sched.ListedTask{s.listings[last], s.listings[last]}
	case s.reorderMessages:
		from = [][]sched.ListedTask{s.listings[last], s.listings[max(0, last-1)]}
	default:
		from = s.listings[last:]
	}
	var reports []sched.Report
	for _, list := range from {
		for _, l := range list {
			reports = append(reports, l.Report)
		}
	}
	return reports
}

// report commits the health of the hosts, or a Tick if no report gets through.
func (s *leaseSimulation) report() {
	if s.dropReports || s.connectionSilent || s.storageFailed {
		s.commit(state.Tick{Origin: s.origin()})
		return
	}
	r := state.HostReport{Origin: s.origin()}
	for _, name := range s.names {
		w := s.workers[name]
		if w.isCutOff {
			continue
		}
		health := model.HealthHealthy
		if !w.isUp {
			health = model.HealthUnhealthy
		}
		r.Hosts = append(r.Hosts, state.HostObservation{Host: name, Health: health, InFlight: len(w.tasks), BootID: "b", Observed: s.time()})
	}
	s.commit(r)
}

// plan runs the scheduler and proposes its commands. Delayed commands are proposed
// in the next round.
func (s *leaseSimulation) plan() {
	s.outbox = s.scheduler.Plan(s.st.Snapshot(), sched.Input{Reports: s.reports()}, s.time()).Commands
	due := s.delayed
	s.delayed = nil
	if s.reorderMessages {
		slices.Reverse(s.outbox)
	}
	if s.delayMessages {
		s.delayed, s.outbox = s.outbox, nil
	}
	s.outbox = append(due, s.outbox...)
	for len(s.outbox) > 0 {
		cmd := s.outbox[0]
		s.outbox = s.outbox[1:]
		if s.storageFailed {
			continue
		}
		s.execute(cmd)
		if s.duplicateMessages {
			s.execute(cmd)
		}
	}
}

// sendActions sends the actions that the state requires to the workers.
func (s *leaseSimulation) sendActions() {
	if s.dropCalls || s.connectionSilent || s.leaderlessRounds > 0 {
		return
	}
	for _, a := range sched.Actions(s.st.Snapshot(), s.listings[len(s.listings)-1], s.time()) {
		if s.messagesToLose > 0 {
			s.messagesToLose--
			continue
		}
		// A call carries the remaining time of the lease, so that leader and worker
		// need no common clock.
		remaining := a.Until.Sub(s.time())
		s.executeAction(a, remaining)
		if s.duplicateMessages {
			s.executeAction(a, remaining)
		}
	}
}

// executeAction simulates a worker executing an action.
func (s *leaseSimulation) executeAction(a sched.Action, remaining time.Duration) {
	w := s.workers[a.Host]
	if w == nil || !w.isUp || w.isCutOff || a.Epoch < w.highestEpochs[a.Job] {
		return
	}
	t := w.tasks[a.Job]
	isNew := a.Epoch > w.highestEpochs[a.Job]
	w.highestEpochs[a.Job] = a.Epoch
	switch {
	case a.Stop && t != nil && t.epoch == a.Epoch:
		t.isStopping = true
	case a.Stop:
		w.endedTasks[a.Job] = s.listedTask(a.Host, a.Epoch, sched.OutcomeStopped, 0)
	case t != nil && t.epoch == a.Epoch:
		t.leaseUntil = s.now.Add(remaining)
	case isNew:
		w.tasks[a.Job] = &liveTask{epoch: a.Epoch, leaseUntil: s.now.Add(remaining)}
		delete(w.endedTasks, a.Job)
	}
}

// checkSingleWorker checks on the workers themselves that the task runs on at most
// one of them.
func (s *leaseSimulation) checkSingleWorker() {
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

func (s *leaseSimulation) repair() {
	s.clearFaults()
	for _, name := range s.names {
		s.workers[name].isUp = true
	}
	s.usedCores = 0
	s.finishRepair()
}

func (s *leaseSimulation) runUntil(done func() bool) bool {
	for range maxLeaseRounds {
		if done() {
			return true
		}
		s.runRound()
	}
	return false
}

func (s *leaseSimulation) run() []string {
	j := model.New(model.KindJob).(*model.Job)
	j.Name = "j"
	j.Spec = model.JobSpec{Pool: "a", Tasks: 1, Cores: 4, MemoryMB: 1024, Priority: model.PriorityNormal}
	s.operatorRequest = state.Put{Origin: state.Origin{Actor: "operator", Time: s.time(), ChangeID: "job-1", IssuedAt: epoch}, Object: j}
	s.firstResult = s.execute(s.operatorRequest)
	isCancelled := func() bool { return s.task().State == model.TaskCancelled }
	s.runUntil(func() bool { return s.reachedSteps["renewed"] || isCancelled() })
	// The worker is cut off until its lease has expired.
	cutOff := s.workers[s.task().Host]
	if cutOff != nil {
		cutOff.isCutOff = true
	}
	s.runUntil(func() bool { return s.reachedSteps["expired"] || isCancelled() })
	if cutOff != nil {
		cutOff.isCutOff = false
	}
	if !s.runUntil(func() bool { return s.repairAt.IsZero() && (s.task().State == model.TaskRunning || isCancelled()) }) {
		s.fail("the task was not placed again: %+v", s.task())
	}
	s.cancel()
	if !s.runUntil(func() bool { return s.repairAt.IsZero() && isCancelled() }) {
		s.fail("the task was not stopped: %+v", s.task())
	}
	s.runUntil(func() bool { return s.repairAt.IsZero() })
	return s.violations
}

func (s *leaseSimulation) cancel() {
	next := s.job().Clone().(*model.Job)
	next.Spec.Cancelled = true
	s.execute(state.Put{Origin: s.origin(), Object: next, Expected: state.AnyVersion})
}

func (s *leaseSimulation) inject(f faultKind) {
	s.repairAt = s.now.Add(leaseRepairTime)
	if s.injectMessageFault(f) || s.injectProcessFault(f, s.startLeader) {
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
		clear(w.endedTasks)
	case secondFault:
		w.isUp = false
		s.onRepair = append(s.onRepair, func() {
			if next := s.workers[s.task().Host]; next != nil {
				next.isUp, s.repairAt = false, s.now.Add(leaseRepairTime)
			}
		})
	case rackLost, zoneLost:
		// Two adjacent hosts share a rack. The loss of the zone also cuts the
		// platform's reports.
		i := slices.Index(s.names, name) / 2 * 2
		s.workers[s.names[i]].isUp, s.workers[s.names[i+1]].isUp = false, false
		s.dropReports = s.dropReports || f == zoneLost
	case falseSize:
		// The task uses more than the 4 cores that its job declares.
		s.usedCores = 14
	case cancellation:
		s.cancel()
	case twoOperators:
		s.raceOperators()
	case resend:
		s.resendRequest(s.execute)
	default:
		panic("fault not implemented: " + f)
	}
}

// raceOperators has two operators change the same version of the job. Exactly one
// must succeed.
func (s *leaseSimulation) raceOperators() {
	accepted := 0
	base := s.job()
	for range 2 {
		s.rivalCount++
		next := base.Clone().(*model.Job)
		next.Spec.MemoryMB += s.rivalCount
		if s.execute(state.Put{Origin: s.origin(), Object: next, Expected: base.Version}).Err == nil {
			accepted++
		}
	}
	if accepted != 1 {
		s.fail("%d of two operators succeed on one version", accepted)
	}
}

// Guards against a check of leases that misses workers which keep running a task
// after its lease has expired.
func TestLeaseCheckDetectsWorkersThatIgnoreLeases(t *testing.T) {
	t.Parallel()
	s := newLeaseSimulation(rand.New(rand.NewPCG(1, 6)), func(string) {})
	s.ignoresLeases = true
	require.Contains(t, strings.Join(s.run(), "\n"), "at once")
}
