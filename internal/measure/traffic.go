package measure

import (
	"time"

	"golang.org/x/sync/errgroup"

	"laburnumdock/internal/evaluate"
)

// Number of trace seeds.
const (
	trafficSeeds      = 3
	trafficSeedsQuick = 1
)

// maxParallelSimulations leaves half of a machine with 10 cores to other
// processes.
const maxParallelSimulations = 5

// measureTraffic compares the policies for both deployments on the same traces.
func measureTraffic(r *Report) {
	seeds := trafficSeeds
	if r.Quick {
		seeds = trafficSeedsQuick
	}
	for _, d := range evaluate.Deployments() {
		comparePlacements(r, d, seeds)
		compareSharings(r, d, seeds)
	}
}

// comparePlacements compares the placement policies with the baseline, which is
// the first policy.
func comparePlacements(r *Report, d evaluate.Deployment, seeds int) {
	policies := evaluate.PlacementPolicies()
	runs := make([][]evaluate.Comparison, len(policies))
	bySeed := runParallel(seeds, func(seed int) []evaluate.Comparison {
		return evaluate.Compare(d, evaluate.DefaultLoad(), policies, uint64(seed+1))
	})
	for _, list := range bySeed {
		for i, c := range list {
			runs[i] = append(runs[i], c)
		}
	}
	for i, p := range policies {
		r.shortWaits = append(r.shortWaits, waitDistribution{deployment: d.Name, policy: p.Name, sorted: runs[i][0].Result.ShortWaits})
		key := "traffic." + d.Name + "." + p.Name + "."
		list := runs[i]
		r.Add(key+"short_wait_p50", "ms", collect(list, func(c evaluate.Comparison) float64 { return ms(c.Result.ShortWaitMedian) })...)
		r.Add(key+"short_wait_p99", "ms", collect(list, func(c evaluate.Comparison) float64 { return ms(c.Result.ShortWaitP99) })...)
		r.Add(key+"short_wait_p999", "ms", collect(list, func(c evaluate.Comparison) float64 { return ms(c.Result.ShortWaitP999) })...)
		r.Add(key+"short_wait_p99_without_long", "ms", collect(list, func(c evaluate.Comparison) float64 { return ms(c.WithoutLong.ShortWaitP99) })...)
		r.Add(key+"long_total_mean", "ms", collect(list, func(c evaluate.Comparison) float64 { return ms(c.Result.LongTotalMean) })...)
		r.Add(key+"unanswered", "requests", collect(list, func(c evaluate.Comparison) float64 { return float64(c.Result.Requests - c.Result.Answered) })...)
		if i == 0 {
			continue
		}
		r.AddTarget(key+"short_vs_base", targetShortVsBase, collect(list, func(c evaluate.Comparison) float64 { return c.ShortVsBase })...)
		r.AddTarget(key+"short_vs_without_long", targetShortVsNoLong, collect(list, func(c evaluate.Comparison) float64 { return c.ShortVsNoLong })...)
		r.AddTarget(key+"long_vs_base", targetLongVsBase, collect(list, func(c evaluate.Comparison) float64 { return c.LongVsBase })...)
	}
}

// compareSharings compares the policies for sharing slots among entry hosts, with
// the load on all entry hosts and on one.
func compareSharings(r *Report, d evaluate.Deployment, seeds int) {
	for _, singleEntryHost := range []bool{false, true} {
		load, distribution := evaluate.DefaultLoad(), "all_entry_hosts"
		if singleEntryHost {
			load.SingleEntryHost, distribution = true, "one_entry_host"
		}
		for _, p := range evaluate.SharingPolicies() {
			list := runParallel(seeds, func(seed int) evaluate.Result { return evaluate.Run(d, load, p, uint64(seed+1)) })
			key := "sharing." + d.Name + "." + p.Name + "." + distribution + "."
			r.Add(key+"refusals_per_attempt", "%", collect(list, func(v evaluate.Result) float64 { return 100 * float64(v.Refusals) / float64(max(v.Attempts, 1)) })...)
			r.Add(key+"idle_slots", "%", collect(list, func(v evaluate.Result) float64 { return 100 * (1 - v.SlotsUsed) })...)
		}
	}
}

// runParallel runs simulations in parallel and returns their results in order.
// Their time is simulated, so other load on the machine doesn't change the
// results.
func runParallel[T any](count int, run func(i int) T) []T {
	results := make([]T, count)
	var group errgroup.Group
	group.SetLimit(maxParallelSimulations)
	for i := range count {
		group.Go(func() error {
			results[i] = run(i)
			return nil
		})
	}
	_ = group.Wait()
	return results
}

// collect returns a metric of each element of list.
func collect[T any](list []T, metric func(T) float64) []float64 {
	values := make([]float64, 0, len(list))
	for _, v := range list {
		values = append(values, metric(v))
	}
	return values
}

// ms returns a duration in milliseconds.
func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
