package evaluate

import (
	"fmt"
	"testing"
)

// report publishes a comparison as metrics of a benchmark.
func report(b *testing.B, c Comparison) {
	b.ReportMetric(c.Result.ShortWaitP99.Seconds()*1000, "short-p99-ms")
	b.ReportMetric(c.Result.LongTotalMean.Seconds()*1000, "long-mean-ms")
	b.ReportMetric(c.ShortVsBase, "short/base")
	b.ReportMetric(c.ShortVsNoLong, "short/no-long")
	b.ReportMetric(c.LongVsBase, "long/base")
	b.ReportMetric(float64(c.Result.Refusals)/float64(c.Result.Attempts), "refusals/attempt")
	b.ReportMetric(c.Result.SlotsUsed, "slots-used")
	b.ReportMetric(float64(c.Result.Requests-c.Result.Answered), "unanswered")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkPlacement compares the placements for both users and three seeds.
func BenchmarkPlacement(b *testing.B) {
	for _, d := range Deployments() {
		for seed := uint64(1); seed <= 3; seed++ {
			for i, c := range Compare(d, DefaultLoad(), PlacementPolicies(), seed) {
				b.Run(fmt.Sprintf("%s/%s/seed=%d", d.Name, PlacementPolicies()[i].Name, seed), func(b *testing.B) { report(b, c) })
			}
		}
	}
}

// BenchmarkSharing compares the ways to share slots, with the load on all
// entry hosts and on one.
func BenchmarkSharing(b *testing.B) {
	for _, d := range Deployments() {
		for _, one := range []bool{false, true} {
			l := DefaultLoad()
			l.SingleEntryHost = one
			for _, p := range SharingPolicies() {
				c := Comparison{Result: Run(d, l, p, 1)}
				b.Run(fmt.Sprintf("%s/%s/onehost=%v", d.Name, p.Name, one), func(b *testing.B) { report(b, c) })
			}
		}
	}
}

// BenchmarkSensitivity varies how much long work can be told beforehand, how
// much more than the pool holds arrives, and the slack for short work.
func BenchmarkSensitivity(b *testing.B) {
	for _, d := range Deployments() {
		show := func(name string, l Load, p Policy) {
			c := Compare(d, l, []Policy{PlacementPolicies()[0], p}, 1)[1]
			b.Run(d.Name+"/"+name, func(b *testing.B) { report(b, c) })
		}
		chosen := PlacementPolicies()[2]
		for _, known := range []float64{0, 0.5, 1} {
			l := DefaultLoad()
			l.KnownLongShare = known
			show(fmt.Sprintf("known=%.1f", known), l, chosen)
		}
		for _, surge := range []float64{1.05, 1.5, 2} {
			l := DefaultLoad()
			l.SurgeLoad = surge
			show(fmt.Sprintf("surge=%.2f", surge), l, chosen)
		}
		silent := chosen
		silent.IgnoreReportedSlots = true
		show("no-statement", DefaultLoad(), silent)
		for _, slack := range []float64{0.01, 1, 2.2, 3} {
			p := chosen
			p.Slack = slack
			show(fmt.Sprintf("slack=%.1f", slack), DefaultLoad(), p)
		}
	}
}
