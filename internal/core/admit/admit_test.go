package admit

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func always(*Item) bool { return true }

func item(id uint64, caller string, l Lane, cost time.Duration) *Item {
	return &Item{ID: id, Caller: caller, Lane: l, Cost: cost, Deadline: time.Minute}
}

// Guards against one caller's surge that keeps another caller waiting.
func TestSurgeOfOneCallerDoesNotStarveAnother(t *testing.T) {
	q := New(1000)
	for id := range uint64(500) {
		q.Push(item(id, "surging", NormalShort, time.Millisecond))
	}
	for id := range uint64(10) {
		q.Push(item(1000+id, "small", NormalShort, time.Millisecond))
	}
	served := 0
	for range 24 {
		if q.Pop(always).ID >= 1000 {
			served++
		}
	}
	require.Equal(t, 10, served)
}

// Guards against fairness by number alone: a caller with work ten times as
// expensive gets about the same run time.
func TestFairnessIsByCost(t *testing.T) {
	q := New(10000)
	for id := range uint64(3000) {
		q.Push(item(id, "cheap", NormalShort, time.Millisecond))
		q.Push(item(10000+id, "dear", NormalShort, 5*time.Millisecond))
	}
	spent := map[string]time.Duration{}
	for range 1200 {
		it := q.Pop(always)
		spent[it.Caller] += it.Cost
	}
	require.InEpsilon(t, spent["cheap"].Seconds(), spent["dear"].Seconds(), 0.1)
}

// Guards against urgent or short work that starves the rest.
func TestNoLaneStarves(t *testing.T) {
	q := New(10000)
	id := uint64(0)
	for range 500 {
		for l := range laneCount {
			id++
			q.Push(item(id, "a", l, time.Millisecond))
		}
	}
	served := map[Lane]int{}
	for range 400 {
		served[q.Pop(always).Lane]++
	}
	require.Greater(t, served[UrgentShort], 300)
	require.GreaterOrEqual(t, served[NormalLong], 400/reversal)
}

// Guards against a full queue that a single caller holds.
func TestFullQueueEvictsFromLongest(t *testing.T) {
	q := New(10)
	for id := range uint64(10) {
		require.Nil(t, q.Push(item(id, "surging", NormalShort, 1)))
	}
	own := item(50, "surging", NormalShort, 1)
	require.Same(t, own, q.Push(own))
	out := q.Push(item(51, "small", NormalShort, 1))
	require.Equal(t, "surging", out.Caller)
	require.Equal(t, 10, q.Len())
}

// Guards against state per caller that outlives its items.
func TestCallerStateIsBounded(t *testing.T) {
	q := New(100)
	for id := range uint64(100000) {
		q.Push(item(id, fmt.Sprint("caller-", id), NormalShort, 1))
		if id%3 == 0 {
			q.Pop(always)
		}
	}
	flows := 0
	for _, l := range q.lanes {
		flows += len(l.flows)
		require.Len(t, l.ring, len(l.flows))
	}
	require.LessOrEqual(t, flows, 100)
}

// Guards against lost, doubled or reordered items and a wrong length or cost.
func TestRandomOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(20)
		in := map[uint64]*Item{}
		for id := range uint64(rapid.IntRange(1, 200).Draw(t, "operations")) {
			switch rapid.IntRange(0, 3).Draw(t, "operation") {
			case 0, 1:
				it := item(id, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller"), Lane(rapid.IntRange(0, 3).Draw(t, "lane")), time.Duration(rapid.IntRange(0, 100).Draw(t, "cost"))*time.Millisecond)
				it.Deadline = time.Duration(rapid.IntRange(1, 100).Draw(t, "deadline"))
				in[id] = it
				if out := q.Push(it); out != nil {
					delete(in, out.ID)
				}
			case 2:
				if it := q.Pop(always); it != nil {
					for _, o := range in {
						if o.Caller == it.Caller && o.Lane == it.Lane && o.Deadline < it.Deadline {
							t.Fatalf("item %d overtook %d of an earlier deadline", it.ID, o.ID)
						}
					}
					if in[it.ID] == nil {
						t.Fatalf("item %d is served twice", it.ID)
					}
					delete(in, it.ID)
				}
			case 3:
				for _, removed := range slices.Sorted(maps.Keys(in)) {
					q.Remove(in[removed])
					delete(in, removed)
					break
				}
			}
			sum := time.Duration(0)
			for _, it := range in {
				sum += it.Cost
			}
			if q.Len() != len(in) || q.CostAhead(NormalLong) != sum {
				t.Fatalf("length %d and cost %s, want %d and %s", q.Len(), q.CostAhead(NormalLong), len(in), sum)
			}
		}
	})
}
