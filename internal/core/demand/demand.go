// Package demand forecasts how much work arrives at a pool at the time when a host that
// is ordered now is in service.
//
// It answers surges that reach several times the capacity of a pool within about two
// seconds, while a host takes one and a half to arrive. A pool that grows to what arrives
// now is behind throughout the rise, and the jobs of that time are late. So a rise that
// stands out from the random variation of arrivals is extended to the time when the host
// will be there, up to the height of earlier surges. A fall is extended likewise, so that
// no host is ordered for a surge that is ending.
package demand

import (
	"math"
	"slices"
	"time"
)

// Work is an amount of processor, memory and accelerator time, such as hosts times
// milliseconds, or the rate at which it arrives, in hosts.
type Work [3]float64

// AddScaled returns w plus a multiple of other.
func (w Work) AddScaled(other Work, times float64) Work {
	for i := range w {
		w[i] += times * other[i]
	}
	return w
}

// Largest returns the number of hosts that the work fills: the resource of which most is
// needed decides.
func (w Work) Largest() float64 { return slices.Max(w[:]) }

// dominant returns the index of the largest element.
func (w Work) dominant() int {
	best := 0
	for i := range w {
		if w[i] > w[best] {
			best = i
		}
	}
	return best
}

const (
	// Window is the time over which arriving work is counted. It is short compared
	// with the move of a host, so that a pool grows while an increase lasts.
	Window = 600 * time.Millisecond
	// minDeviations is the difference between two windows, in standard deviations of
	// random arrivals, from which it counts as a trend.
	minDeviations = 2
	// maxGrowth bounds the extension of a rise beyond all earlier surges. With 3 or 4 the
	// replay of a surge misses 5 to 7 % fewer hosts, and a variation of a small load orders
	// more hosts than it saves.
	maxGrowth = 2
	// peakMemory is the time after which the height of an earlier surge has lost about
	// two thirds of its weight. Surges of a queue repeat every ten to twenty seconds.
	peakMemory = time.Minute
)

// arrival is work that arrived at one time.
type arrival struct {
	at     time.Time
	tenant string
	work   Work
}

// Arrivals holds the work that arrived at a pool lately. The zero value has none. It is
// not safe for concurrent use.
type Arrivals struct {
	list []arrival
	// since is the time of the first arrival.
	since time.Time
	// peak is the highest rate of the dominant resource, which decays since peakAt.
	peak   float64
	peakAt time.Time
}

// Add records the work of a job that arrived. Tasks that end before a host that is ordered
// now is in service may count less.
func (a *Arrivals) Add(tenant string, work Work, now time.Time) {
	if a.since.IsZero() {
		a.since = now
	}
	a.list = append(a.list, arrival{at: now, tenant: tenant, work: work})
}

// Rate returns the work of the tenants that count which is expected to arrive at the given
// time after now, in hosts.
func (a *Arrivals) Rate(now time.Time, ahead time.Duration, counts func(tenant string) bool) Work {
	recent, previous := a.sums(now, counts)
	rate := Work{}.AddScaled(recent.sum, 1/float64(Window.Milliseconds()))
	d := rate.dominant()
	limit := a.limit(rate[d], now)
	if rate[d] == 0 || now.Sub(a.since) < 2*Window {
		// The callers that waited for a new leader arrive together, which is no trend.
		return rate
	}
	change := recent.sum[d] - previous.sum[d]
	if math.Abs(change) < minDeviations*math.Sqrt(recent.squares[d]+previous.squares[d]) {
		return rate
	}
	// The rate is that of the middle of the window.
	horizon := float64(ahead+Window/2) / float64(Window)
	factor := max(1+change/recent.sum[d]*horizon, 0)
	factor = min(factor, limit/rate[d])
	for i := range rate {
		rate[i] *= factor
	}
	return rate
}

// Present returns the work of the tenants that count which arrives now, in hosts.
func (a *Arrivals) Present(now time.Time, counts func(tenant string) bool) Work {
	recent, _ := a.sums(now, counts)
	return Work{}.AddScaled(recent.sum, 1/float64(Window.Milliseconds()))
}

// windowSum is the work of one window. The sum of squares is the variance of the sum if
// the jobs arrive independently of each other.
type windowSum struct{ sum, squares Work }

// sums returns the work of the last two windows and forgets what is older.
func (a *Arrivals) sums(now time.Time, counts func(tenant string) bool) (recent, previous windowSum) {
	old := 0
	for old < len(a.list) && now.Sub(a.list[old].at) > 2*Window {
		old++
	}
	a.list = a.list[old:]
	for _, r := range a.list {
		if !counts(r.tenant) {
			continue
		}
		w := &recent
		if now.Sub(r.at) > Window {
			w = &previous
		}
		w.sum = w.sum.AddScaled(r.work, 1)
		for i := range r.work {
			w.squares[i] += r.work[i] * r.work[i]
		}
	}
	return recent, previous
}

// limit returns the highest rate to which a rise may be extended, and records the rate.
func (a *Arrivals) limit(rate float64, now time.Time) float64 {
	decayed := a.peak * math.Exp(-float64(now.Sub(a.peakAt))/float64(peakMemory))
	if rate >= decayed {
		a.peak, a.peakAt = rate, now
		return maxGrowth * rate
	}
	return decayed
}
