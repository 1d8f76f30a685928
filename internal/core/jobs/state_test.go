package jobs

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/fault"
)

const testJobID = "0123456789abcdef"

func taskRef(step, index int) TaskRef { return TaskRef{Job: testJobID, Step: step, Index: index} }

// newState returns records with one executor and one job, by default a job of
// two dependent steps of two tasks each.
func newState(t *testing.T, steps ...Step) *State {
	t.Helper()
	s := New()
	mustApply(t, s, Command{Configure: &Config{Version: 1, Queues: []Queue{{Name: "q", Pool: "p", MaxAttempts: 2}}, Pools: []Pool{{Name: "p"}}}})
	mustApply(t, s, Command{RegisterExecutor: &RegisterExecutor{Executor: Executor{ID: "e", StartedAt: 5, Pool: "p"}}})
	if len(steps) == 0 {
		steps = []Step{{Count: 2}, {Count: 2, After: []int{0}}}
	}
	mustApply(t, s, Command{AcceptJob: &AcceptJob{ID: testJobID, Queue: "q", Pool: "p", Spec: Spec{Steps: steps}}})
	return s
}

func mustApply(t *testing.T, s *State, c Command) {
	t.Helper()
	if err := s.Apply(c); err != nil {
		require.NoError(t, err)
	}
}

func requireRefused(t *testing.T, s *State, c Command, kind fault.Kind) {
	t.Helper()
	err := s.Apply(c)
	require.NotNil(t, err)
	require.Equal(t, kind, err.Kind)
}

func beginRun(task TaskRef, run int) Command {
	return Command{BeginRun: &BeginRun{Task: task, Run: run, Executor: 1}}
}

func endRun(task TaskRef, run int, result RunResult, number int64) Command {
	return Command{EndRun: &EndRun{Task: task, Run: run, Executor: 1, Result: result, Number: number}}
}

// Guards against a step that starts before the step it depends on is done, and
// against a job that completes too early.
func TestStepsRunInOrder(t *testing.T) {
	s := newState(t)
	requireRefused(t, s, beginRun(taskRef(1, 0), 1), fault.Conflict)
	for i := range 2 {
		mustApply(t, s, beginRun(taskRef(0, i), 1))
		mustApply(t, s, endRun(taskRef(0, i), 1, ResultDone, int64(i+1)))
	}
	require.Equal(t, PhaseRunning, s.Job(testJobID).Phase)
	for i := range 2 {
		mustApply(t, s, beginRun(taskRef(1, i), 1))
		mustApply(t, s, endRun(taskRef(1, i), 1, ResultDone, int64(i+3)))
	}
	require.Equal(t, PhaseCompleted, s.Job(testJobID).Phase)
	requireRefused(t, s, beginRun(taskRef(1, 0), 2), fault.Conflict)
}

// Guards against two live runs of one task, a run number that is used twice,
// and a run that starts after the task is done.
func TestTaskHasOneRun(t *testing.T) {
	s := newState(t)
	mustApply(t, s, beginRun(taskRef(0, 0), 1))
	requireRefused(t, s, beginRun(taskRef(0, 0), 2), fault.Conflict)
	mustApply(t, s, endRun(taskRef(0, 0), 1, ResultLapsed, 0))
	requireRefused(t, s, beginRun(taskRef(0, 0), 1), fault.Conflict)
	mustApply(t, s, beginRun(taskRef(0, 0), 2))
	mustApply(t, s, endRun(taskRef(0, 0), 2, ResultDone, 1))
	requireRefused(t, s, beginRun(taskRef(0, 0), 3), fault.Conflict)
}

// Guards against an end that is counted twice because the executor lists it
// again, and against a task that becomes done through a run already concluded
// to have ended while another run is live.
func TestEndsCountOnce(t *testing.T) {
	s := newState(t)
	mustApply(t, s, beginRun(taskRef(0, 0), 1))
	mustApply(t, s, endRun(taskRef(0, 0), 1, ResultFailed, 1))
	requireRefused(t, s, endRun(taskRef(0, 0), 1, ResultFailed, 1), fault.Conflict)
	require.Equal(t, PhaseRunning, s.Job(testJobID).Phase)
	mustApply(t, s, beginRun(taskRef(0, 0), 2))
	mustApply(t, s, endRun(taskRef(0, 0), 2, ResultLapsed, 0))
	mustApply(t, s, beginRun(taskRef(0, 0), 3))
	mustApply(t, s, endRun(taskRef(0, 0), 2, ResultDone, 2))
	task, _ := s.Task(taskRef(0, 0))
	require.False(t, task.Done)
	require.True(t, task.HasLiveRun(3))
}

// Guards against a task that is retried beyond the queue's MaxAttempts.
func TestAttemptsAreCounted(t *testing.T) {
	s := newState(t)
	for run := 1; run <= 2; run++ {
		mustApply(t, s, beginRun(taskRef(0, 0), run))
		mustApply(t, s, endRun(taskRef(0, 0), run, ResultFailed, int64(run)))
	}
	require.Equal(t, PhaseFailed, s.Job(testJobID).Phase)
	requireRefused(t, s, beginRun(taskRef(0, 0), 3), fault.Conflict)
}

// Guards against a long-running job that completes or fails because its runs
// end.
func TestLongRunningTaskRestarts(t *testing.T) {
	s := newState(t, Step{Count: 1, LongRunning: true})
	for run := 1; run <= 5; run++ {
		mustApply(t, s, beginRun(taskRef(0, 0), run))
		mustApply(t, s, endRun(taskRef(0, 0), run, []RunResult{ResultDone, ResultFailed}[run%2], int64(run)))
	}
	require.Equal(t, PhaseRunning, s.Job(testJobID).Phase)
	mustApply(t, s, Command{CancelJob: &CancelJob{ID: testJobID}})
	require.Equal(t, PhaseCancelled, s.Job(testJobID).Phase)
}

// Guards against a gang of which only the member that ended counts as done.
func TestGangCompletesTogether(t *testing.T) {
	s := newState(t, Step{Count: 3, Gang: true})
	for i := range 3 {
		mustApply(t, s, beginRun(taskRef(0, i), 1))
	}
	mustApply(t, s, endRun(taskRef(0, 1), 1, ResultDone, 1))
	require.Equal(t, PhaseCompleted, s.Job(testJobID).Phase)
}

// Guards against a step that is counted as done once for each member of its
// gang, so that the job completes before its other steps have run.
func TestGangStepCompletesOnce(t *testing.T) {
	s := newState(t, Step{Count: 2, Gang: true}, Step{Count: 1, After: []int{0}})
	for i := range 2 {
		mustApply(t, s, beginRun(taskRef(0, i), 1))
	}
	for i := range 2 {
		mustApply(t, s, endRun(taskRef(0, i), 1, ResultDone, int64(i+1)))
	}
	require.Equal(t, PhaseRunning, s.Job(testJobID).Phase)
	mustApply(t, s, beginRun(taskRef(1, 0), 1))
	mustApply(t, s, endRun(taskRef(1, 0), 1, ResultDone, 3))
	require.Equal(t, PhaseCompleted, s.Job(testJobID).Phase)
}

// Guards against a configuration that is replaced by an older one, or by
// another one of the same version.
func TestOlderConfigIsIgnored(t *testing.T) {
	s := New()
	mustApply(t, s, Command{Configure: &Config{Version: 7}})
	mustApply(t, s, Command{Configure: &Config{Version: 6}})
	mustApply(t, s, Command{Configure: &Config{Version: 7, Document: []byte("other")}})
	require.Equal(t, uint64(7), s.Config().Version)
	require.Empty(t, s.Config().Document)
}

// Guards against an older incarnation of an executor that replaces a newer one,
// and against end numbers that continue from an earlier incarnation.
func TestExecutorIncarnations(t *testing.T) {
	s := newState(t)
	mustApply(t, s, beginRun(taskRef(0, 0), 1))
	mustApply(t, s, endRun(taskRef(0, 0), 1, ResultStopped, 4))
	require.Equal(t, int64(4), s.Executor(1).RecordedEnd)
	requireRefused(t, s, Command{RegisterExecutor: &RegisterExecutor{Executor: Executor{ID: "e", StartedAt: 5}}}, fault.Conflict)
	mustApply(t, s, Command{RegisterExecutor: &RegisterExecutor{Executor: Executor{ID: "e", StartedAt: 6, Pool: "p"}}})
	require.Equal(t, 2, s.ExecutorByID("e").Number)
	require.Zero(t, s.ExecutorByID("e").RecordedEnd)
	mustApply(t, s, Command{RemoveExecutor: &RemoveExecutor{Executor: 1}})
	require.Equal(t, 2, s.ExecutorByID("e").Number)
}

// Guards against a dump that loses a record or shares memory that later
// commands change.
func TestDumpRestore(t *testing.T) {
	s := newState(t)
	mustApply(t, s, beginRun(taskRef(0, 0), 1))
	mustApply(t, s, Command{StartWave: &Wave{ID: 3, Hosts: []string{"h", "i"}, MaxParallel: 1}})
	mustApply(t, s, Command{RecordUpkeep: &RecordUpkeep{Wave: 3, Host: "h"}})
	d := s.Dump()
	mustApply(t, s, endRun(taskRef(0, 0), 1, ResultDone, 1))
	mustApply(t, s, Command{RecordUpkeep: &RecordUpkeep{Wave: 3, Host: "i"}})
	restored := Restore(d)
	task, _ := restored.Task(taskRef(0, 0))
	require.True(t, task.HasLiveRun(1))
	require.False(t, restored.Wave(3).IsComplete())
	require.True(t, s.Wave(3).IsComplete())
	require.Equal(t, "e", restored.ExecutorByID("e").ID)
	require.Equal(t, uint64(1), restored.Config().Version)
	mustApply(t, restored, endRun(taskRef(0, 0), 1, ResultDone, 1))
}

// Guards against accepting a job that cannot be stored or run.
func TestSpecCheck(t *testing.T) {
	require.Nil(t, (&Spec{Steps: []Step{{Count: 1}, {Count: 1, After: []int{0}}}}).Check())
	for name, spec := range map[string]Spec{
		"no steps":          {},
		"no tasks":          {Steps: []Step{{}}},
		"too many tasks":    {Steps: []Step{{Count: MaxTasks}, {Count: 1}}},
		"depends on itself": {Steps: []Step{{Count: 1, After: []int{0}}}},
		"negative demand":   {Steps: []Step{{Count: 1, Demand: Resources{CPU: -1}}}},
		"negative interval": {Steps: []Step{{Count: 1}}, Repeat: 2, Interval: -1},
	} {
		require.NotNil(t, spec.Check(), name)
	}
}

// Guards against accepting a configuration that cannot be put into effect.
func TestConfigCheck(t *testing.T) {
	pools := []Pool{{Name: "p"}}
	queue := Queue{Name: "q", Host: "h", Prefix: "/a/", Pool: "p", Timeout: 1}
	require.Nil(t, (&Config{Queues: []Queue{queue}, Pools: pools}).Check())
	modified := func(change func(*Queue)) Queue {
		q := queue
		change(&q)
		return q
	}
	for name, queues := range map[string][]Queue{
		"unknown pool":         {modified(func(q *Queue) { q.Pool = "x" })},
		"no timeout":           {modified(func(q *Queue) { q.Timeout = 0 })},
		"same host and prefix": {queue, modified(func(q *Queue) { q.Name = "r" })},
		"prefix without slash": {modified(func(q *Queue) { q.Prefix = "a" })},
	} {
		require.NotNil(t, (&Config{Queues: queues, Pools: pools}).Check(), name)
	}
}

// Guards against a request that is routed to the queue with the shorter prefix.
func TestLongestPrefixMatches(t *testing.T) {
	c := &Config{Queues: []Queue{{Name: "short", Host: "h", Prefix: "/a/"}, {Name: "long", Host: "h", Prefix: "/a/b/"}}}
	q, rest := c.Match("h", "/a/b/1")
	require.Equal(t, "long", q.Name)
	require.Equal(t, "1", rest)
	q, _ = c.Match("h", "/a/c")
	require.Equal(t, "short", q.Name)
	q, _ = c.Match("other", "/a/c")
	require.Nil(t, q)
}

// Guards against a task reference that is parsed as another task.
func TestParseTaskRef(t *testing.T) {
	task := TaskRef{Job: testJobID, Occurrence: 3, Step: 2, Index: 17}
	parsed, ok := ParseTaskRef(task.String())
	require.True(t, ok)
	require.Equal(t, task, parsed)
	for _, text := range []string{"", "a.b.c.d", testJobID + ".1.2", testJobID + ".1.-2.3", ".0.0.0"} {
		_, ok := ParseTaskRef(text)
		require.False(t, ok, text)
	}
}

// Guards against a record of an order for a host that is lost in a snapshot, removed
// by the leader of an earlier term, or kept for ever.
func TestHostOrders(t *testing.T) {
	s := New()
	apply := func(r RecordHostOrders) { require.Nil(t, s.Apply(Command{RecordHostOrders: &r})) }
	apply(RecordHostOrders{Term: 1, Orders: []HostOrder{{Host: "b"}, {Host: "a", Wave: 7}}})
	apply(RecordHostOrders{Term: 2, Orders: []HostOrder{{Host: "b"}}})
	apply(RecordHostOrders{Term: 1, Settled: []string{"b"}})
	want := []HostOrder{{Host: "a", Wave: 7, Term: 1}, {Host: "b", Term: 2}}
	require.Equal(t, want, s.HostOrders())
	require.Equal(t, want, Restore(s.Dump()).HostOrders())
	apply(RecordHostOrders{Term: 3, Settled: []string{"a", "b", "other"}})
	require.Empty(t, s.HostOrders())
}

// Guards against the end of a run that was never begun, which an executor lists by
// mistake: with the highest number as its last run, a task could never start again.
func TestEndOfRunThatWasNotBegunChangesNoTask(t *testing.T) {
	s := newState(t)
	mustApply(t, s, beginRun(taskRef(0, 0), 1))
	mustApply(t, s, endRun(taskRef(0, 0), math.MaxInt, ResultFailed, 1))
	task, _ := s.Task(taskRef(0, 0))
	require.Equal(t, &Task{LastRun: 1, Runs: []Run{{Number: 1, Executor: 1}}}, task)
	require.EqualValues(t, 1, s.Executor(1).RecordedEnd)
	mustApply(t, s, endRun(taskRef(0, 0), 1, ResultStopped, 2))
	mustApply(t, s, beginRun(taskRef(0, 0), 2))
}
