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

// history is a random run with two schedulers, one on old snapshots.
type history struct {
	*world
	draw    func(n int) int
	scheds  [2]*sched.Scheduler
	old     *state.Snapshot
	pending []state.Command
	jobs    int
}

func newHistory(draw func(n int) int) *history {
	h := &history{world: newWorld(), draw: draw, scheds: [2]*sched.Scheduler{sched.New(), sched.New()}}
	// Tasks outlive the leases, so that a lease that is not kept shows.
	h.runTime = 10 * time.Minute
	h.hosts(6)
	h.team("t", 24)
	h.old = h.s.Snapshot()
	return h
}

func (h *history) step() {
	switch h.draw(12) {
	case 0, 1, 2:
		h.advance(time.Duration(h.draw(4000)) * time.Millisecond)
		h.report()
		h.platform()
	case 3:
		h.advance(time.Duration(h.draw(60)) * time.Second)
	case 4, 5, 6:
		h.planWith(h.draw(2))
	case 7:
		h.old = h.s.Snapshot()
	case 8:
		for _, cmd := range h.pending {
			h.apply(cmd)
		}
		h.pending = nil
	case 9:
		v := h.workers[h.names[h.draw(len(h.names))]]
		v.cut = h.draw(2) == 0
		v.up = h.draw(4) > 0
		v.bad = h.draw(6) == 0
	case 10:
		h.newJob()
	case 11:
		if h.jobs > 0 {
			h.cancel(fmt.Sprintf("j%d", h.draw(h.jobs)))
		}
	}
	h.checkQuota()
}

func (h *history) newJob() {
	h.job(fmt.Sprintf("j%d", h.jobs), func(j *model.JobSpec) {
		j.Tasks, j.Cores, j.Priority = 1+h.draw(4), 1+h.draw(20), model.Priority(h.draw(3))
		if h.draw(2) == 0 {
			j.Team = "t"
		}
	})
	h.jobs++
}

func (h *history) planWith(i int) {
	snap := h.s.Snapshot()
	if i == 1 {
		snap = h.old
	}
	commands := h.scheds[i].Plan(snap, sched.Input{Reports: h.reports()}, h.now).Commands
	cut := h.draw(len(commands) + 1)
	for _, cmd := range commands[:cut] {
		h.apply(cmd)
	}
	h.pending = append(h.pending, commands[cut:]...)
}

// checkQuota counts the use of the team by itself.
func (h *history) checkQuota() {
	used := 0
	for _, obj := range h.s.Snapshot().List(model.KindJob) {
		job := obj.(*model.Job)
		for _, task := range job.Status.Tasks {
			leased := task.State == model.TaskStarting || task.State == model.TaskRunning || task.State == model.TaskStopping
			if job.Spec.Team == "t" && leased {
				used += job.Spec.Cores
			}
		}
	}
	if used > 24 {
		h.faults = append(h.faults, fmt.Sprintf("team uses %d cores of 24", used))
	}
}

// settle ends the faults and waits until every job that can run has ended.
func (h *history) settle() {
	h.pending = nil
	h.runTime = 5 * time.Second
	for _, v := range h.workers {
		v.cut, v.up, v.bad = false, true, false
	}
	s := sched.New()
	for range 8000 {
		h.round(s)
		if h.ended() {
			return
		}
	}
	h.faults = append(h.faults, "jobs do not end after the faults healed")
}

func (h *history) ended() bool {
	for _, obj := range h.s.Snapshot().List(model.KindJob) {
		job := obj.(*model.Job)
		done := 0
		for _, task := range job.Status.Tasks {
			if task.State == model.TaskFinished || task.State == model.TaskCancelled {
				done++
			}
		}
		never := job.Status.Reason == model.ReasonNeverFits || job.Status.Reason == model.ReasonQuota
		if done < job.Spec.Tasks && !never {
			return false
		}
	}
	return true
}

func run(h *history, n int) []string {
	for range n {
		h.step()
		if len(h.faults) > 0 {
			return h.faults
		}
	}
	h.settle()
	return h.faults
}

// Guards against a task that runs on two workers at once, a quota that two
// schedulers exceed together, and jobs that hang after faults healed.
func TestRandomHistoriesRunTasksOnce(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		seed := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		h := newHistory(func(n int) int { return seed.IntN(n) })
		if faults := run(h, 300); len(faults) > 0 {
			rt.Fatalf("%v", faults)
		}
	})
}

// Guards against a checker that finds nothing.
func TestCheckerFindsBrokenVariants(t *testing.T) {
	t.Parallel()
	variants := map[string]struct {
		want  string
		apply func(h *history, cmd state.Command) state.Result
	}{
		"lease is ignored": {"runs on", func(h *history, cmd state.Command) state.Result {
			h.ignoreLease = true
			return h.commit(cmd)
		}},
		"quota not checked": {"team uses", func(h *history, cmd state.Command) state.Result {
			h.team("t", 1000)
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
			if len(h.faults) > 0 {
				require.Contains(t, h.faults[0], variant.want)
				found = true
				break
			}
		}
		require.True(t, found, name)
	}
}

func (h *history) commit(cmd state.Command) state.Result { return h.s.Apply(h.s.Version()+1, cmd) }
