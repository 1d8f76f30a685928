package evaluate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// shortLoad returns DefaultLoad with only one measured cycle, to keep the tests
// fast.
func shortLoad() Load {
	l := DefaultLoad()
	l.Cycles = 2
	return l
}

// Guards against results that differ between runs with the same seed.
func TestRunIsDeterministic(t *testing.T) {
	d := Deployments()[1]
	p := PlacementPolicies()[2]
	require.Equal(t, Run(d, shortLoad(), p, 3), Run(d, shortLoad(), p, 3))
}

// Guards against a default policy that lets short work wait behind long work.
// The other two targets are missed; Compare reports their ratios.
func TestShortWaitTarget(t *testing.T) {
	policies := PlacementPolicies()
	for _, d := range Deployments() {
		c := Compare(d, shortLoad(), []Policy{policies[0], policies[len(policies)-1]}, 1)[1]
		require.LessOrEqual(t, c.ShortVsBase, TargetShortVsBase, d.Name)
		require.Equal(t, c.Result.Requests, c.Result.Answered)
		t.Logf("%s: short %.3f of baseline, %.2f of without long; long %.2f of baseline", d.Name, c.ShortVsBase, c.ShortVsNoLong, c.LongVsBase)
	}
}

// Guards against more work on an endpoint than it has slots, and against idle
// slots when one entry host receives all the load.
func TestSlotsAreSharedAndNotIdle(t *testing.T) {
	d := Deployments()[0]
	l := shortLoad()
	distributed := Run(d, l, PlacementPolicies()[0], 1)
	l.SingleEntryHost = true
	single := Run(d, l, PlacementPolicies()[0], 1)
	require.Equal(t, d.Slots, distributed.PeakSlots)
	require.Equal(t, d.Slots, single.PeakSlots)
	require.GreaterOrEqual(t, single.SlotsUsed, 0.9*distributed.SlotsUsed)
	t.Logf("slots used: %.3f by 7 entry hosts, %.3f by one; refusals %d and %d", distributed.SlotsUsed, single.SlotsUsed, distributed.Refusals, single.Refusals)
}

// Guards against a trace whose surge load, share of long work or surge rate
// deviates from its Load.
func TestTraceMatchesLoad(t *testing.T) {
	d := Deployments()[0]
	l := DefaultLoad()
	var work time.Duration
	long, surge := 0, 0
	trace := GenerateTrace(d, l, 1)
	for _, a := range trace {
		if a.Surge {
			surge++
			work += a.RunTime
		}
		if a.Long {
			long++
		}
	}
	load := work.Seconds() / (l.Surge.Seconds() * float64(l.Cycles*d.Endpoints*d.Slots))
	require.InDelta(t, l.SurgeLoad, load, 0.1)
	require.InDelta(t, l.LongShare, float64(long)/float64(len(trace)), 0.01)
	mean := float64(len(trace)) / (l.Surge + l.Lull).Seconds() / float64(l.Cycles)
	require.InDelta(t, 5, float64(surge)/l.Surge.Seconds()/float64(l.Cycles)/mean, 0.3)
}
