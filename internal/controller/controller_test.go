package controller_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/controller"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/fleet"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
	"laburnumdock/internal/logevent"
	"laburnumdock/internal/platform"
	"laburnumdock/internal/standin"
)

// speed is how much faster the clock of the tests runs. A slow machine makes
// health reports stale, which delays a result but does not change it.
const speed = 10

// patience is how long a test waits; no verdict comes sooner than its event.
const patience = 2 * time.Minute

// cell is a control state that several backends share, as replicas do.
type cell struct {
	mutex   sync.Mutex
	s       *state.State
	snap    *state.Snapshot
	changed chan struct{}
	start   time.Time
	leader  int
	// hold refuses proposals, as a cell without quorum does.
	hold bool
}

func newCell() *cell {
	s := state.New()
	return &cell{s: s, snap: s.Snapshot(), changed: make(chan struct{}), start: time.Now()}
}

func (c *cell) now() time.Time {
	return c.start.Add(speed * time.Since(c.start)).UTC()
}

// replica is the backend with a number; the leader's proposals are taken.
type replica struct {
	*cell
	id int
}

func (r replica) Propose(_ context.Context, cmd state.Command) (state.Result, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.leader != r.id || r.hold {
		return state.Result{}, fault.New(fault.NotLeader, "replica %d does not lead", r.id)
	}
	return r.apply(cmd), nil
}

func (c *cell) apply(cmd state.Command) state.Result {
	res := c.s.Apply(c.s.Version()+1, cmd)
	c.snap = c.s.Snapshot()
	close(c.changed)
	c.changed = make(chan struct{})
	return res
}

func (r replica) Snapshot() *state.Snapshot {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.snap
}

func (r replica) Changed() <-chan struct{} {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.changed
}

func (r replica) IsLeader() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.leader == r.id
}

func (r replica) Now() time.Time { return r.now() }

// site is a cell with a platform and one controller per replica.
type site struct {
	*cell
	t           *testing.T
	platform    *standin.Platform
	controllers []*controller.Controller
}

func newSite(t *testing.T, hosts, replicas int, cfg standin.PlatformConfig) *site {
	x := &site{cell: newCell(), t: t}
	cfg.Now = x.now
	if cfg.RebootTime == 0 {
		cfg.RebootTime = 5 * time.Second
	}
	var list []standin.PlatformHost
	x.put("pools", "a", func(model.Object) {})
	for i := range hosts {
		h := standin.PlatformHost{Host: fmt.Sprintf("host-%02d", i), Pool: "a", Zone: fmt.Sprintf("zone-%d", i/2%3), Rack: fmt.Sprintf("rack-%d", i/2)}
		list = append(list, h)
		x.put("hosts", h.Host, func(o model.Object) {
			o.(*model.Host).Spec = model.HostSpec{Pool: "a", Zone: h.Zone, Rack: h.Rack, Cores: 16, MemoryMB: 64 << 10}
		})
	}
	x.put("budgets", "a", func(o model.Object) {
		o.(*model.Budget).Spec = model.BudgetSpec{Pool: "a", MinHealthy: hosts / 2, MaxPlannedStops: 2}
	})
	x.platform = standin.NewPlatform(cfg, list)
	server := httptest.NewServer(x.platform.Handler())
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, replicas)
	for id := range replicas {
		c := controller.New(controller.Config{Backend: replica{x.cell, id}, Platform: platform.New(server.URL), Interval: 50 * time.Millisecond, Log: logevent.Discard()})
		x.controllers = append(x.controllers, c)
		go func() { done <- c.Run(ctx) }()
	}
	t.Cleanup(func() {
		stop()
		for range replicas {
			require.NoError(t, <-done)
		}
		server.Close()
	})
	return x
}

func (x *site) put(kind model.Kind, name string, change func(model.Object)) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	obj := model.New(kind)
	obj.Metadata().Name = name
	change(obj)
	require.Nil(x.t, x.apply(state.Put{Origin: state.Origin{Time: x.now()}, Object: obj, Expected: state.AnyVersion}).Err)
}

func (x *site) get(kind model.Kind, name string) model.Object {
	return replica{x.cell, 0}.Snapshot().Get(model.Key{Kind: kind, Name: name})
}

func (x *site) lead(id int) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.leader = id
}

func (x *site) eventually(what string, holds func() bool) {
	x.t.Helper()
	require.Eventually(x.t, holds, patience, 10*time.Millisecond, what)
}

func (x *site) wave(parallel int) {
	x.put("waves", "w", func(o model.Object) {
		o.(*model.Wave).Spec = model.WaveSpec{Pools: []string{"a"}, Started: true, MaxParallel: parallel}
	})
}

func (x *site) waveStatus() model.WaveStatus { return x.get("waves", "w").(*model.Wave).Status }

func (x *site) finished() bool { return x.waveStatus().Phase == model.WaveFinished }

// Guards against a wave that stops between the decisions and the platform, and
// against hosts that reboot twice or while they carry work.
func TestWaveRebootsEveryHostOnce(t *testing.T) {
	t.Parallel()
	x := newSite(t, 6, 1, standin.PlatformConfig{ReportLag: time.Second})
	x.wave(2)
	x.eventually("wave finishes", x.finished)
	for i := range 6 {
		name := fmt.Sprintf("host-%02d", i)
		require.Equal(t, name+"-boot-2", x.get("hosts", name).(*model.Host).Status.BootID)
	}
	require.Len(t, x.waveStatus().Done, 6)
}

// Guards against a change of the leader that repeats or forgets a host.
func TestWaveGoesOnWithAnotherLeader(t *testing.T) {
	t.Parallel()
	x := newSite(t, 6, 3, standin.PlatformConfig{})
	x.wave(2)
	for i := 1; !x.finished(); i++ {
		before := len(x.waveStatus().Done)
		x.eventually("wave goes on", func() bool { return x.finished() || len(x.waveStatus().Done) > before })
		x.lead(i % 3)
	}
	for i := range 6 {
		name := fmt.Sprintf("host-%02d", i)
		require.Equal(t, name+"-boot-2", x.get("hosts", name).(*model.Host).Status.BootID)
	}
}

// Guards against planned stops while nobody knows the health of the hosts.
func TestPlannedStopsWaitForThePlatform(t *testing.T) {
	t.Parallel()
	x := newSite(t, 6, 1, standin.PlatformConfig{})
	x.eventually("hosts are healthy", func() bool { return x.get("hosts", "host-05").(*model.Host).Available() })
	x.platform.SetDown(true)
	gone := x.now()
	x.eventually("health is old", func() bool { return x.now().Sub(gone) > 2*state.MaxHealthAge })
	x.wave(2)
	x.eventually("wave runs", func() bool { return x.waveStatus().Phase == model.WaveRunning })
	later := x.now()
	x.eventually("time passes", func() bool { return x.now().Sub(later) > 2*state.MaxHealthAge })
	require.Empty(t, x.waveStatus().Done)
	for i := range 6 {
		require.Equal(t, model.HostActive, x.get("hosts", fmt.Sprintf("host-%02d", i)).(*model.Host).Status.Phase)
	}
	x.platform.SetDown(false)
	x.eventually("wave finishes", x.finished)
}

// Guards against calls of the platform for decisions that were not committed.
func TestNothingHappensWithoutACommit(t *testing.T) {
	t.Parallel()
	x := newSite(t, 6, 1, standin.PlatformConfig{})
	x.eventually("hosts are healthy", func() bool { return x.get("hosts", "host-05").(*model.Host).Available() })
	x.mutex.Lock()
	x.hold = true
	x.mutex.Unlock()
	x.wave(2)
	begun := x.now()
	x.eventually("time passes", func() bool { return x.now().Sub(begun) > state.MaxHealthAge })
	for _, h := range list(t, x.platform).Hosts {
		require.False(t, h.Draining)
	}
	x.mutex.Lock()
	x.hold = false
	x.mutex.Unlock()
	x.eventually("wave finishes", x.finished)
}

func list(t *testing.T, p *standin.Platform) platform.Listing {
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	l, err := platform.New(server.URL).List(context.Background())
	require.NoError(t, err)
	return l
}

// Guards against tasks that do not reach the workers, and against a worker that
// fails everything and holds the jobs up.
func TestJobsRunToTheirEnd(t *testing.T) {
	t.Parallel()
	x := newSite(t, 4, 1, standin.PlatformConfig{TaskTime: 10 * time.Second})
	x.platform.SetTasksFailing("host-01", true)
	for i := range 4 {
		x.put("jobs", fmt.Sprintf("j%d", i), func(o model.Object) {
			o.(*model.Job).Spec = model.JobSpec{Pool: "a", Tasks: 4, Cores: 4, MemoryMB: 1024, Priority: model.PriorityNormal}
		})
	}
	x.eventually("jobs end", func() bool {
		for i := range 4 {
			job := x.get("jobs", fmt.Sprintf("j%d", i)).(*model.Job)
			for _, task := range job.Status.Tasks {
				if task.State != model.TaskFinished {
					return false
				}
			}
			if len(job.Status.Tasks) < 4 {
				return false
			}
		}
		return true
	})
}

// Guards against load reports that do not reach the planner, or a move that
// does not reach the platform.
func TestLastingLoadMovesAHost(t *testing.T) {
	t.Parallel()
	x := newSite(t, 4, 1, standin.PlatformConfig{})
	x.put("pools", "a", func(o model.Object) { o.(*model.Pool).Spec.Spare = true })
	x.put("pools", "b", func(o model.Object) { o.(*model.Pool).Spec.SpareFrom = "a" })
	begun := x.now()
	x.eventually("host is moved", func() bool {
		x.controllers[0].EnqueueLoads([]fleet.Load{{EntryHost: "e", Service: "b", InFlight: 20, Observed: x.now()}})
		for _, h := range list(t, x.platform).Hosts {
			if h.Pool == "b" && !h.Draining {
				return true
			}
		}
		return false
	})
	require.Greater(t, x.now().Sub(begun), fleet.NeedFor)
}
