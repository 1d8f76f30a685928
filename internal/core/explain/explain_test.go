package explain

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

var now = time.Date(2026, 3, 1, 18, 0, 0, 0, time.UTC)

// newSnapshot returns a state with a pool of 8 hosts, one of which is draining, a
// budget of 7 healthy hosts, a wave and a job.
func newSnapshot() *state.Snapshot {
	d := &state.Dump{Version: 1, Now: now}
	add := func(obj model.Object) { d.Objects = append(d.Objects, obj) }
	add(&model.Pool{Meta: model.Meta{Kind: model.KindPool, Name: "dispatch"}})
	for _, name := range []string{"sc-1", "sc-2", "sc-3", "sc-4", "sc-5", "sc-6", "sc-7"} {
		add(&model.Host{
			Meta: model.Meta{Kind: model.KindHost, Name: name}, Spec: model.HostSpec{Pool: "dispatch"},
			Status: model.HostStatus{Phase: model.HostActive, Health: model.HealthHealthy},
		})
	}
	add(&model.Host{
		Meta: model.Meta{Kind: model.KindHost, Name: "sc-8"}, Spec: model.HostSpec{Pool: "dispatch"},
		Status: model.HostStatus{
			Phase: model.HostDraining, Health: model.HealthHealthy, InFlight: 3, QuarantineUntil: now.Add(time.Hour),
			Stop: &model.PlannedStop{Action: model.StopReboot, Wave: "evening", Since: now},
		},
	})
	add(&model.Budget{
		Meta: model.Meta{Kind: model.KindBudget, Name: "b"}, Spec: model.BudgetSpec{Pool: "dispatch", MinHealthy: 7, MaxPlannedStops: 1},
		Status: model.BudgetStatus{Reason: model.ReasonBudgetBroken},
	})
	add(&model.Wave{Meta: model.Meta{Kind: model.KindWave, Name: "evening"}, Status: model.WaveStatus{
		Stopped: []string{"sc-8"}, Waiting: []model.WaitEntry{{Host: "sc-5", Reason: model.ReasonBudget}, {Host: "gone", Reason: model.ReasonEarlierZone}},
	}})
	add(&model.Job{Meta: model.Meta{Kind: model.KindJob, Name: "night"}, Spec: model.JobSpec{Pool: "dispatch"}, Status: model.JobStatus{Tasks: []model.Task{
		{Reason: model.ReasonBackoff, RetryAfter: now.Add(time.Minute)},
		{Reason: model.ReasonNoCapacity},
		{Reason: model.ReasonNoCapacity},
		{State: model.TaskRunning},
	}}})
	return state.Restore(d).Snapshot()
}

// Guards against sentences with wrong figures and against waits that are missing.
func TestSentences(t *testing.T) {
	cases := map[model.Key][]string{
		{Kind: model.KindHost, Name: "sc-8"}: {
			"host sc-8 waits for 3 requests or tasks in flight",
			"host sc-8 is in quarantine until 2026-03-01T19:00:00Z",
		},
		{Kind: model.KindWave, Name: "evening"}: {
			"host sc-8 waits for 3 requests or tasks in flight",
			"host sc-8 is in quarantine until 2026-03-01T19:00:00Z",
			"host sc-5 waits for budget of pool dispatch: 7 of 8 healthy, 7 needed, 1 of 1 planned stops in use",
			"host gone waits for an earlier availability zone",
		},
		{Kind: model.KindJob, Name: "night"}: {
			"job night, 2 of its tasks: waits for free capacity",
			"job night, 1 of its tasks: waits after a failure until 2026-03-01T18:01:00Z",
		},
		{Kind: model.KindBudget, Name: "b"}: {
			"budget b waits because failures broke the budget of pool dispatch: 7 of 8 healthy, 7 needed",
		},
		{Kind: model.KindHost, Name: "sc-1"}: nil,
	}
	snap := newSnapshot()
	for key, want := range cases {
		var got []string
		for _, w := range Waits(snap, key) {
			got = append(got, Sentence(w))
		}
		require.Equal(t, want, got, key)
	}
	require.Len(t, Waits(snap, model.Key{Kind: model.KindPool, Name: "dispatch"}), 3)
}

// Guards against a reason for which the sentence has no text.
func TestEveryReasonHasClause(t *testing.T) {
	for _, reason := range model.Reasons() {
		require.NotEmpty(t, reasonClause(Wait{Reason: reason}), reason)
	}
}
