package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/member"
)

func newTable(cfg Config, services, each int) *Table {
	t := New(cfg)
	for s := range services {
		for n := range each {
			t.Update(&member.Announcement{
				Endpoint: fmt.Sprintf("s%d-e%d", s, n), Service: fmt.Sprint("s", s), Slots: 8,
				Rack: fmt.Sprint("r", n/4), Zone: fmt.Sprint("z", n%3),
			}, 0, true)
		}
	}
	return t
}

// Guards against ejection that takes more than the declared minimum or a third
// of the endpoints allow, with every endpoint failing.
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

// Guards against an endpoint that fails most attempts and is never ejected
// because a few succeed.
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

// Guards against an ejected endpoint that never returns, against probes
// without backoff, and against a leak of the ejection count.
func TestProbesBringBack(t *testing.T) {
	tb := newTable(Config{}, 1, 6)
	s := tb.Service("s0")
	e := tb.Endpoint("s0-e0")
	for range ejectAfter {
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
	require.True(t, e.IsEjected(), "on probation two failures eject")
	tb.Remove(e.Name)
	require.Zero(t, s.Ejected())
}

// Guards against shares that together exceed the slots or leave some to nobody.
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

// Guards against reports of a peer that outlive it, that count twice or that
// an old process overwrites.
func TestPeerUseIsReplacedAndExpires(t *testing.T) {
	tb := newTable(Config{Self: "entry-0"}, 1, 1)
	e := tb.Endpoint("s0-e0")
	report := func(incarnation uint64, inUse int) {
		tb.SetPeerUse(0, "entry-1", incarnation, []PeerSlots{{Endpoint: e.Name, InUse: inUse, Long: 1}})
	}
	report(2, 3)
	report(2, 5)
	report(1, 7)
	require.Equal(t, 5, e.peers)
	tb.ExpirePeers(peerSilence)
	require.Zero(t, e.peers)
	require.Zero(t, e.peerLong)
	require.Equal(t, []string{"entry-0"}, tb.members)
}

// Guards against long work that takes the slots kept for short work, while a
// single entry host may otherwise use all.
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

// Guards against a retry on the same endpoint or in the same zone while
// another is free.
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

// Guards against long work that is not recognised by kind, caller and size,
// and against short work that is taken for long.
func TestSketchSeparatesLongWork(t *testing.T) {
	s := NewRunTimes(100)
	random := rand.New(rand.NewPCG(1, 1))
	key := func(kind, caller string, size int) Class {
		return ClassOf(Key{Service: "s", WorkKind: kind, Caller: caller, SizeBytes: size})
	}
	require.False(t, s.Estimate(key("quote", "a", 100)).Known)
	for range 1000 {
		s.Learn(key("quote", fmt.Sprint(random.IntN(5)), 100), time.Duration(random.ExpFloat64()*float64(4*time.Millisecond)))
		if random.IntN(20) == 0 {
			s.Learn(key("cutting", fmt.Sprint(random.IntN(5)), 60000), time.Duration(random.ExpFloat64()*float64(200*time.Millisecond)))
		}
	}
	require.False(t, s.Estimate(key("quote", "1", 100)).Long)
	require.True(t, s.Estimate(key("cutting", "1", 60000)).Long)
	require.True(t, s.Estimate(key("cutting", "new caller", 60000)).Long)
	require.False(t, s.Estimate(key("new kind", "1", 100)).Long)
	require.InEpsilon(t, 2.8, float64(s.Estimate(key("quote", "1", 100)).Median)/1e6, 0.5)
}

// Guards against a sketch that grows with the number of callers.
func TestSketchIsBounded(t *testing.T) {
	s := NewRunTimes(64)
	for i := range 10000 {
		s.Learn(ClassOf(Key{Service: "s", WorkKind: "k", Caller: fmt.Sprint(i)}), time.Millisecond)
	}
	require.Len(t, s.index, 64)
	require.Len(t, s.cells, 64)
	require.True(t, s.Estimate(ClassOf(Key{Service: "s", WorkKind: "k", Caller: "new"})).Known)
}

// Guards against a bucket that does not contain its values.
func TestHistogramBuckets(t *testing.T) {
	for d := 33 * time.Microsecond; d < time.Hour; d = d * 9 / 8 {
		i := bucketOf(d)
		require.LessOrEqual(t, d.Truncate(time.Microsecond), boundOf(i))
		if i > 0 {
			require.GreaterOrEqual(t, d, boundOf(i-1))
		}
	}
}

// Guards against slots that stay idle while long work has waited and no short
// work comes, and against long work that takes all slots.
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

// Guards against a reserve that outlasts the surge it was for.
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
// and against long work that collides with peers for it.
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
