package jobs

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func removal(t *testing.T, s *State, version uint64, pools map[string]string) Command {
	t.Helper()
	next := &Config{Version: version, Pools: []Pool{{Name: "p"}}}
	return Command{Configure: next.Retaining(s.Config(), pools)}
}

// Guards against a removed queue that takes submissions, also at a replica of an earlier
// version, which knows no retired queues and matches host and prefix.
func TestRetiredQueueMatchesNoRequest(t *testing.T) {
	for _, prefix := range []string{"/", "/quotes/", "/a/b"} {
		earlier := &Config{Version: 1, Queues: []Queue{{Name: "q", Host: "h", Prefix: prefix, Pool: "p", Timeout: 1}}}
		next := (&Config{Version: 2}).Retaining(earlier, map[string]string{"q": "p"})
		require.True(t, next.Queue("q").IsRetired())
		for _, path := range []string{"", "*", "/", "/quotes/", "/quotes/x", "/a/b/c", prefix} {
			queue, _ := next.Match("h", path)
			require.Nil(t, queue, "%q matches %q", prefix, path)
			require.False(t, strings.HasPrefix(path, next.Queue("q").Prefix))
		}
		again := (&Config{Version: 3}).Retaining(next, map[string]string{"q": "p"})
		require.Equal(t, next.Queue("q"), again.Queue("q"))
		require.True(t, again.Queue("q").HasRouteOf(&earlier.Queues[0]))
	}
}

// Guards against a limit that differs between a replica that has replayed the log and one
// that has loaded a dump, for a queue that was removed with and without its definition.
func TestLimitIsEqualAfterReplayAndDump(t *testing.T) {
	for name, test := range map[string]struct {
		needed map[string]string
		limit  int
		source LimitSource
	}{
		"this version":    {map[string]string{"q": "p"}, 2, LimitRetired},
		"earlier version": {nil, DefaultMaxAttempts, LimitDefault},
	} {
		t.Run(name, func(t *testing.T) {
			replayed := newState(t, Step{Count: 1})
			loaded := newState(t, Step{Count: 1})
			for _, s := range []*State{replayed, loaded} {
				mustApply(t, s, removal(t, s, 2, test.needed))
			}
			loaded = Restore(loaded.Dump())
			for run := 1; run <= test.limit; run++ {
				for _, s := range []*State{replayed, loaded} {
					limit, source := s.AttemptLimit("q")
					require.Equal(t, test.limit, limit)
					require.Equal(t, test.source, source)
					require.False(t, s.Job(testJobID).Phase.IsFinal())
					mustApply(t, s, beginRun(taskRef(0, 0), run))
					mustApply(t, s, endRun(taskRef(0, 0), run, ResultFailed, int64(run)))
				}
				loaded = Restore(loaded.Dump())
			}
			require.Equal(t, PhaseFailed, replayed.Job(testJobID).Phase)
			require.Equal(t, PhaseFailed, loaded.Job(testJobID).Phase)
			require.Equal(t, &Exhaustion{Task: taskRef(0, 0), Failures: test.limit, Limit: test.limit, Source: test.source}, replayed.Job(testJobID).Exhausted)
		})
	}
}

// Guards against an end of no run that ends a job with attempts left, or that takes a live
// run out of the records.
func TestEndOfNoRunOnlyAppliesTheLimit(t *testing.T) {
	s := newState(t, Step{Count: 1})
	mustApply(t, s, beginRun(taskRef(0, 0), 1))
	mustApply(t, s, endRun(taskRef(0, 0), 1, ResultFailed, 1))
	mustApply(t, s, beginRun(taskRef(0, 0), 2))
	none := Command{EndRun: &EndRun{Task: taskRef(0, 0), Result: ResultFailed}}
	mustApply(t, s, none)
	require.Equal(t, PhaseRunning, s.Job(testJobID).Phase)
	require.Equal(t, 1, s.Job(testJobID).LiveRuns)
	lowered := &Config{Version: 2, Queues: []Queue{{Name: "q", Pool: "p", MaxAttempts: 1}}, Pools: []Pool{{Name: "p"}}}
	mustApply(t, s, Command{Configure: lowered})
	mustApply(t, s, none)
	require.Equal(t, PhaseFailed, s.Job(testJobID).Phase)
	require.Equal(t, 1, s.Job(testJobID).LiveRuns)
}

// Guards against a task of a gang that counts as exhausted by its own failures only, and a
// long-running task that ends its job.
func TestExhaustedTaskCountsGangs(t *testing.T) {
	s := newState(t, Step{Count: 2, Gang: true}, Step{Count: 1, LongRunning: true})
	for i := range 2 {
		_, isExhausted := s.ExhaustedTask(s.Job(testJobID))
		require.False(t, isExhausted)
		s.Job(testJobID).Steps[0][0].Tasks[i].Failures = 1
		s.Job(testJobID).Steps[0][1].Tasks[0].Failures = 9
	}
	ref, isExhausted := s.ExhaustedTask(s.Job(testJobID))
	require.True(t, isExhausted)
	require.Equal(t, taskRef(0, 0), ref)
}
