package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/member"
)

// newTable returns a table of services s0, s1, ... with endpoints s0-e0, s0-e1,
// ... of 8 slots each.
func newTable(cfg Config, services, endpoints int) *Table {
	t := New(cfg)
	for s := range services {
		for n := range endpoints {
			t.Update(&member.Announcement{
				Endpoint: fmt.Sprintf("s%d-e%d", s, n), Service: fmt.Sprint("s", s), Slots: 8,
				Rack: fmt.Sprint("r", n/4), Zone: fmt.Sprint("z", n%3),
			}, 0, true)
		}
	}
	return t
}

// Guards against ejection of more endpoints than the declared minimum or the
// limit of a third allows when every endpoint fails.
func TestEjectionIsBounded(t *testing.T) {
	for _, c := range []struct{ endpoints, minHealthy, ejected int }{
		{12, 0, 4}, {12, 10, 2}, {12, 12, 0}, {12, 20, 0}, {3, 0, 1}, {2, 0, 0}, {1, 0, 0},
	} {
		tb := newTable(Config{}, 1, c.endpoints)
		tb.SetMinHealthy("s0", c.minHealthy)
		for round := range 50 {
			for n := range c.endpoints {
				tb.RecordFailure(tb.Endpoint(fmt.Sprint("s0-e", n)), time.Duration(round))
			}
		}
		require.Equal(t, c.ejected, tb.Service("s0").Ejected(), "%+v", c)
	}
}

// Guards against an endpoint that fails most attempts but is never ejected,
// because occasional successes reset the count of consecutive failures.
func TestEjectionByRate(t *testing.T) {
	tb := newTable(Config{}, 1, 6)
	e := tb.Endpoint("s0-e0")
	for i := range 60 {
		if i%5 == 0 {
			tb.RecordSuccess(e, 1)
		} else {
			tb.RecordFailure(e, 1)
		}
	}
	require.True(t, e.IsEjected())
}

// Guards against an ejected endpoint that is never restored, against probes
// without backoff, and against a wrong count of ejected endpoints.
func TestProbesRestoreEndpoint(t *testing.T) {
	tb := newTable(Config{}, 1, 6)
	s := tb.Service("s0")
	e := tb.Endpoint("s0-e0")
	for range ejectFailures {
		tb.RecordFailure(e, 0)
	}
	require.True(t, e.IsEjected())
	var probes []time.Duration
	for now := time.Duration(0); now < 20*time.Second; now += 50 * time.Millisecond {
		e.expires = now + time.Second
		tb.DueProbes(s, now, func(*Endpoint) {
			probes = append(probes, now)
			tb.RecordProbe(e.Name, false, now)
		})
	}
	require.GreaterOrEqual(t, len(probes), 3)
	require.LessOrEqual(t, len(probes), 5)
	tb.RecordProbe(e.Name, true, 20*time.Second)
	require.False(t, e.IsEjected())
	require.Zero(t, s.Ejected())
	tb.RecordFailure(e, 20*time.Second)
	tb.RecordFailure(e, 20*time.Second)
	require.True(t, e.IsEjected(), "two failures eject an endpoint on probation")
	tb.Remove(e.Name)
	require.Zero(t, s.Ejected())
}

// Guards against quotas whose sum over the entry hosts differs from the slots of
// the endpoint.
func TestCreditsDivideAllSlots(t *testing.T) {
	for hosts := 1; hosts <= 7; hosts++ {
		sum := map[string]int{}
		for self := range hosts {
			tb := newTable(Config{Self: fmt.Sprint("entry-", self)}, 1, 20)
			for peer := range hosts {
				tb.SetPeerUse(0, fmt.Sprint("entry-", peer), 1, nil)
			}
			for name, e := range tb.endpoints {
				sum[name] += e.quota
			}
		}
		for name, n := range sum {
			require.Equal(t, 8, n, name)
		}
	}
}

// Guards against a peer's report that is never dropped, is counted twice or is
// replaced by a report of an older incarnation.
func TestPeerUseIsReplacedAndExpires(t *testing.T) {
	tb := newTable(Config{Self: "entry-0"}, 1, 1)
	e := tb.Endpoint("s0-e0")
	report := func(incarnation uint64, inUse int) {
		tb.SetPeerUse(0, "entry-1", incarnation, []PeerSlots{{Endpoint: e.Name, InUse: inUse, Long: 1}})
	}
	report(2, 3)
	report(2, 5)
	report(1, 7)
	require.Equal(t, 5, e.peerInUse)
	tb.ExpirePeers(peerReportTTL)
	require.Zero(t, e.peerInUse)
	require.Zero(t, e.peerLong)
	require.Equal(t, []string{"entry-0"}, tb.entryHosts)
}

// Guards against long work in the slots reserved for short work, and against a
// single entry host that cannot use all slots.
func TestReserveForShortWork(t *testing.T) {
	tb := newTable(Config{}, 1, 4)
	s := tb.Service("s0")
	tb.ObserveDemand(s, time.Millisecond, 0)
	long, short := 0, 0
	for {
		e := tb.Pick(s, 1, PickOptions{Long: true})
		if e == nil {
			break
		}
		tb.StartAttempt(e, true)
		long++
	}
	for {
		e := tb.Pick(s, 1, PickOptions{})
		if e == nil {
			break
		}
		tb.StartAttempt(e, false)
		short++
	}
	require.Equal(t, 4*7, long)
	require.Equal(t, 4, short)
	for _, e := range s.endpoints {
		require.Equal(t, 8, e.InUse)
	}
}

// Guards against a retry on the same endpoint, rack or zone while another has
// free slots.
func TestPickPrefersAnotherZone(t *testing.T) {
	tb := newTable(Config{}, 1, 9)
	s := tb.Service("s0")
	failed := tb.Endpoint("s0-e0")
	for range 50 {
		e := tb.Pick(s, 1, PickOptions{Avoid: failed})
		require.NotEqual(t, failed.Zone, e.Zone)
		require.NotEqual(t, failed.Rack, e.Rack)
	}
}

// Guards against long work that is not recognized by kind, caller and size, and
// against short work that is classified as long.
func TestRunTimesSeparateLongWork(t *testing.T) {
	runTimes := NewRunTimes(100)
	random := rand.New(rand.NewPCG(1, 1))
	key := func(kind, caller string, size int) Class {
		return ClassOf(Key{Service: "s", WorkKind: kind, Caller: caller, SizeBytes: size})
	}
	require.False(t, runTimes.Estimate(key("quote", "a", 100)).Known)
	for range 1000 {
		runTimes.Learn(key("quote", fmt.Sprint(random.IntN(5)), 100), time.Duration(random.ExpFloat64()*float64(4*time.Millisecond)))
		if random.IntN(20) == 0 {
			runTimes.Learn(key("cutting", fmt.Sprint(random.IntN(5)), 60000), time.Duration(random.ExpFloat64()*float64(200*time.Millisecond)))
		}
	}
	require.False(t, runTimes.Estimate(key("quote", "1", 100)).Long)
	require.True(t, runTimes.Estimate(key("cutting", "1", 60000)).Long)
	require.True(t, runTimes.Estimate(key("cutting", "new caller", 60000)).Long)
	require.False(t, runTimes.Estimate(key("new kind", "1", 100)).Long)
	require.InEpsilon(t, 2.8, float64(runTimes.Estimate(key("quote", "1", 100)).Median)/1e6, 0.5)
}

// Guards against memory for run times that grows with the number of callers.
func TestRunTimesAreBounded(t *testing.T) {
	runTimes := NewRunTimes(64)
	for i := range 10000 {
		runTimes.Learn(ClassOf(Key{Service: "s", WorkKind: "k", Caller: fmt.Sprint(i)}), time.Millisecond)
	}
	require.Len(t, runTimes.index, 64)
	require.Len(t, runTimes.entries, 64)
	require.True(t, runTimes.Estimate(ClassOf(Key{Service: "s", WorkKind: "k", Caller: "new"})).Known)
}

// Guards against a run time outside the bounds of its bucket.
func TestHistogramBuckets(t *testing.T) {
	for d := 33 * time.Microsecond; d < time.Hour; d = d * 9 / 8 {
		i := bucketIndex(d)
		require.LessOrEqual(t, d.Truncate(time.Microsecond), bucketUpperBound(i))
		if i > 0 {
			require.GreaterOrEqual(t, d, bucketUpperBound(i-1))
		}
	}
}

// Guards against slots that stay idle while long work waits and no short work
// arrives, and against long work that takes all slots.
func TestAgedLongWorkTakesIdleReserve(t *testing.T) {
	tb := newTable(Config{}, 1, 10)
	s := tb.Service("s0")
	tb.ObserveDemand(s, time.Millisecond, 0)
	long := 0
	for {
		e := tb.Pick(s, 1, PickOptions{Long: true, Aged: true})
		if e == nil {
			break
		}
		tb.StartAttempt(e, true)
		long++
	}
	require.Greater(t, long, 10*7)
	require.Less(t, long, 10*8)
}

// Guards against a reserve that stays high after a surge has ended.
func TestReserveFallsAfterSurge(t *testing.T) {
	tb := newTable(Config{}, 1, 10)
	s := tb.Service("s0")
	now := time.Duration(0)
	observe := func(span time.Duration, waiting int) {
		for end := now + span; now < end; {
			now += 10 * time.Millisecond
			tb.ObserveDemand(s, now, waiting)
		}
	}
	observe(time.Second, 30)
	require.Greater(t, s.Reserve(), 30)
	observe(150*time.Millisecond, 0)
	require.Less(t, s.Reserve(), 10)
}

// Guards against short work that waits while an endpoint may have a free slot,
// and against long work that competes with peers for that slot.
func TestShortWorkTriesTheLastSlot(t *testing.T) {
	tb := newTable(Config{Self: "entry-0"}, 1, 1)
	s := tb.Service("s0")
	e := tb.Endpoint("s0-e0")
	tb.SetPeerUse(0, "entry-1", 1, []PeerSlots{{Endpoint: e.Name, InUse: 3}})
	for range 4 {
		tb.StartAttempt(e, false)
	}
	tb.ObserveDemand(s, time.Millisecond, 0)
	require.Nil(t, tb.Pick(s, 1, PickOptions{Long: true, Aged: true}))
	require.Equal(t, e, tb.Pick(s, 1, PickOptions{}))
}
