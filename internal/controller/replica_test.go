package controller_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/control"
	"laburnumdock/internal/controller"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
	"laburnumdock/internal/logevent"
	"laburnumdock/internal/platform"
	"laburnumdock/internal/standin"
)

// replicaHarness runs a control replica with its log in a temporary directory, a
// controller and a stand-in platform, all on the system clock.
type replicaHarness struct {
	*control.Replica
	t *testing.T
}

func newReplicaHarness(t *testing.T) *replicaHarness {
	cfg := control.Config{ID: 1, Cluster: "test", Peers: map[uint64]string{1: "http://127.0.0.1:1"}, Dir: t.TempDir(), Log: logevent.Discard()}
	require.NoError(t, control.InitCluster(cfg, []uint64{1}))
	replica, err := control.Open(cfg)
	require.NoError(t, err)
	p := standin.NewPlatform(standin.PlatformConfig{RebootTime: time.Second, ReportLag: 200 * time.Millisecond}, []standin.PlatformHost{
		{Host: "h0", Pool: "a", Zone: "z0", Rack: "r0"}, {Host: "h1", Pool: "a", Zone: "z1", Rack: "r1"},
	})
	server := httptest.NewServer(p.Handler())
	c := controller.New(controller.Config{Backend: replica, Platform: platform.New(server.URL), Interval: time.Second, Log: logevent.Discard()})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 2)
	go func() { done <- replica.Run(ctx) }()
	go func() { done <- c.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		require.NoError(t, <-done)
		require.NoError(t, <-done)
		server.Close()
	})
	return &replicaHarness{replica, t}
}

func (x *replicaHarness) put(kind model.Kind, name string, change func(model.Object)) {
	x.t.Helper()
	obj := model.New(kind)
	obj.Metadata().Name = name
	change(obj)
	require.Eventually(x.t, func() bool {
		res, err := x.Propose(context.Background(), state.Put{Origin: state.Origin{Time: x.Now()}, Object: obj, Expected: state.AnyVersion})
		return err == nil && res.Err == nil
	}, waitTimeout, 50*time.Millisecond)
}

func (x *replicaHarness) putFleet() {
	x.put("pools", "a", func(model.Object) {})
	for _, name := range []string{"h0", "h1"} {
		x.put("hosts", name, func(o model.Object) {
			o.(*model.Host).Spec = model.HostSpec{Pool: "a", Zone: "z" + name[1:], Rack: "r" + name[1:], Cores: 16, MemoryMB: 1024}
		})
	}
	x.put("budgets", "a", func(o model.Object) {
		o.(*model.Budget).Spec = model.BudgetSpec{Pool: "a", MinHealthy: 1, MaxPlannedStops: 1}
	})
}

func (x *replicaHarness) isRunning(job string) bool {
	j, ok := x.Snapshot().Get(model.Key{Kind: model.KindJob, Name: job}).(*model.Job)
	if !ok || len(j.Status.Tasks) < j.Spec.Tasks {
		return false
	}
	for _, task := range j.Status.Tasks {
		if task.State != model.TaskRunning {
			return false
		}
	}
	return true
}

// Guards against a controller that works only with the fake backend of the tests.
func TestWaveOverControlReplica(t *testing.T) {
	t.Parallel()
	x := newReplicaHarness(t)
	x.putFleet()
	x.put("waves", "w", func(o model.Object) {
		o.(*model.Wave).Spec = model.WaveSpec{Pools: []string{"a"}, Started: true}
	})
	require.Eventually(t, func() bool {
		wave := x.Snapshot().Get(model.Key{Kind: model.KindWave, Name: "w"}).(*model.Wave)
		return wave.Status.Phase == model.WaveFinished && len(wave.Status.Done) == 2
	}, waitTimeout, 20*time.Millisecond)
}

// Guards against urgent work that waits for the next interval at each step. The
// measured time is only logged, because the test machine may be slow; the bound
// of 2.5 s is checked in decision rounds in core/sched.
func TestUrgentWorkOverControlReplica(t *testing.T) {
	t.Parallel()
	x := newReplicaHarness(t)
	x.putFleet()
	job := func(name string, tasks, cores int, priority model.Priority) {
		x.put("jobs", name, func(o model.Object) {
			o.(*model.Job).Spec = model.JobSpec{Pool: "a", Tasks: tasks, Cores: cores, Priority: priority}
		})
	}
	job("batch", 8, 4, model.PriorityBatch)
	require.Eventually(t, func() bool { return x.isRunning("batch") }, waitTimeout, 10*time.Millisecond)
	started := time.Now()
	job("urgent", 1, 8, model.PriorityUrgent)
	require.Eventually(t, func() bool { return x.isRunning("urgent") }, waitTimeout, 10*time.Millisecond)
	t.Logf("urgent task ran after %s, including the checkpoints of two batch tasks", time.Since(started).Round(10*time.Millisecond))
}
