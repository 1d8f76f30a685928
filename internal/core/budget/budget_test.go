package budget

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var (
	testLimits = Limits{Bytes: 100, Reserved: 25, Ports: 1, Conns: 8, ReservedConns: 2, Grace: time.Second}
	start      = time.Unix(1000, 0)
)

// Guards against large bodies that take the room of ordinary callers.
func TestReservedPartIsForSmallBodies(t *testing.T) {
	a := NewAccount(testLimits)
	require.True(t, a.Ask(Request{ID: 1, Bytes: 75}))
	require.False(t, a.Ask(Request{ID: 2, Bytes: 1}))
	require.True(t, a.Ask(Request{ID: 3, Bytes: 25, Small: true}), "it passes the large one that waits")
	require.False(t, a.Ask(Request{ID: 4, Bytes: 1, Small: true}))
	require.Equal(t, []uint64{4, 2}, a.Release(Request{Bytes: 75}), "small bodies get room first")
}

// Guards against a request larger than the budget, such as a snapshot, that never gets room,
// and against two of them at once.
func TestOversizeRequestIsAlone(t *testing.T) {
	a := NewAccount(testLimits)
	snapshot := Request{ID: 1, Bytes: 300}
	require.True(t, a.Ask(snapshot))
	require.False(t, a.Ask(Request{ID: 2, Bytes: 300}))
	require.Equal(t, []uint64{2}, a.Release(snapshot))
	limits := testLimits
	limits.Ports = 2
	a = NewAccount(limits)
	require.True(t, a.Ask(snapshot))
	require.True(t, a.Ask(Request{ID: 3, Bytes: 18, Port: 1}), "another listener keeps its part")
	require.True(t, a.Ask(Request{ID: 4, Bytes: 7, Small: true}), "ordinary requests are served meanwhile")
}

// Guards against a request that gave up and still holds or gets room, and against one behind
// it that waits on.
func TestWithdrawnRequestGetsNoRoom(t *testing.T) {
	a := NewAccount(testLimits)
	require.True(t, a.Ask(Request{ID: 1, Bytes: 60}))
	require.False(t, a.Ask(Request{ID: 2, Bytes: 75}))
	require.False(t, a.Ask(Request{ID: 3, Bytes: 10}), "the order of arrival holds")
	granted, found := a.Withdraw(2)
	require.True(t, found)
	require.Equal(t, []uint64{3}, granted)
	_, found = a.Withdraw(3)
	require.False(t, found, "it has been granted")
	require.Equal(t, int64(70), a.Used())
}

// Guards against an account that loses or invents room, or exceeds the budget, in any order
// of calls.
func TestAccountIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const largest = 120
		limits := testLimits
		limits.Ports = 2
		a := NewAccount(limits)
		held, waiting := map[uint64]Request{}, map[uint64]Request{}
		move := func(ids []uint64) {
			for _, id := range ids {
				held[id] = waiting[id]
				delete(waiting, id)
			}
		}
		for id := uint64(1); id < 60; id++ {
			switch rapid.IntRange(0, 2).Draw(t, "action") {
			case 0, 1:
				r := Request{ID: id, Bytes: rapid.Int64Range(1, largest).Draw(t, "bytes"), Small: rapid.Bool().Draw(t, "small"), Port: rapid.IntRange(0, 1).Draw(t, "port")}
				if r.Small {
					// No small request exceeds the budget.
					r.Bytes = min(r.Bytes, limits.Bytes)
				}
				waiting[id] = r
				if a.Ask(r) {
					move([]uint64{id})
				}
			default:
				if len(held) > 0 {
					other := slices.Min(slices.Collect(maps.Keys(held)))
					r := held[other]
					delete(held, other)
					move(a.Release(r))
				}
			}
			var sum int64
			for _, r := range held {
				sum += r.Bytes
			}
			require.Equal(t, sum, a.Used())
			require.LessOrEqual(t, sum, testLimits.Bytes+largest, "at most one large request is admitted beyond the budget")
			require.Equal(t, len(waiting), a.Waiting())
		}
		for len(held) > 0 {
			id := slices.Min(slices.Collect(maps.Keys(held)))
			r := held[id]
			delete(held, id)
			move(a.Release(r))
		}
		require.Empty(t, waiting, "requests wait although nothing is held")
	})
}

// Guards against a crowd on one listener that takes the room of the others.
func TestListenersHaveGuaranteedRoom(t *testing.T) {
	limits := testLimits
	limits.Ports = 3
	a := NewAccount(limits)
	for id := range uint64(9) {
		a.Ask(Request{ID: id, Bytes: 10, Port: 1})
	}
	require.Equal(t, int64(50), a.Used(), "its own twelve bytes and what the guarantees leave")
	require.True(t, a.Ask(Request{ID: 10, Bytes: 12, Port: 2}), "it does not wait behind those of another listener")
	require.False(t, a.Ask(Request{ID: 11, Bytes: 12, Port: 2}))
}

// Guards against bodies that get parts of their room and then wait for each other for good, and
// against parts that exceed the room.
func TestPartsOfBodiesDoNotBlockEachOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const listeners, most = 2, 30
		limits := testLimits
		limits.Ports = listeners
		a := NewAccount(limits)
		type part struct {
			Request
			size, held int64
			waits      bool
		}
		bodies := map[uint64]*part{}
		byRequest := map[uint64]*part{}
		nextID := uint64(0)
		grant := func(ids []uint64) {
			for _, id := range ids {
				b := byRequest[id]
				b.waits, b.held = false, b.held+b.Bytes
			}
		}
		ask := func(b *part) {
			nextID++
			b.ID, b.Bytes = nextID, min(max(b.held, 1), b.size-b.held)
			b.Remaining = b.size - b.held - b.Bytes
			b.waits = true
			byRequest[b.ID] = b
			if a.Ask(b.Request) {
				grant([]uint64{b.ID})
			}
		}
		step := func() (progress bool) {
			for _, id := range slices.Sorted(maps.Keys(bodies)) {
				switch b := bodies[id]; {
				case b.waits:
				case b.held < b.size:
					ask(b)
					return true
				default:
					delete(bodies, id)
					grant(a.Release(Request{Bytes: b.held, Port: b.Port, Holder: b.Holder}))
					return true
				}
			}
			return false
		}
		for id := uint64(1); id < most; id++ {
			bodies[id] = &part{Request: Request{Holder: id, Port: 0}, size: rapid.Int64Range(1, limits.LargeRoom()).Draw(t, "size")}
			for range rapid.IntRange(0, 4).Draw(t, "steps") {
				step()
			}
			require.LessOrEqual(t, a.Used(), limits.Bytes)
		}
		for len(bodies) > 0 {
			require.True(t, step(), "%d bodies wait for each other", len(bodies))
		}
		require.Zero(t, a.Used())
	})
}

// Guards against long bodies that come slowly and keep short ones out.
func TestShortBodyPassesLongOnes(t *testing.T) {
	limits := Limits{Bytes: 1000, Ports: 1}
	a := NewAccount(limits)
	waiting := 0
	for id := range uint64(20) {
		if !a.Ask(Request{ID: id, Holder: id + 1, Bytes: 50, Remaining: 350}) {
			waiting++
		}
	}
	require.Equal(t, 7, waiting, "room for the rest of one of them is left")
	require.True(t, a.Ask(Request{ID: 100, Holder: 100, Bytes: 50, Remaining: 200}))
	require.True(t, a.Ask(Request{ID: 101, Holder: 100, Bytes: 200}))
	require.Empty(t, a.Release(Request{Bytes: 250, Holder: 100}))
	require.False(t, a.Ask(Request{ID: 102, Holder: 1, Bytes: 100, Remaining: 400}), "a body that is longer than it seemed")
}

// Guards against HTTP/2 connections that take the room of bodies, or that of the connections
// of another listener.
func TestConnectionsHaveTheirOwnRoom(t *testing.T) {
	limits := testLimits
	limits.Ports = 2
	a := NewAccount(limits)
	conns := 0
	for id := range uint64(20) {
		if a.Ask(Request{ID: id, Bytes: 5, Conn: true}) {
			conns++
		}
	}
	require.Equal(t, 7, conns, "half of the room, but for what the other listener is guaranteed")
	require.True(t, a.Ask(Request{ID: 30, Bytes: 5, Port: 1, Conn: true}))
	require.True(t, a.Ask(Request{ID: 31, Bytes: 300}), "a snapshot is admitted beside them")
	require.Empty(t, a.Release(Request{Bytes: 300}))
	require.Equal(t, []uint64{7}, a.Release(Request{Bytes: 5, Conn: true}))
}

// Guards against slow bodies that are never closed, and against closing one that comes at an
// ordinary rate or has just begun.
func TestSlowBodiesAreClosedAfterStalledOnes(t *testing.T) {
	limits := testLimits
	limits.BodyRate = 100
	body := func(id uint64, age time.Duration, received int64) Holder {
		return Holder{ID: id, Phase: Receiving, Since: start, Began: start.Add(-age), Received: received, Bytes: 10}
	}
	stalled := body(1, time.Minute, 0)
	stalled.Since = start.Add(-time.Minute)
	list := []Holder{body(2, 10*time.Second, 900), body(3, 10*time.Second, 500), body(4, 10*time.Second, 1000), body(5, time.Second/2, 0), stalled}
	require.Equal(t, []uint64{1}, limits.HoldersToClose(list, 10, start))
	require.Equal(t, []uint64{1, 3}, limits.HoldersToClose(list, 20, start))
	require.Equal(t, []uint64{1, 3, 2}, limits.HoldersToClose(list, 1000, start))
	conns := append(list, holders(start, Idle, Serving, Serving, Serving)...)
	closed, admitted := limits.closeFor(conns, start)
	require.True(t, admitted)
	require.Equal(t, []uint64{1, 3, 2}, closed[:3])
}

// Guards against new connections that are refused while there are slow bodies, and against
// closing these before connections without progress.
func TestYoungSlowBodiesMakeRoomForConnections(t *testing.T) {
	limits := Limits{Conns: 8, ReservedConns: 1, Ports: 1, Grace: time.Second, BodyRate: 100}
	conns := holders(start, Serving, Serving, Serving, Serving, Serving, Serving, Serving, Serving)
	young := func(i int, age time.Duration, received int64) {
		conns[i] = Holder{ID: uint64(i), Phase: Receiving, Since: start.Add(-age), Began: start.Add(-age), Received: received}
	}
	young(3, time.Second/2, 10)
	young(4, time.Second/2, 1000)
	young(5, time.Second/2, 5)
	young(6, time.Second/8, 0)
	closed, admitted := limits.closeFor(conns, start)
	require.True(t, admitted)
	require.Equal(t, []uint64{5}, closed)
	conns[7].Phase = Idle
	closed, _ = limits.closeFor(conns, start)
	require.Equal(t, []uint64{5}, closed, "an idle connection is closed last")
	young(3, time.Second/8, 10)
	young(5, time.Second/8, 10)
	conns[7].Phase = Serving
	_, admitted = limits.closeFor(conns, start)
	require.False(t, admitted)
}

// Guards against connections that wait for room and keep ordinary clients from connecting.
func TestWaitingConnectionsAreClosedBeforeIdleOnes(t *testing.T) {
	closed, admitted := testLimits.closeFor(holders(start, Idle, Waiting, Serving, Serving, Serving, Serving, Serving, Serving), start)
	require.True(t, admitted)
	require.Equal(t, []uint64{1}, closed[:1])
}

func holders(now time.Time, phases ...Phase) []Holder {
	var list []Holder
	for i, p := range phases {
		list = append(list, Holder{ID: uint64(i), Phase: p, Since: now.Add(-time.Duration(10-i) * time.Second), Bytes: 10})
	}
	return list
}

// closeFor is ConnsToClose for one more connection on the only listener.
func (l Limits) closeFor(conns []Holder, now time.Time) ([]uint64, bool) {
	return l.ConnsToClose(conns, []int{len(conns) + 1}, 0, now)
}

// Guards against a crowd that takes the connections of other listeners, also while none of
// its own may be closed yet.
func TestListenersHaveGuaranteedConnections(t *testing.T) {
	limits := Limits{Conns: 12, ReservedConns: 1, Ports: 3, Grace: time.Second}
	crowd := holders(start, Serving, Serving, Serving, Serving, Serving, Serving, Serving, Unused)
	for i := range crowd {
		crowd[i].Port = 1
	}
	_, admitted := limits.ConnsToClose(crowd, []int{0, 8, 0}, 1, start)
	require.True(t, admitted, "its own two and six shared ones")
	closed, admitted := limits.ConnsToClose(crowd, []int{0, 9, 0}, 1, start)
	require.True(t, admitted)
	require.Equal(t, []uint64{7}, closed)
	crowd[7].Phase = Serving
	_, admitted = limits.ConnsToClose(crowd, []int{0, 9, 0}, 1, start)
	require.False(t, admitted)
	closed, admitted = limits.ConnsToClose(crowd, []int{2, 8, 0}, 0, start)
	require.True(t, admitted)
	require.Empty(t, closed)
	_, admitted = limits.ConnsToClose(crowd, []int{3, 8, 0}, 0, start)
	require.False(t, admitted)
}

// Guards against idle connections of ordinary clients that are closed before those of a
// crowd, and against a request that was passed on and is cut.
func TestConnectionsWithoutProgressAreClosedFirst(t *testing.T) {
	conns := holders(start, Idle, Serving, Receiving, Unused, Serving, Serving, Serving)
	closed, admitted := testLimits.closeFor(conns, start)
	require.True(t, admitted)
	require.Equal(t, []uint64{2, 3}, closed)
	closed, admitted = testLimits.closeFor(holders(start, Serving, Idle, Serving, Serving, Serving, Serving, Serving), start)
	require.True(t, admitted)
	require.Empty(t, closed, "an idle connection stays while there is room")
	closed, admitted = testLimits.closeFor(holders(start, Serving, Idle, Serving, Serving, Serving, Serving, Serving, Serving), start)
	require.True(t, admitted)
	require.Equal(t, []uint64{1}, closed)
	closed, admitted = testLimits.closeFor(holders(start, Serving, Serving, Serving, Serving, Serving, Serving, Serving, Serving), start)
	require.False(t, admitted)
	require.Empty(t, closed)
}

// Guards against connections that are closed right after they were accepted because their
// first bytes are still on the way.
func TestGraceIsKept(t *testing.T) {
	conns := holders(start, Unused, Unused, Unused, Unused, Unused, Unused, Unused, Unused)
	for i := range conns {
		conns[i].Since = start
	}
	closed, admitted := testLimits.closeFor(conns, start.Add(testLimits.Grace/2))
	require.False(t, admitted)
	require.Empty(t, closed)
	require.Empty(t, testLimits.HoldersToClose(conns, 10, start))
}

// Guards against more requests being closed than the room that is needed, and against closing
// one that holds nothing.
func TestOnlyEnoughIsClosed(t *testing.T) {
	list := holders(start, Receiving, Receiving, Receiving, Serving)
	list[0].Bytes = 0
	require.Equal(t, []uint64{1}, testLimits.HoldersToClose(list, 10, start))
	require.Equal(t, []uint64{1, 2}, testLimits.HoldersToClose(list, 11, start))
}

// Guards against deadlines that cut idle connections or requests that were passed on.
func TestExpired(t *testing.T) {
	list := holders(start, Receiving, Unread, Idle, Serving, Unused)
	require.Equal(t, []uint64{0, 1}, Timeouts{Body: time.Second, Answer: time.Second}.Expired(list, start))
	require.Empty(t, Timeouts{Body: time.Minute, Answer: time.Minute}.Expired(list, start))
}

// Guards against limits that exceed the descriptors or the memory of a host.
func TestDerive(t *testing.T) {
	const mb = 1 << 20
	l := Derive(184*mb, 25, 4100, 0, 4, time.Second, 16<<10)
	require.Equal(t, 735, l.Conns)
	require.Equal(t, int64(184*mb-20*mb-735*40<<10), l.HeapLimit(184*mb))
	require.Equal(t, int64(1024*mb-1024*mb/5), Limits{}.HeapLimit(1024*mb))
	require.Equal(t, int64(184*mb/100*25), l.Bytes)
	require.Equal(t, 144, Derive(96*mb, 25, 384, 0, 4, time.Second, 16<<10).Conns)
	require.Equal(t, 50, Derive(96*mb, 25, 384, 50, 4, time.Second, 16<<10).Conns)
	require.Equal(t, 65_536, Derive(0, 25, 0, 0, 4, time.Second, 16<<10).Conns)
}
