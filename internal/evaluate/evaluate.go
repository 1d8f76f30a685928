package evaluate

import (
	"slices"
	"time"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/route"
)

// Result is what one policy did with one trace. Waits are from the arrival at
// the entry host to the start on an executor, so they contain one network
// delay. Only arrivals after the learning cycle are measured; the waits of
// short work are those of arrivals in a surge.
type Result struct {
	Deployment string
	Policy     string
	Seed       uint64
	Load       Load

	Requests, Answered int
	// Refused counts the requests that were not answered, by kind.
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
	// Attempts were sent, Refusals of them found no free slot.
	Attempts, Refusals int
	// PeakSlots is the most slots that were in use on one executor.
	PeakSlots int
	// SlotsUsed and SlotsLong are the shares of all slots that were in use, and
	// by long work, in the second half of surges.
	SlotsUsed, SlotsUsedByLong float64
	// Makespan is when the last request ended.
	Makespan time.Duration
}

// Comparison is one policy against the baseline, the first of the policies, and
// against its own run without long work.
type Comparison struct {
	Result        Result
	WithoutLong   Result
	Baseline      Result
	ShortVsBase   float64
	ShortVsNoLong float64
	LongVsBase    float64
}

// Targets stated by the users.
const (
	TargetShortVsBase   = 0.2
	TargetShortVsNoLong = 1.5
	TargetLongVsBase    = 1.3
)

// Policies returns the baseline first.
func PlacementPolicies() []Policy {
	return []Policy{
		{Name: "least-loaded-fifo", Sharing: route.ShareCredits, Placement: route.LeastLoaded},
		{Name: "two-choices", Sharing: route.ShareCredits, Placement: route.TwoChoices},
		{Name: "split-learned", Sharing: route.ShareCredits, Placement: route.SplitLearned},
	}
}

// Sharings returns the ways to share slots, with the chosen placement.
func SharingPolicies() []Policy {
	return []Policy{
		{Name: "home", Sharing: route.ShareHome},
		{Name: "feedback", Sharing: route.ShareFeedback},
		{Name: "credits", Sharing: route.ShareCredits},
	}
}

// Run plays one trace with one policy.
func Run(d Deployment, l Load, p Policy, seed uint64) Result {
	trace := GenerateTrace(d, l, seed)
	m := newModel(d, p, seed, trace)
	m.surge = func(now time.Duration) bool {
		return now > l.Surge+l.Lull && now%(l.Surge+l.Lull) > l.Surge/2 && now%(l.Surge+l.Lull) < l.Surge
	}
	m.run()
	r := Result{Deployment: d.Name, Policy: p.Name, Seed: seed, Load: l, Requests: len(trace), Attempts: m.attempts, Refusals: m.refusals, PeakSlots: m.peak, Makespan: m.now, Refused: map[fault.Kind]int{}}
	var short, total, wait []time.Duration
	for i, a := range trace {
		f := m.done[i]
		if !f.answered {
			r.Refused[f.kind]++
			continue
		}
		r.Answered++
		switch {
		case a.Learning:
		case a.Long:
			total = append(total, f.ended-a.At)
			wait = append(wait, f.started-a.At)
		case a.Surge:
			short = append(short, f.started-a.At)
		}
	}
	slots := float64(max(m.sampleCount, 1) * d.Executors * d.Slots)
	r.SlotsUsed = float64(m.allSum) / slots
	r.SlotsUsedByLong = float64(m.longSum) / slots
	slices.Sort(short)
	slices.Sort(total)
	r.ShortWaits = short
	r.ShortWaitMedian = at(short, 50)
	r.ShortWaitP99 = at(short, 99)
	r.ShortWaitP999 = atPermille(short, 999)
	r.ShortWaitMax = at(short, 100)
	r.LongTotalP99 = at(total, 99)
	r.LongTotalMean = mean(total)
	r.LongWaitMean = mean(wait)
	return r
}

func at(sorted []time.Duration, percent int) time.Duration { return atPermille(sorted, percent*10) }

func atPermille(sorted []time.Duration, permille int) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)*permille/1000, len(sorted)-1)]
}

func mean(list []time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, v := range list {
		sum += v
	}
	return sum / time.Duration(max(len(list), 1))
}

// Compare plays the same trace with every policy, with and without long work.
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

func ratio(a, b time.Duration) float64 { return float64(a) / float64(max(b, 1)) }
