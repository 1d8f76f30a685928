package fleet

import (
	"math"
	"time"
)

// Parameters of the smoothing of the demand.
const (
	// DemandTau is the time constant of the exponential mean. A surge of 10 s at
	// the clip value moves the mean by 11 % of that value and is shorter than
	// NeedFor. With 3 min, a pool whose demand rose to 7 of 8 hosts got an
	// additional host only after 7 min.
	DemandTau = 90 * time.Second
	// MaxLoadAge is the maximum age of a load report; an older one is dropped.
	MaxLoadAge = 10 * time.Second
	// ClipFactor clips a sample to this multiple of the pool's slots, so that one
	// long queue does not outweigh minutes of ordinary load.
	ClipFactor = 2.0
)

type loadKey struct{ service, entryHost string }

// serviceDemand is the smoothed demand of one service, in busy slots.
type serviceDemand struct {
	mean float64
	// clip is the maximum of a sample and of the mean; 0 means none.
	clip float64
	// since is the time of the first sample, last that of the newest.
	since time.Time
	last  time.Time
}

// Demand is the smoothed demand of the services. It is owned by the planning
// goroutine and is not safe for concurrent use. It is not replicated; a new leader
// collects it again before it moves a host.
type Demand struct {
	// loads has the newest report of each service and entry host.
	loads    map[loadKey]Load
	services map[string]*serviceDemand
	// needSince is since when a pool needs another host, surplusSince since when it
	// has one too many, by pool name.
	needSince, surplusSince map[string]time.Time
}

// NewDemand returns a demand without samples.
func NewDemand() *Demand {
	return &Demand{
		loads: make(map[loadKey]Load), services: make(map[string]*serviceDemand),
		needSince: make(map[string]time.Time), surplusSince: make(map[string]time.Time),
	}
}

// Observe adds load reports and updates the means to now.
func (d *Demand) Observe(loads []Load, now time.Time) {
	for _, l := range loads {
		key := loadKey{l.Service, l.EntryHost}
		if !l.Observed.Before(d.loads[key].Observed) {
			d.loads[key] = l
		}
	}
	sums := make(map[string]float64)
	for key, l := range d.loads {
		if now.Sub(l.Observed) > MaxLoadAge {
			delete(d.loads, key)
			continue
		}
		sums[key.service] += float64(l.Queued + l.InFlight)
	}
	for service, sum := range sums {
		d.addSample(service, sum, now)
	}
}

// addSample updates the mean of a service with its number of busy slots.
func (d *Demand) addSample(service string, busy float64, now time.Time) {
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
	// The first samples get the weight of an arithmetic mean, so that a leader that
	// starts during a surge does not take the surge for the mean.
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

// isKnown reports whether there is a recent load report of the service.
func (d *Demand) isKnown(service string, now time.Time) bool {
	s := d.services[service]
	return s != nil && now.Sub(s.last) <= MaxLoadAge
}

// setClip clips the samples of a service to ClipFactor times the slots of its pool.
func (d *Demand) setClip(service string, slots float64) {
	if s := d.services[service]; s != nil {
		s.clip = ClipFactor * slots
	}
}

// hasLasted reports whether a condition of a pool has held for span. It keeps in since
// when the condition began to hold.
func hasLasted(since map[string]time.Time, pool string, holds bool, now time.Time, span time.Duration) bool {
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
