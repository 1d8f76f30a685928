package demand

import "time"

// This file learns the surges of a pool. It answers queues that surge by turns: for some
// seconds a queue demands four to five times its mean, again and again after the same time.
// A host takes 1.5 s to move, so a pool that grows with the demand is too small for the first
// two seconds of each surge, in which most of its jobs become late. The pool grows ahead
// of a surge instead, to the height that the demand had one period ago.

const (
	// patternInterval is the length of a sample of the demand, and patternSamples their
	// number. The longest period that can be seen is half of the time of all samples.
	patternInterval = 250 * time.Millisecond
	patternSamples  = 400
	// minPeriod is the shortest period that is worth a move there and back, in samples, and
	// minSamples the number from which on periods are looked for: two of 5 s.
	minPeriod  = 16
	minSamples = 40
	// searchInterval is the number of samples between two searches for the period.
	searchInterval = 4
	// minCorrelation is the correlation of the demand with itself one period earlier from
	// which on the pattern is used. Independent arrivals stay below it.
	minCorrelation = 0.6
)

// Pattern holds the demand of a pool over time, in hosts, and its period. The zero
// value has no samples.
type Pattern struct {
	samples []float64
	// sum and count are of the sample that is not complete, which began at began.
	sum   float64
	count int
	began time.Time
	// period is the period in samples, or 0 if none was found. added counts the samples
	// since the last search.
	period, added int
}

// Record adds a reading of the demand.
func (d *Pattern) Record(demand float64, now time.Time) {
	if d.count == 0 && len(d.samples) == 0 {
		d.began = now
	}
	for now.Sub(d.began) >= patternInterval {
		mean := demand
		if d.count > 0 {
			mean = d.sum / float64(d.count)
		}
		d.add(mean)
		d.sum, d.count, d.began = 0, 0, d.began.Add(patternInterval)
	}
	d.sum, d.count = d.sum+demand, d.count+1
}

func (d *Pattern) add(sample float64) {
	if len(d.samples) == patternSamples {
		copy(d.samples, d.samples[1:])
		d.samples = d.samples[:patternSamples-1]
	}
	d.samples = append(d.samples, sample)
	if d.added++; d.added >= searchInterval && len(d.samples) >= minSamples {
		d.added = 0
		d.period = d.findPeriod()
	}
}

// findPeriod returns the lag with the highest correlation, or 0 if none is high enough.
// Multiples of a period have correlations as high as the period, so a shorter lag is
// preferred if its correlation is nearly as high.
func (d *Pattern) findPeriod() int {
	const nearly = 0.95
	mean, n := 0.0, len(d.samples)
	for _, x := range d.samples {
		mean += x / float64(n)
	}
	best, highest := 0, minCorrelation
	for lag := n / 2; lag >= minPeriod; lag-- {
		if c := d.correlation(lag, mean); c >= nearly*highest && c >= minCorrelation {
			best, highest = lag, max(highest, c)
		}
	}
	return best
}

// correlation returns the correlation of the samples with those a lag earlier.
func (d *Pattern) correlation(lag int, mean float64) float64 {
	var product, earlier, later float64
	for i := lag; i < len(d.samples); i++ {
		a, b := d.samples[i-lag]-mean, d.samples[i]-mean
		product, earlier, later = product+a*b, earlier+a*a, later+b*b
	}
	if earlier <= 0 || later <= 0 {
		return 0
	}
	return product / max(earlier, later)
}

// Expected returns the demand that is to be expected after some time, or 0 if no period is
// known. It is the mean of the demands at that time in the last two periods.
func (d *Pattern) Expected(after time.Duration) float64 {
	if d.period == 0 {
		return 0
	}
	sum, count := 0.0, 0
	for periods := 1; periods <= 2; periods++ {
		// The next sample to be complete has the index len(samples).
		at := len(d.samples) + int(after/patternInterval) - periods*d.period
		if at >= 0 && at < len(d.samples) {
			sum, count = sum+d.samples[at], count+1
		}
	}
	if count == 0 {
		return 0
	}
	return sum / float64(count)
}
