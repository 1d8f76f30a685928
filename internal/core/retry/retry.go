// Package retry decides whether and when another attempt of a request may
// start: by a retry budget and by exponential backoff with jitter.
package retry

import (
	"math/rand/v2"
	"time"
)

const (
	// successesPerToken limits the extra load on endpoints to 10%.
	successesPerToken = 10
	// initialTokens allows one retry before any success; it is the excess over
	// 10% that a start without successes can cause.
	initialTokens = 1
	// maxTokens bounds the retries in one burst of failures.
	maxTokens = 100
	// successesPerRefusalToken and maxRefusalTokens are the same limits for
	// attempts after a refusal.
	successesPerRefusalToken = 2
	maxRefusalTokens         = 20
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts = 4
	// baseDelay is of the order of the run time of short work.
	baseDelay = 5 * time.Millisecond
	maxDelay  = 200 * time.Millisecond
	// maxDoublings keeps the shift from overflowing; the delay reaches maxDelay
	// with fewer.
	maxDoublings = 10
	// halfLife is the time in which unused tokens decay to half.
	halfLife = 10 * time.Second
)

// Budget is a token bucket that successes refill. Invariant: the tokens taken
// for retries after a failure are at most initialTokens plus one tenth of the
// successes.
type Budget struct {
	// tenths counts tenths of a token for retries after a failure.
	tenths int
	// refusalHalves counts halves of a token for attempts after a refusal.
	refusalHalves int
	random        *rand.Rand
	lastDecay     time.Duration
}

// New returns a budget whose jitter is derived from seed.
func New(seed uint64) *Budget {
	return &Budget{tenths: initialTokens * successesPerToken, refusalHalves: successesPerRefusalToken, random: rand.New(rand.NewPCG(seed, 1))}
}

// RecordSuccess adds a tenth of a token for retries after a failure and half a
// token for attempts after a refusal.
func (b *Budget) RecordSuccess() {
	if b.tenths < maxTokens*successesPerToken {
		b.tenths++
	}
	if b.refusalHalves < maxRefusalTokens*successesPerRefusalToken {
		b.refusalHalves++
	}
}

// TakeAfterRefusal takes a token for another attempt after an endpoint refused
// one for lack of slots, and reports whether there was one. A refusal uses no
// slot and proves that nothing ran, so its budget is larger. Successes refill it
// too, so that endpoints that refuse everything cause no further load.
func (b *Budget) TakeAfterRefusal() bool {
	if b.refusalHalves < successesPerRefusalToken {
		return false
	}
	b.refusalHalves -= successesPerRefusalToken
	return true
}

// Decay halves the unused tokens for retries once per half-life, down to
// initialTokens. now is the time since the start of the process.
func (b *Budget) Decay(now time.Duration) {
	if now-b.lastDecay < halfLife {
		return
	}
	b.lastDecay = now
	if b.tenths > initialTokens*successesPerToken {
		b.tenths = max(b.tenths/2, initialTokens*successesPerToken)
	}
}

// Take takes a token for a retry after a failure and reports whether there was
// one.
func (b *Budget) Take() bool {
	if b.tenths < successesPerToken {
		return false
	}
	b.tenths -= successesPerToken
	return true
}

// Delay returns how long to wait before an attempt, numbered from 2: an
// exponential backoff times a random factor from 0.5 to 1.5.
func (b *Budget) Delay(attempt int) time.Duration {
	d := min(baseDelay<<min(max(attempt-2, 0), maxDoublings), maxDelay)
	return d/2 + time.Duration(b.random.Int64N(int64(d)))
}
