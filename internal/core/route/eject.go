package route

import "time"

const (
	// ejectAfter is the number of consecutive failures that eject.
	ejectAfter = 5
	// ejectSamples and ejectRate eject an endpoint that fails most but not all.
	ejectSamples = 20
	ejectRate    = 0.3
	// ejectShare bounds the ejected endpoints to a third of a service.
	ejectShare = 3
	// successWeight is the weight of one attempt in the success rate.
	successWeight = 0.1
	// probeFirst and probeMax bound the backoff between probes.
	probeFirst = time.Second
	probeMax   = 30 * time.Second
	// relapse is the time after a return in which the backoff continues.
	relapse = time.Minute
)

// health is the record of failures of one endpoint.
type health struct {
	ejected     bool
	consecutive int
	samples     int
	rate        float64
	probeAt     time.Duration
	backoff     time.Duration
	restored    time.Duration
	lastGood    time.Duration
	probing     bool
}

// Succeeded notes an answered attempt. An answer proves that an ejected
// endpoint works again.
func (t *Table) RecordSuccess(e *Endpoint, now time.Duration) {
	h := &e.health
	h.consecutive = 0
	h.lastGood = now
	h.samples++
	h.rate += successWeight * (1 - h.rate)
	if h.samples == 1 {
		h.rate = 1
	}
	e.refusals = 0
	if h.ejected {
		t.restore(e, now)
	}
}

// Failed notes an attempt that failed by the endpoint's fault, and ejects it
// if it fails everything and the bounds allow it.
func (t *Table) RecordFailure(e *Endpoint, now time.Duration) {
	h := &e.health
	h.consecutive++
	h.samples++
	if h.samples == 1 {
		h.rate = 1
	}
	h.rate -= successWeight * h.rate
	if h.ejected || e.gone || !h.bad() || !e.service.mayEject(now) {
		return
	}
	h.ejected = true
	e.service.ejected++
	if h.backoff == 0 || now-h.restored > relapse {
		h.backoff = probeFirst
	} else {
		h.backoff = min(h.backoff*2, probeMax)
	}
	h.probing = false
	h.probeAt = now + h.jittered(e.service)
}

// Suspect notes that an endpoint may have failed an attempt that is still
// running. It counts once, and not if the endpoint answered since the start.
func (t *Table) RecordSuspectedFailure(e *Endpoint, started, now time.Duration) bool {
	if e.health.lastGood >= started {
		return false
	}
	t.RecordFailure(e, now)
	return true
}

func (h *health) bad() bool {
	return h.consecutive >= ejectAfter || h.samples >= ejectSamples && h.rate < ejectRate
}

// mayEject tells whether one more endpoint may be ejected: the declared
// minimum and two thirds of the endpoints stay.
func (s *Service) mayEject(now time.Duration) bool {
	if s.ejected+1 > len(s.endpoints)/ejectShare {
		return false
	}
	healthy := 0
	for _, e := range s.endpoints {
		if e.routable(now) {
			healthy++
		}
	}
	return healthy-1 >= s.MinHealthy
}

// jittered is the backoff times a random factor from 1 to 1.5, so that entry
// hosts do not probe together.
func (h *health) jittered(s *Service) time.Duration {
	return h.backoff + time.Duration(s.randomIndex(int(h.backoff/2)))
}

// restore brings an endpoint back on probation: it is ejected again after two
// failures.
func (t *Table) restore(e *Endpoint, now time.Duration) {
	h := &e.health
	h.ejected = false
	h.probing = false
	h.consecutive = ejectAfter - 2
	h.samples = 0
	h.rate = 1
	h.restored = now
	if !e.gone {
		e.service.ejected--
	}
}

// Probed takes the outcome of a probe.
func (t *Table) RecordProbe(name string, ok bool, now time.Duration) {
	e := t.endpoints[name]
	if e == nil || !e.health.ejected {
		return
	}
	if ok {
		t.restore(e, now)
		return
	}
	h := &e.health
	h.probing = false
	h.backoff = min(h.backoff*2, probeMax)
	h.probeAt = now + h.jittered(e.service)
}

// Probes calls yield for every ejected endpoint that is due for a probe. A
// probe without an outcome is repeated after the next backoff. If a declared
// minimum has risen, endpoints that it needs are restored without a probe.
func (t *Table) DueProbes(s *Service, now time.Duration, yield func(*Endpoint)) {
	if s.ejected == 0 {
		return
	}
	healthy := 0
	for _, e := range s.endpoints {
		if e.routable(now) {
			healthy++
		}
	}
	for _, e := range s.endpoints {
		h := &e.health
		if !h.ejected {
			continue
		}
		live := e.usable && now < e.expires
		if live && healthy < s.MinHealthy {
			t.restore(e, now)
			healthy++
			continue
		}
		if live && now >= h.probeAt {
			if h.probing {
				h.backoff = min(h.backoff*2, probeMax)
			}
			h.probing = true
			h.probeAt = now + h.jittered(s)
			yield(e)
		}
	}
}

// Ejected is the number of ejected endpoints of the service.
func (s *Service) Ejected() int { return s.ejected }

// IsEjected tells whether the endpoint is ejected.
func (e *Endpoint) IsEjected() bool { return e.health.ejected }
