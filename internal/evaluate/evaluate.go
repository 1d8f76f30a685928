package evaluate

import (
	"slices"
	"time"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/route"
)

// Result is the outcome of one trace under one policy. Waits last from the
// arrival at the entry host to the start on an endpoint, so they include one
// network delay. Only arrivals after the learning cycle are measured; the waits
// of short work cover only arrivals in a surge.
type Result struct {
	Deployment string
	Policy     string
	Seed       uint64
	Load       Load

	Requests, Answered int
	// Refused counts the requests that weren't answered, by kind of error.
	Refused         map[fault.Kind]int
	ShortWaitMedian time.Duration
	ShortWaitP99    time.Duration
	ShortWaitP999   time.Duration
	ShortWaitMax    time.Duration
	// ShortWaits are all waits of short work in surges, sorted.
	ShortWaits    []time.Duration
	LongTotalMean time.Duration
	LongTotalP99  time.Duration
	LongWaitMean  time.Duration
	// Attempts is the number of attempts sent, Refusals that of attempts that
	// found no free slot.
	Attempts, Refusals int
	// PeakSlots is the maximum number of slots in use on one endpoint.
	PeakSlots int
	// SlotsUsed and SlotsUsedByLong are the mean shares of all slots that are in
	// use, and in use by long work, in the second half of surges.
	SlotsUsed, SlotsUsedByLong float64
	// Makespan is the time at which the last request ended.
	Makespan time.Duration
}

// Comparison compares one policy with the baseline, which is the first policy,
// and with its own run without long work.
type Comparison struct {
	Result      Result
	WithoutLong Result
	Baseline    Result
	// ShortVsBase and ShortVsNoLong are ratios of the 99th percentiles of short
	// waits; LongVsBase is the ratio of the mean total times of long work.
	ShortVsBase   float64
	ShortVsNoLong float64
	LongVsBase    float64
}

// Targets stated by the users, as upper bounds on the ratios of a Comparison.
const (
	TargetShortVsBase   = 0.2
	TargetShortVsNoLong = 1.5
	TargetLongVsBase    = 1.3
)

// PlacementPolicies returns the placement policies, the baseline first.
func PlacementPolicies() []Policy {
	return []Policy{
		{Name: "least-loaded-fifo", Sharing: route.ShareCredits, Placement: route.LeastLoaded},
		{Name: "two-choices", Sharing: route.ShareCredits, Placement: route.TwoChoices},
		{Name: "split-learned", Sharing: route.ShareCredits, Placement: route.SplitLearned},
	}
}

// SharingPolicies returns the policies for sharing slots among entry hosts, with
// the default placement.
func SharingPolicies() []Policy {
	return []Policy{
		{Name: "home", Sharing: route.ShareHome},
		{Name: "feedback", Sharing: route.ShareFeedback},
		{Name: "credits", Sharing: route.ShareCredits},
	}
}

// Run simulates the trace of a seed under one policy.
func Run(d Deployment, l Load, p Policy, seed uint64) Result {
	trace := GenerateTrace(d, l, seed)
	sim := newSimulation(d, p, seed, trace)
	sim.isSampled = func(now time.Duration) bool {
		return now > l.Surge+l.Lull && now%(l.Surge+l.Lull) > l.Surge/2 && now%(l.Surge+l.Lull) < l.Surge
	}
	sim.run()
	r := Result{Deployment: d.Name, Policy: p.Name, Seed: seed, Load: l, Requests: len(trace), Attempts: sim.attempts, Refusals: sim.refusals, PeakSlots: sim.peakSlots, Makespan: sim.now, Refused: map[fault.Kind]int{}}
	var shortWaits, longTotals, longWaits []time.Duration
	for i, a := range trace {
		outcome := sim.outcomes[i]
		if !outcome.answered {
			r.Refused[outcome.kind]++
			continue
		}
		r.Answered++
		switch {
		case a.Learning:
		case a.Long:
			longTotals = append(longTotals, outcome.ended-a.At)
			longWaits = append(longWaits, outcome.started-a.At)
		case a.Surge:
			shortWaits = append(shortWaits, outcome.started-a.At)
		}
	}
	slots := float64(max(sim.sampleCount, 1) * d.Endpoints * d.Slots)
	r.SlotsUsed = float64(sim.allSlotsSum) / slots
	r.SlotsUsedByLong = float64(sim.longSlotsSum) / slots
	slices.Sort(shortWaits)
	slices.Sort(longTotals)
	r.ShortWaits = shortWaits
	r.ShortWaitMedian = percentile(shortWaits, 50)
	r.ShortWaitP99 = percentile(shortWaits, 99)
	r.ShortWaitP999 = permille(shortWaits, 999)
	r.ShortWaitMax = percentile(shortWaits, 100)
	r.LongTotalP99 = percentile(longTotals, 99)
	r.LongTotalMean = mean(longTotals)
	r.LongWaitMean = mean(longWaits)
	return r
}

// percentile returns a percentile of a sorted list, or 0 if it is empty.
func percentile(sorted []time.Duration, percent int) time.Duration {
	return permille(sorted, percent*10)
}

func permille(sorted []time.Duration, rank int) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)*rank/1000, len(sorted)-1)]
}

func mean(list []time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, v := range list {
		sum += v
	}
	return sum / time.Duration(max(len(list), 1))
}

// Compare simulates the same trace under every policy, with and without long
// work.
func Compare(d Deployment, l Load, policies []Policy, seed uint64) []Comparison {
	without := l
	without.NoLongWork = true
	var list []Comparison
	for _, p := range policies {
		c := Comparison{Result: Run(d, l, p, seed), WithoutLong: Run(d, without, p, seed)}
		c.Baseline = c.Result
		if len(list) > 0 {
			c.Baseline = list[0].Result
		}
		c.ShortVsBase = ratio(c.Result.ShortWaitP99, c.Baseline.ShortWaitP99)
		c.ShortVsNoLong = ratio(c.Result.ShortWaitP99, c.WithoutLong.ShortWaitP99)
		c.LongVsBase = ratio(c.Result.LongTotalMean, c.Baseline.LongTotalMean)
		list = append(list, c)
	}
	return list
}

// ratio returns a divided by b, with b at least 1 ns.
func ratio(a, b time.Duration) float64 { return float64(a) / float64(max(b, 1)) }
