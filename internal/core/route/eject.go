package route

import "time"

const (
	// ejectFailures is the number of consecutive failures that eject an endpoint.
	ejectFailures = 5
	// ejectMinSamples and ejectSuccessRate eject an endpoint that fails most
	// attempts but not all: its success rate, once known from enough attempts, is
	// below the limit.
	ejectMinSamples  = 20
	ejectSuccessRate = 0.3
	// ejectDivisor bounds the ejected endpoints to a third of a service.
	ejectDivisor = 3
	// successWeight is the weight of one attempt in the moving average of the
	// success rate.
	successWeight = 0.1
	// probeInitialBackoff and probeMaxBackoff bound the time between probes.
	probeInitialBackoff = time.Second
	probeMaxBackoff     = 30 * time.Second
	// relapseWindow is the time after a restore in which a new ejection continues
	// the backoff instead of starting it again.
	relapseWindow = time.Minute
)

// health tracks the failures and the ejection of one endpoint.
type health struct {
	ejected             bool
	consecutiveFailures int
	samples             int
	successRate         float64
	nextProbe           time.Duration
	backoff             time.Duration
	restoredAt          time.Duration
	lastSuccess         time.Duration
	probing             bool
}

// RecordSuccess records an answered attempt. An answer proves that an ejected
// endpoint works again, so it restores the endpoint.
func (t *Table) RecordSuccess(e *Endpoint, now time.Duration) {
	h := &e.health
	h.consecutiveFailures = 0
	h.lastSuccess = now
	h.samples++
	h.successRate += successWeight * (1 - h.successRate)
	if h.samples == 1 {
		h.successRate = 1
	}
	e.refusals = 0
	if h.ejected {
		t.restore(e, now)
	}
}

// RecordFailure records an attempt that failed by the endpoint's fault, and
// ejects the endpoint if it is failing and the bounds allow it.
func (t *Table) RecordFailure(e *Endpoint, now time.Duration) {
	h := &e.health
	h.consecutiveFailures++
	h.samples++
	if h.samples == 1 {
		h.successRate = 1
	}
	h.successRate -= successWeight * h.successRate
	if h.ejected || e.removed || !h.isFailing() || !e.service.canEject(now) {
		return
	}
	h.ejected = true
	e.service.ejected++
	if h.backoff == 0 || now-h.restoredAt > relapseWindow {
		h.backoff = probeInitialBackoff
	} else {
		h.backoff = min(h.backoff*2, probeMaxBackoff)
	}
	h.probing = false
	h.nextProbe = now + h.jitteredBackoff(e.service)
}

// RecordSuspectedFailure records a failure for an attempt that appears to hang,
// unless the endpoint answered another attempt since this one started. It
// reports whether the failure was recorded.
func (t *Table) RecordSuspectedFailure(e *Endpoint, started, now time.Duration) bool {
	if e.health.lastSuccess >= started {
		return false
	}
	t.RecordFailure(e, now)
	return true
}

func (h *health) isFailing() bool {
	return h.consecutiveFailures >= ejectFailures || h.samples >= ejectMinSamples && h.successRate < ejectSuccessRate
}

// canEject reports whether one more endpoint may be ejected: the declared
// minimum and two thirds of the endpoints must remain.
func (s *Service) canEject(now time.Duration) bool {
	if s.ejected+1 > len(s.endpoints)/ejectDivisor {
		return false
	}
	healthy := 0
	for _, e := range s.endpoints {
		if e.isRoutable(now) {
			healthy++
		}
	}
	return healthy-1 >= s.MinHealthy
}

// jitteredBackoff returns the backoff times a random factor from 1 to 1.5, so
// that entry hosts do not probe at the same time.
func (h *health) jitteredBackoff(s *Service) time.Duration {
	return h.backoff + time.Duration(randomIndex(&s.random, int(h.backoff/2)))
}

// restore ends the ejection of an endpoint on probation: two consecutive
// failures eject it again.
func (t *Table) restore(e *Endpoint, now time.Duration) {
	h := &e.health
	h.ejected = false
	h.probing = false
	h.consecutiveFailures = ejectFailures - 2
	h.samples = 0
	h.successRate = 1
	h.restoredAt = now
	if !e.removed {
		e.service.ejected--
	}
}

// RecordProbe records the outcome of a probe: a success restores the endpoint, a
// failure doubles the backoff.
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
	h.backoff = min(h.backoff*2, probeMaxBackoff)
	h.nextProbe = now + h.jitteredBackoff(e.service)
}

// DueProbes calls yield for every ejected endpoint that is due for a probe. A
// probe without an outcome is repeated after the next backoff. If the declared
// minimum has risen, the endpoints needed to reach it are restored without a
// probe.
func (t *Table) DueProbes(s *Service, now time.Duration, yield func(*Endpoint)) {
	if s.ejected == 0 {
		return
	}
	healthy := 0
	for _, e := range s.endpoints {
		if e.isRoutable(now) {
			healthy++
		}
	}
	for _, e := range s.endpoints {
		h := &e.health
		if !h.ejected {
			continue
		}
		live := e.accepting && now < e.expires
		if live && healthy < s.MinHealthy {
			t.restore(e, now)
			healthy++
			continue
		}
		if live && now >= h.nextProbe {
			if h.probing {
				h.backoff = min(h.backoff*2, probeMaxBackoff)
			}
			h.probing = true
			h.nextProbe = now + h.jitteredBackoff(s)
			yield(e)
		}
	}
}

// Ejected returns the number of ejected endpoints of the service.
func (s *Service) Ejected() int { return s.ejected }

// IsEjected reports whether the endpoint is ejected.
func (e *Endpoint) IsEjected() bool { return e.health.ejected }
