package measure

import (
	"time"

	"golang.org/x/sync/errgroup"

	"laburnumdock/internal/evaluate"
)

// Seeds of the traces.
const (
	trafficSeeds      = 3
	trafficSeedsQuick = 1
)

// modelsAtOnce leaves half of a machine of 10 cores to others.
const modelsAtOnce = 5

// Traffic compares the policies for the two deployments on the same traces.
func measureTraffic(r *Report) {
	seeds := trafficSeeds
	if r.Quick {
		seeds = trafficSeedsQuick
	}
	for _, d := range evaluate.Deployments() {
		placements(r, d, seeds)
		sharings(r, d, seeds)
	}
}

func placements(r *Report, d evaluate.Deployment, seeds int) {
	policies := evaluate.PlacementPolicies()
	runs := make([][]evaluate.Comparison, len(policies))
	bySeed := parallel(seeds, func(seed int) []evaluate.Comparison {
		return evaluate.Compare(d, evaluate.DefaultLoad(), policies, uint64(seed+1))
	})
	for _, list := range bySeed {
		for i, c := range list {
			runs[i] = append(runs[i], c)
		}
	}
	for i, p := range policies {
		r.waits = append(r.waits, waits{user: d.Name, policy: p.Name, sorted: runs[i][0].Result.ShortWaits})
		key := "traffic." + d.Name + "." + p.Name + "."
		list := runs[i]
		r.Add(key+"short_wait_p50", "ms", each(list, func(c evaluate.Comparison) float64 { return ms(c.Result.ShortWaitMedian) })...)
		r.Add(key+"short_wait_p99", "ms", each(list, func(c evaluate.Comparison) float64 { return ms(c.Result.ShortWaitP99) })...)
		r.Add(key+"short_wait_p999", "ms", each(list, func(c evaluate.Comparison) float64 { return ms(c.Result.ShortWaitP999) })...)
		r.Add(key+"short_wait_p99_without_long", "ms", each(list, func(c evaluate.Comparison) float64 { return ms(c.WithoutLong.ShortWaitP99) })...)
		r.Add(key+"long_total_mean", "ms", each(list, func(c evaluate.Comparison) float64 { return ms(c.Result.LongTotalMean) })...)
		r.Add(key+"unanswered", "requests", each(list, func(c evaluate.Comparison) float64 { return float64(c.Result.Requests - c.Result.Answered) })...)
		if i == 0 {
			continue
		}
		r.AddTarget(key+"short_vs_base", targetShortVsBase, each(list, func(c evaluate.Comparison) float64 { return c.ShortVsBase })...)
		r.AddTarget(key+"short_vs_without_long", targetShortVsNoLong, each(list, func(c evaluate.Comparison) float64 { return c.ShortVsNoLong })...)
		r.AddTarget(key+"long_vs_base", targetLongVsBase, each(list, func(c evaluate.Comparison) float64 { return c.LongVsBase })...)
	}
}

// sharings compares the ways to share slots, with the load on all entry hosts
// and on one.
func sharings(r *Report, d evaluate.Deployment, seeds int) {
	for _, one := range []bool{false, true} {
		load, where := evaluate.DefaultLoad(), "all_entry_hosts"
		if one {
			load.SingleEntryHost, where = true, "one_entry_host"
		}
		for _, p := range evaluate.SharingPolicies() {
			list := parallel(seeds, func(seed int) evaluate.Result { return evaluate.Run(d, load, p, uint64(seed+1)) })
			key := "sharing." + d.Name + "." + p.Name + "." + where + "."
			r.Add(key+"refusals_per_attempt", "%", each(list, func(v evaluate.Result) float64 { return 100 * float64(v.Refusals) / float64(max(v.Attempts, 1)) })...)
			r.Add(key+"idle_slots", "%", each(list, func(v evaluate.Result) float64 { return 100 * (1 - v.SlotsUsed) })...)
		}
	}
}

// parallel runs models side by side: their time is simulated, so that other
// load on the machine does not change the results.
func parallel[T any](count int, run func(i int) T) []T {
	results := make([]T, count)
	var group errgroup.Group
	group.SetLimit(modelsAtOnce)
	for i := range count {
		group.Go(func() error {
			results[i] = run(i)
			return nil
		})
	}
	_ = group.Wait()
	return results
}

func each[T any](list []T, value func(T) float64) []float64 {
	values := make([]float64, 0, len(list))
	for _, v := range list {
		values = append(values, value(v))
	}
	return values
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
