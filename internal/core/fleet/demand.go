package fleet

import (
	"math"
	"time"
)

// Smoothing of the demand and thresholds of moves.
const (
	// DemandTau is the time constant of the mean. A surge of 10 s at the clip
	// moves the mean by 11 % of the clip, and NeedFor outlasts it. At 3 min, a
	// pool whose demand rose to 7 of 8 hosts waited 7 min for help.
	DemandTau = 90 * time.Second
	// LoadBound is the age from which the report of an entry host is dropped.
	LoadBound = 10 * time.Second
	// ClipFactor bounds a sample to this multiple of the pool's slots, so that
	// one long queue does not outweigh minutes of ordinary load.
	ClipFactor = 2.0
)

type loadKey struct{ service, entryHost string }

// serviceDemand is the smoothed demand of one service, in busy slots.
type serviceDemand struct {
	mean  float64
	clip  float64
	since time.Time
	last  time.Time
}

// Demand remembers the load of the services. It belongs to the goroutine that
// plans. It is lost with the leader; a new leader learns it again before it
// moves a host.
type Demand struct {
	loads    map[loadKey]Load
	services map[string]*serviceDemand
	// above and below are since when a pool is in need or has a host too many.
	above, below map[string]time.Time
}

// NewDemand returns an empty memory.
func NewDemand() *Demand {
	return &Demand{
		loads: make(map[loadKey]Load), services: make(map[string]*serviceDemand),
		above: make(map[string]time.Time), below: make(map[string]time.Time),
	}
}

// Observe takes reports and moves the means forward to now.
func (d *Demand) Observe(loads []Load, now time.Time) {
	for _, l := range loads {
		key := loadKey{l.Service, l.EntryHost}
		if !l.Observed.Before(d.loads[key].Observed) {
			d.loads[key] = l
		}
	}
	sums := make(map[string]float64)
	for key, l := range d.loads {
		if now.Sub(l.Observed) > LoadBound {
			delete(d.loads, key)
			continue
		}
		sums[key.service] += float64(l.Queued + l.InFlight)
	}
	for service, sum := range sums {
		d.sample(service, sum, now)
	}
}

func (d *Demand) sample(service string, busy float64, now time.Time) {
	s := d.services[service]
	if s == nil {
		d.services[service] = &serviceDemand{mean: busy, since: now, last: now}
		return
	}
	if s.clip > 0 {
		busy = math.Min(busy, s.clip)
		s.mean = math.Min(s.mean, s.clip)
	}
	elapsed := now.Sub(s.last)
	if elapsed <= 0 {
		return
	}
	// The plain average of what is known comes first, so that a leader that
	// starts within a surge does not take the surge for the mean.
	weight := max(1-math.Exp(-float64(elapsed)/float64(DemandTau)), float64(elapsed)/float64(now.Sub(s.since)))
	s.mean += (busy - s.mean) * weight
	s.last = now
}

// Mean returns the smoothed demand of a service in busy slots.
func (d *Demand) Mean(service string) float64 {
	if s := d.services[service]; s != nil {
		return s.mean
	}
	return 0
}

// known tells whether there is a recent report of the service.
func (d *Demand) known(service string, now time.Time) bool {
	s := d.services[service]
	return s != nil && now.Sub(s.last) <= LoadBound
}

func (d *Demand) setClip(service string, slots float64) {
	if s := d.services[service]; s != nil {
		s.clip = ClipFactor * slots
	}
}

// held tells whether a condition of a pool has held for span.
func held(since map[string]time.Time, pool string, holds bool, now time.Time, span time.Duration) bool {
	if !holds {
		delete(since, pool)
		return false
	}
	first, ok := since[pool]
	if !ok {
		since[pool] = now
		first = now
	}
	return now.Sub(first) >= span
}
