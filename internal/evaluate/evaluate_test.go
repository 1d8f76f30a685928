package evaluate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// shortLoad is DefaultLoad with one measured cycle, to keep the tests quick.
func shortLoad() Load {
	l := DefaultLoad()
	l.Cycles = 2
	return l
}

// Guards against results that differ from run to run.
func TestRunIsDeterministic(t *testing.T) {
	d := Deployments()[1]
	p := PlacementPolicies()[2]
	require.Equal(t, Run(d, shortLoad(), p, 3), Run(d, shortLoad(), p, 3))
}

// Guards against a chosen policy that lets short work wait behind long work.
// The other two targets are missed; Compare reports them.
func TestShortWaitTarget(t *testing.T) {
	policies := PlacementPolicies()
	for _, d := range Deployments() {
		c := Compare(d, shortLoad(), []Policy{policies[0], policies[len(policies)-1]}, 1)[1]
		require.LessOrEqual(t, c.ShortVsBase, TargetShortVsBase, d.Name)
		require.Equal(t, c.Result.Requests, c.Result.Answered)
		t.Logf("%s: short %.3f of baseline, %.2f of without long; long %.2f of baseline", d.Name, c.ShortVsBase, c.ShortVsNoLong, c.LongVsBase)
	}
}

// Guards against more work on an executor than its slots, and against idle
// slots when one entry host has all the load.
func TestSlotsAreSharedAndNotIdle(t *testing.T) {
	d := Deployments()[0]
	l := shortLoad()
	spread := Run(d, l, PlacementPolicies()[0], 1)
	l.SingleEntryHost = true
	one := Run(d, l, PlacementPolicies()[0], 1)
	require.Equal(t, d.Slots, spread.PeakSlots)
	require.Equal(t, d.Slots, one.PeakSlots)
	require.GreaterOrEqual(t, one.SlotsUsed, 0.9*spread.SlotsUsed)
	t.Logf("slots used: %.3f by 7 entry hosts, %.3f by one; refusals %d and %d", spread.SlotsUsed, one.SlotsUsed, spread.Refusals, one.Refusals)
}

// Guards against a trace that is not the load of the design page.
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
	load := work.Seconds() / (l.Surge.Seconds() * float64(l.Cycles*d.Executors*d.Slots))
	require.InDelta(t, l.SurgeLoad, load, 0.1)
	require.InDelta(t, l.LongShare, float64(long)/float64(len(trace)), 0.01)
	mean := float64(len(trace)) / (l.Surge + l.Lull).Seconds() / float64(l.Cycles)
	require.InDelta(t, 5, float64(surge)/l.Surge.Seconds()/float64(l.Cycles)/mean, 0.3)
}
