package platform_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/fleet"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/sched"
	"laburnumdock/internal/platform"
	"laburnumdock/internal/standin"
)

// harness is a client and a stand-in platform with a clock that the test sets.
type harness struct {
	t      *testing.T
	now    time.Time
	p      *standin.Platform
	client *platform.Client
}

func newHarness(t *testing.T) *harness {
	x := &harness{t: t, now: time.Date(2026, 12, 1, 20, 0, 0, 0, time.UTC)}
	x.p = standin.NewPlatform(standin.PlatformConfig{Now: func() time.Time { return x.now }, RebootTime: 10 * time.Second, TaskTime: time.Minute},
		[]standin.PlatformHost{{Host: "h", Pool: "a", Zone: "z", Rack: "r"}, {Host: "i", Pool: "a", Zone: "z", Rack: "s"}})
	server := httptest.NewServer(x.p.Handler())
	t.Cleanup(server.Close)
	x.client = platform.New(server.URL)
	return x
}

func (x *harness) actOnHost(kind fleet.ActionKind, epoch uint64, boot string) error {
	return x.client.ActOnHost(context.Background(), fleet.Action{Kind: kind, Host: "h", Epoch: epoch, Pool: "a", BootID: boot})
}

func (x *harness) actOnTask(epoch uint64, stop bool) error {
	return x.client.ActOnTask(context.Background(), sched.Action{Host: "h", Job: "j", Epoch: epoch, Stop: stop, Until: x.now.Add(30 * time.Second), Cores: 2}, x.now)
}

func (x *harness) list() platform.Listing {
	x.t.Helper()
	l, err := x.client.List(context.Background())
	require.NoError(x.t, err)
	return l
}

// Guards against a former leader whose late calls undo those of its successor.
func TestStaleEpochIsFenced(t *testing.T) {
	x := newHarness(t)
	require.NoError(t, x.actOnHost(fleet.ActionServe, 1, ""))
	require.NoError(t, x.actOnHost(fleet.ActionDrain, 1, ""))
	require.Equal(t, fault.Fenced, fault.KindOf(x.actOnHost(fleet.ActionServe, 1, "")))
	require.NoError(t, x.actOnHost(fleet.ActionServe, 2, ""))
	require.Equal(t, fault.Fenced, fault.KindOf(x.actOnHost(fleet.ActionDrain, 1, "")))
	require.Equal(t, fault.Fenced, fault.KindOf(x.actOnHost(fleet.ActionReboot, 1, "h-boot-1")))
	require.False(t, x.list().Hosts[0].Draining)
}

// Guards against a retried call that reboots a host twice.
func TestRebootIsIdempotent(t *testing.T) {
	x := newHarness(t)
	require.NoError(t, x.actOnHost(fleet.ActionReboot, 1, "h-boot-1"))
	require.NoError(t, x.actOnHost(fleet.ActionReboot, 1, "h-boot-1"))
	require.Equal(t, model.HealthUnhealthy, x.list().Hosts[0].Health)
	x.now = x.now.Add(10 * time.Second)
	require.NoError(t, x.actOnHost(fleet.ActionReboot, 1, "h-boot-1"))
	h := x.list().Hosts[0]
	require.Equal(t, model.HealthHealthy, h.Health)
	require.Equal(t, "h-boot-2", h.BootID)
}

// Guards against a task that runs after its lease has expired, and a delayed start
// that takes effect after the stop of the same placement.
func TestTaskStopsWhenLeaseExpires(t *testing.T) {
	x := newHarness(t)
	require.NoError(t, x.actOnTask(1, false))
	require.Equal(t, 1, x.list().Hosts[0].InFlight)
	x.now = x.now.Add(30 * time.Second)
	require.Equal(t, sched.OutcomeStopped, x.list().Tasks[0].Outcome)
	require.NoError(t, x.actOnTask(2, true))
	require.NoError(t, x.actOnTask(2, false))
	require.Equal(t, sched.OutcomeStopped, x.list().Tasks[0].Outcome)
	require.Equal(t, fault.Fenced, fault.KindOf(x.actOnTask(1, false)))
}

// Guards against fault injection without effect, as other tests rely on it.
func TestFaultInjection(t *testing.T) {
	x := newHarness(t)
	x.p.SetRackFailed("z", "r", true)
	require.Equal(t, model.HealthUnhealthy, x.list().Hosts[0].Health)
	require.Equal(t, model.HealthHealthy, x.list().Hosts[1].Health)
	x.p.SetRackFailed("z", "r", false)
	x.p.SetZoneFailed("z", true)
	require.Equal(t, model.HealthUnhealthy, x.list().Hosts[1].Health)
	x.p.SetZoneFailed("z", false)
	x.p.SetHostFailed("h", true)
	require.Equal(t, model.HealthUnhealthy, x.list().Hosts[0].Health)
	x.p.SetHostFailed("h", false)
	x.p.SetUsageFactor(3)
	require.NoError(t, x.actOnTask(1, false))
	require.Equal(t, 6, x.list().Tasks[0].UsedCores)
	x.p.SetTasksFailing("h", true)
	require.Equal(t, sched.OutcomeFailed, x.list().Tasks[0].Outcome)
	x.p.SetReportLag(time.Minute)
	x.now = x.now.Add(5 * time.Second)
	require.Equal(t, int64(5000), x.list().Hosts[0].AgeMs)
	x.p.SetDown(true)
	_, err := x.client.List(context.Background())
	require.Equal(t, fault.Unavailable, fault.KindOf(err))
}

// Guards against a call that reports success for an unknown host or an unreachable
// platform.
func TestUnknownHostAndUnreachablePlatform(t *testing.T) {
	x := newHarness(t)
	err := x.client.ActOnHost(context.Background(), fleet.Action{Kind: fleet.ActionDrain, Host: "none", Epoch: 1})
	require.Equal(t, fault.NotFound, fault.KindOf(err))
	_, err = platform.New("http://127.0.0.1:1").List(context.Background())
	require.Equal(t, fault.Unavailable, fault.KindOf(err))
}
