package manager_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/jobs"
	"laburnumdock/internal/core/manager"
)

// configure sends a changed configuration until it is accepted.
func (s *simulation) configure(change func(c *jobs.Config)) {
	s.lastConfig = max(s.lastConfig, s.state.Config().Version) + 1
	c := s.jobsConfig(s.lastConfig)
	change(c)
	isAccepted := false
	var attempt func()
	attempt = func() {
		if isAccepted {
			return
		}
		s.request(manager.Request{Kind: manager.RequestConfigure, Config: c}, func(manager.Reply) { isAccepted = true })
		s.schedule(300*time.Millisecond, attempt)
	}
	attempt()
}

// withoutQueue removes a queue.
func withoutQueue(name string) func(c *jobs.Config) {
	return func(c *jobs.Config) {
		var kept []jobs.Queue
		for _, q := range c.Queues {
			if q.Name != name {
				kept = append(kept, q)
			}
		}
		c.Queues = kept
	}
}

// withName gives a queue another name.
func withName(name, next string) func(c *jobs.Config) {
	return func(c *jobs.Config) { c.Queue(name).Name = next }
}

// withAttempts changes the limit of a queue.
func withAttempts(name string, limit int) func(c *jobs.Config) {
	return func(c *jobs.Config) { c.Queue(name).MaxAttempts = limit }
}

func unchanged(*jobs.Config) {}

// hopelessSpec returns a job whose tasks always fail.
func hopelessSpec(steps ...jobs.Step) *jobs.Spec {
	for i := range steps {
		steps[i].Demand = jobs.Resources{CPU: 2000, MemoryMB: 3000}
		steps[i].Estimate = 400
	}
	return &jobs.Spec{Payload: "poison", Steps: steps}
}

// Guards against tasks that are started beyond their limit, or a job that never ends,
// because its queue has been removed, renamed, restored or changed since it was accepted
// (review/8).
func TestAttemptsAreLimitedAfterQueueChanges(t *testing.T) {
	type change struct {
		at     time.Duration
		change func(c *jobs.Config)
	}
	const ms = time.Millisecond
	removed := withoutQueue("quotes")
	for name, test := range map[string]struct {
		changes  []change
		failover time.Duration
		step     jobs.Step
		repeat   int
		starts   int
	}{
		"removed at once":                  {changes: []change{{0, removed}}, starts: 3},
		"removed after a failure":          {changes: []change{{600 * ms, removed}}, starts: 3},
		"removed after two failures":       {changes: []change{{1000 * ms, removed}}, starts: 3},
		"renamed":                          {changes: []change{{300 * ms, withName("quotes", "prices")}}, starts: 3},
		"removed and restored":             {changes: []change{{300 * ms, removed}, {700 * ms, unchanged}}, starts: 3},
		"removed by two changes":           {changes: []change{{300 * ms, removed}, {310 * ms, removed}, {600 * ms, removed}}, starts: 3},
		"restored with a higher limit":     {changes: []change{{300 * ms, removed}, {700 * ms, withAttempts("quotes", 5)}}, starts: 5},
		"removed, then a change of leader": {changes: []change{{300 * ms, removed}}, failover: 700 * ms, starts: 3},
		"removed, gang":                    {changes: []change{{0, removed}}, step: jobs.Step{Count: 2, Gang: true}, starts: 4},
		"removed before an occurrence":     {changes: []change{{300 * ms, removed}}, repeat: 2, starts: 3},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSmallFleet(t, 21)
			starts := 0
			s.onStart = func(manager.Call) { starts++ }
			spec := hopelessSpec(jobs.Step{Count: max(test.step.Count, 1), Gang: test.step.Gang})
			if test.repeat > 0 {
				spec.Repeat, spec.FirstDue, spec.Interval = test.repeat, s.now.Add(time.Second).UnixMilli(), 60_000
			}
			id := s.submit("/quotes/", spec)
			s.jobs[id].maxAttempts = max(test.starts, 3)
			s.advance(100 * ms)
			for _, c := range test.changes {
				s.schedule(c.at, func() { s.configure(c.change) })
			}
			if test.failover > 0 {
				s.schedule(test.failover, func() { s.failover(500 * ms) })
			}
			s.advance(20 * time.Second)
			require.Equal(t, jobs.PhaseFailed, s.phase(id))
			require.Equal(t, test.starts, starts)
			s.requireNoViolations()
		})
	}
}

// Guards against a start after the limit was lowered to the failures that a task has had,
// and against a job that waits for a further failure then.
func TestLoweredLimitEndsJob(t *testing.T) {
	s := newSmallFleet(t, 22)
	id := s.submit("/quotes/", hopelessSpec(jobs.Step{Count: 1}))
	s.advance(100 * time.Millisecond)
	for s.state.Job(id).Steps[0][0].Tasks[0].Failures < 2 {
		s.advance(10 * time.Millisecond)
	}
	require.Equal(t, jobs.PhaseRunning, s.phase(id))
	s.configure(withAttempts("quotes", 2))
	s.advance(50 * time.Millisecond)
	require.Equal(t, jobs.PhaseFailed, s.phase(id))
	starts := 0
	s.onStart = func(manager.Call) { starts++ }
	s.advance(10 * time.Second)
	require.Zero(t, starts)
}

// Guards against an accepted job of a removed queue that is not placed any more: without
// the advisor's settings it gets no ticket, and executors refuse its tasks.
func TestAdvisedJobCompletesAfterItsQueueIsRemoved(t *testing.T) {
	s := newSimulation(t, 23)
	for range 6 {
		s.addHost("b")
	}
	s.setAdvisor(50, 5)
	s.advance(3 * time.Second)
	spec := &jobs.Spec{Payload: "advised", Steps: []jobs.Step{
		{Count: 2, Demand: jobs.Resources{CPU: 2000, MemoryMB: 3000}, Estimate: 400},
		{Count: 4, Demand: jobs.Resources{CPU: 2000, MemoryMB: 3000}, Estimate: 400, After: []int{0}},
	}}
	id := s.submit("/advised/", spec)
	s.advance(50 * time.Millisecond)
	s.configure(withoutQueue("advised"))
	s.advance(6 * time.Second)
	s.requireCompleted([]string{id}, true)
	s.requireNoViolations()
}

// Guards against a job whose priority and deadline change when its queue is removed: jobs
// of a less urgent queue would start before it, or it before more urgent ones.
func TestRemovedQueueKeepsItsPriority(t *testing.T) {
	l := newDirectLeader(t)
	config := *l.state.Config()
	config.Version++
	config.Queues = append(config.Queues, jobs.Queue{Name: "low", Host: "h", Prefix: "/low/", Pool: "p", Timeout: 1000, MaxAttempts: 2, Priority: 5})
	l.configure(&config)
	l.report(restartReport(5, 1))
	submit := func(path string) {
		spec := &jobs.Spec{Steps: []jobs.Step{{Count: 1, Demand: jobs.Resources{CPU: 1000}, Estimate: 1000}}}
		l.manager.HandleRequest(manager.Request{ID: 1, Kind: manager.RequestSubmit, Host: "h", Path: path, Spec: spec}, l.now)
		l.step(time.Millisecond)
	}
	submit("/low/" + concludedJob)
	next := config
	next.Version++
	next.Queues = config.Queues[:1]
	l.configure(&next)
	submit("/q/" + departedJob)
	l.answerHolds("i-1", 5)
	require.Equal(t, departedJob, l.take(manager.CallStart).Task.Job)
}

func (l *directLeader) configure(c *jobs.Config) {
	l.manager.HandleRequest(manager.Request{ID: 7, Kind: manager.RequestConfigure, Config: c}, l.now)
	l.step(0)
}

// Guards against jobs that are missing from the count of waiting jobs because the queue
// has got another name, and against a retired queue that takes submissions.
func TestRenamedQueueCountsItsWaitingJobs(t *testing.T) {
	l := newDirectLeader(t)
	l.submit(concludedJob)
	config := *l.state.Config()
	config.Version++
	config.Queues = []jobs.Queue{config.Queues[0]}
	config.Queues[0].Name = "other"
	l.configure(&config)
	require.Equal(t, 1, l.request(manager.Request{Kind: manager.RequestPending, Host: "h", Path: "/q/"}).Pending)
	config.Version++
	config.Queues = nil
	l.configure(&config)
	require.Equal(t, manager.ReplyNoQueue, l.request(manager.Request{Kind: manager.RequestPending, Host: "h", Path: "/q/"}).Kind)
}

// Guards against jobs that are missing from the count of waiting jobs although their starts
// did not reach the executor, also under a new leader.
func TestJobCountsAsWaitingUntilItsStartIsKnown(t *testing.T) {
	l := newDirectLeader(t)
	pending := func() int {
		return l.request(manager.Request{Kind: manager.RequestPending, Host: "h", Path: "/q/"}).Pending
	}
	l.report(restartReport(5, 1))
	l.answerHolds("i-1", 5)
	l.submit(concludedJob)
	start := l.take(manager.CallStart)
	require.Equal(t, 1, pending(), "the start has no answer yet")
	l.answer(start, manager.Outcome{Verdict: manager.NoAnswer})
	require.Equal(t, 1, pending())
	l.lead()
	require.Equal(t, 1, pending())
	l.answer(l.takeFor(manager.CallHold, "i-1"), listing(5, 50, runningRow(start)))
	require.Zero(t, pending())
	l.lead()
	l.submit(departedJob)
	ended := listing(5, 60)
	ended.Ended = []manager.EndedRow{{Number: 1, Task: start.Task, Run: start.Run, How: jobs.ResultFailed}}
	l.answer(l.takeFor(manager.CallHold, "i-1"), ended)
	require.Equal(t, 1, pending(), "only the other job waits")
}

// request makes a request that is answered at once.
func (l *directLeader) request(req manager.Request) manager.Reply {
	req.ID = 99
	l.manager.HandleRequest(req, l.now)
	for _, r := range l.manager.Step(l.now).Replies {
		if r.ID == req.ID {
			return r
		}
	}
	require.Fail(l.t, "no reply")
	return manager.Reply{}
}

// Guards against a job without a limit that is accepted while the removal of its queue is
// on its way: the queue must keep its definition although it had no job before.
func TestSubmissionDuringRemovalKeepsItsLimit(t *testing.T) {
	l := newDirectLeader(t)
	config := *l.state.Config()
	config.Queues = nil
	for range 2 {
		config.Version++
		next := config
		l.manager.HandleRequest(manager.Request{ID: 7, Kind: manager.RequestConfigure, Config: &next}, l.now)
	}
	l.submit(concludedJob)
	l.step(0)
	limit, source := l.state.AttemptLimit(l.state.Job(concludedJob).Queue)
	require.Equal(t, 2, limit)
	require.Equal(t, jobs.LimitRetired, source)
}

// Guards against definitions of removed queues that are kept for ever.
func TestUnneededQueueIsForgotten(t *testing.T) {
	l := newDirectLeader(t)
	config := *l.state.Config()
	config.Queues = nil
	for range 2 {
		config.Version++
		next := config
		l.configure(&next)
	}
	require.Empty(t, l.state.Config().Queues)
}

// Guards against a job without a limit in records of an earlier version, which removed its
// queue without keeping the definition: it gets a finite limit, and a new leader ends it
// if the task has failed more often already.
func TestJobOfUnknownQueueEnds(t *testing.T) {
	for _, failures := range []int{0, 3, 4, 11} {
		l := newDirectLeader(t)
		l.submit(concludedJob)
		removal := *l.state.Config()
		removal.Version, removal.Queues = 2, nil
		dump := l.state.Dump()
		dump.Config = &removal
		dump.Jobs[0].Phase = jobs.PhaseRunning
		dump.Jobs[0].Steps[0][0].Tasks[0] = jobs.Task{LastRun: failures, Failures: failures}
		l.state = jobs.Restore(dump)
		l.lead()
		starts := 0
		for range 30 {
			l.report(restartReport(5, l.now.UnixMilli()))
			l.answerHolds("i-1", 5)
			l.step(100 * time.Millisecond)
			if l.count(manager.CallStart) == 0 {
				continue
			}
			starts++
			call := l.take(manager.CallStart)
			l.answer(call, manager.Outcome{Verdict: manager.OK})
			ended := listing(5, 50)
			ended.Ended = []manager.EndedRow{{Number: int64(starts), Task: call.Task, Run: call.Run, How: jobs.ResultFailed}}
			l.answer(l.takeFor(manager.CallHold, "i-1"), ended)
		}
		require.Equal(t, jobs.PhaseFailed, l.state.Job(concludedJob).Phase, "%d failures", failures)
		require.Equal(t, max(jobs.DefaultMaxAttempts-failures, 0), starts, "%d failures", failures)
	}
}

// playQueueChanges removes, renames, changes and restores queues while their jobs run, of
// which some always fail.
func playQueueChanges(s *simulation, rng *rand.Rand) []string {
	names, paths := []string{"quotes", "cuts", "advised"}, []string{"/quotes/", "/cuts/", "/advised/"}
	var ids []string
	for range 2 + rng.IntN(4) {
		spec := hopelessSpec(jobs.Step{Count: 1 + rng.IntN(3), Gang: rng.IntN(3) == 0})
		if rng.IntN(4) == 0 {
			spec.Repeat, spec.FirstDue, spec.Interval = 2, s.now.UnixMilli(), int64(500+rng.IntN(8000))
		}
		ids = append(ids, s.submit(paths[rng.IntN(2)], spec))
	}
	ids = append(ids, s.submit("/quotes/", batchSpec(1+rng.IntN(6), int64(300+rng.IntN(1500)))))
	ids = append(ids, s.submitAdvised(1+rng.IntN(3), 1+rng.IntN(4), jobs.Resources{CPU: 1800, MemoryMB: 3300})...)
	s.advance(100 * time.Millisecond)
	for range 1 + rng.IntN(3) {
		chosen := rng.IntN(len(names))
		change := []func(*jobs.Config){withoutQueue(names[chosen]), withName(names[chosen], "other-"+names[chosen]), func(c *jobs.Config) { c.Queues = nil }}[rng.IntN(3)]
		s.schedule(time.Duration(rng.IntN(4000))*time.Millisecond, func() { s.configure(change) })
	}
	if rng.IntN(3) == 0 {
		s.schedule(time.Duration(rng.IntN(5000))*time.Millisecond, func() { s.failover(time.Duration(500+rng.IntN(1000)) * time.Millisecond) })
	}
	s.schedule(time.Duration(5000+rng.IntN(5000))*time.Millisecond, func() { s.configure(unchanged) })
	return ids
}
