package sched_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/sched"
	"laburnumdock/internal/core/state"
)

// history is a random run of a simulation with two schedulers, the second of which
// plans on outdated snapshots, as a leader does that has been replaced.
type history struct {
	*simulation
	draw        func(n int) int
	schedulers  [2]*sched.Scheduler
	oldSnapshot *state.Snapshot
	// pending are planned commands that have not been applied yet.
	pending  []state.Command
	jobCount int
}

func newHistory(draw func(n int) int) *history {
	h := &history{simulation: newSimulation(), draw: draw, schedulers: [2]*sched.Scheduler{sched.New(), sched.New()}}
	// Tasks run longer than leases, so that a task that runs without a lease is
	// detected.
	h.taskDuration = 10 * time.Minute
	h.addHosts(6)
	h.putTeam("t", 24)
	h.oldSnapshot = h.state.Snapshot()
	return h
}

// step runs one random event.
func (h *history) step() {
	switch h.draw(12) {
	case 0, 1, 2:
		h.advance(time.Duration(h.draw(4000)) * time.Millisecond)
		h.reportHealth()
		h.runPlatform()
	case 3:
		h.advance(time.Duration(h.draw(60)) * time.Second)
	case 4, 5, 6:
		h.planWith(h.draw(2))
	case 7:
		h.oldSnapshot = h.state.Snapshot()
	case 8:
		for _, cmd := range h.pending {
			h.apply(cmd)
		}
		h.pending = nil
	case 9:
		w := h.workers[h.hostNames[h.draw(len(h.hostNames))]]
		w.partitioned = h.draw(2) == 0
		w.up = h.draw(4) > 0
		w.failsTasks = h.draw(6) == 0
	case 10:
		h.newJob()
	case 11:
		if h.jobCount > 0 {
			h.cancelJob(fmt.Sprintf("j%d", h.draw(h.jobCount)))
		}
	}
	h.checkQuota()
}

func (h *history) newJob() {
	h.putJob(fmt.Sprintf("j%d", h.jobCount), func(j *model.JobSpec) {
		j.Tasks, j.Cores, j.Priority = 1+h.draw(4), 1+h.draw(20), model.Priority(h.draw(3))
		if h.draw(2) == 0 {
			j.Team = "t"
		}
	})
	h.jobCount++
}

// planWith plans with scheduler i, applies a random part of the commands and keeps
// the rest as pending. Scheduler 1 plans on the outdated snapshot.
func (h *history) planWith(i int) {
	snap := h.state.Snapshot()
	if i == 1 {
		snap = h.oldSnapshot
	}
	commands := h.schedulers[i].Plan(snap, sched.Input{Reports: h.taskReports()}, h.now).Commands
	cut := h.draw(len(commands) + 1)
	for _, cmd := range commands[:cut] {
		h.apply(cmd)
	}
	h.pending = append(h.pending, commands[cut:]...)
}

// checkQuota checks the quota of the team with a count of its own, independent of
// the scheduler and of the state.
func (h *history) checkQuota() {
	used := 0
	for _, obj := range h.state.Snapshot().List(model.KindJob) {
		job := obj.(*model.Job)
		for _, task := range job.Status.Tasks {
			leased := task.State == model.TaskStarting || task.State == model.TaskRunning || task.State == model.TaskStopping
			if job.Spec.Team == "t" && leased {
				used += job.Spec.Cores
			}
		}
	}
	if used > 24 {
		h.violations = append(h.violations, fmt.Sprintf("team uses %d cores of 24", used))
	}
}

// settle heals all faults and runs rounds until every job that can run has ended.
func (h *history) settle() {
	h.pending = nil
	h.taskDuration = 5 * time.Second
	for _, w := range h.workers {
		w.partitioned, w.up, w.failsTasks = false, true, false
	}
	s := sched.New()
	for range 8000 {
		h.runRound(s)
		if h.allEnded() {
			return
		}
	}
	h.violations = append(h.violations, "jobs do not end after the faults healed")
}

// allEnded reports whether every job has ended, except for jobs that fit no host or
// exceed their quota.
func (h *history) allEnded() bool {
	for _, obj := range h.state.Snapshot().List(model.KindJob) {
		job := obj.(*model.Job)
		done := 0
		for _, task := range job.Status.Tasks {
			if task.State == model.TaskFinished || task.State == model.TaskCancelled {
				done++
			}
		}
		cannotRun := job.Status.Reason == model.ReasonNeverFits || job.Status.Reason == model.ReasonQuota
		if done < job.Spec.Tasks && !cannotRun {
			return false
		}
	}
	return true
}

// runHistory runs n random steps, settles and returns the violations.
func runHistory(h *history, n int) []string {
	for range n {
		h.step()
		if len(h.violations) > 0 {
			return h.violations
		}
	}
	h.settle()
	return h.violations
}

// Guards against a task that runs on two workers at once, a quota that two
// schedulers exceed together, and jobs that do not end after the faults healed.
func TestRandomHistoriesRunTasksOnce(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		seed := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		h := newHistory(func(n int) int { return seed.IntN(n) })
		if violations := runHistory(h, 300); len(violations) > 0 {
			rt.Fatalf("%v", violations)
		}
	})
}

// Guards against checks that miss violations: each variant breaks one rule on
// purpose and must be detected.
func TestCheckerFindsBrokenVariants(t *testing.T) {
	t.Parallel()
	variants := map[string]struct {
		want  string
		apply func(h *history, cmd state.Command) state.Result
	}{
		"lease is ignored": {"runs on", func(h *history, cmd state.Command) state.Result {
			h.ignoreLeases = true
			return h.commit(cmd)
		}},
		"quota not checked": {"team uses", func(h *history, cmd state.Command) state.Result {
			h.putTeam("t", 1000)
			return h.commit(cmd)
		}},
	}
	for name, variant := range variants {
		found := false
		for seed := range uint64(100) {
			source := rand.New(rand.NewPCG(seed, 2))
			h := newHistory(source.IntN)
			h.apply = func(cmd state.Command) state.Result { return variant.apply(h, cmd) }
			for range 300 {
				h.step()
			}
			if len(h.violations) > 0 {
				require.Contains(t, h.violations[0], variant.want)
				found = true
				break
			}
		}
		require.True(t, found, name)
	}
}

// commit applies a command to the state as it is.
func (h *history) commit(cmd state.Command) state.Result {
	return h.state.Apply(h.state.Version()+1, cmd)
}
