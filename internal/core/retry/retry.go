// Package retry decides whether and when a further attempt may start.
package retry

import (
	"math/rand/v2"
	"time"
)

const (
	// shareDivisor sets the retry budget: one token per 10 successes, so that
	// load on endpoints grows by at most 10%.
	shareDivisor = 10
	// initialCredit lets a single early failure be retried; it is the excess
	// over 10% that a start without successes can cause.
	initialCredit = 1
	// maxTokens bounds the extra attempts in one burst of failures.
	maxTokens = 100
	// moveDivisor gives one token for an attempt after a refusal per 2
	// successes, and maxMoves bounds them in one burst.
	moveDivisor = 2
	maxMoves    = 20
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts = 4
	// baseDelay is of the order of short work's run time.
	baseDelay = 5 * time.Millisecond
	maxDelay  = 200 * time.Millisecond
	// maxDoublings keeps the shift from overflowing; maxDelay is reached before.
	maxDoublings = 10
	// halfLife is the meaning of recent: unused tokens halve over it.
	halfLife = 10 * time.Second
)

// Budget is a token bucket fed by successes. Invariant: tokens taken are at
// most initialCredit plus one tenth of the successes. Tenths are in tenths of a
// token.
type Budget struct {
	tenths int
	// moves are the halves of tokens for attempts after a refusal.
	moves  int
	random *rand.Rand
	halved time.Duration
}

// New returns a budget whose jitter comes from seed.
func New(seed uint64) *Budget {
	return &Budget{tenths: initialCredit * shareDivisor, moves: moveDivisor, random: rand.New(rand.NewPCG(seed, 1))}
}

// Succeeded adds a tenth of a token.
func (b *Budget) RecordSuccess() {
	if b.tenths < maxTokens*shareDivisor {
		b.tenths++
	}
	if b.moves < maxMoves*moveDivisor {
		b.moves++
	}
}

// TakeMove takes a token for another attempt after an endpoint refused one for
// lack of slots. Such a refusal takes no slot and proves that nothing ran, so
// that its budget is larger; it is fed by successes too, so that endpoints that
// refuse everything cause no further load.
func (b *Budget) TakeAfterRefusal() bool {
	if b.moves < moveDivisor {
		return false
	}
	b.moves -= moveDivisor
	return true
}

// Age halves unused tokens once per half-life. Now is the time since the
// start of the process.
func (b *Budget) Decay(now time.Duration) {
	if now-b.halved < halfLife {
		return
	}
	b.halved = now
	if b.tenths > initialCredit*shareDivisor {
		b.tenths = max(b.tenths/2, initialCredit*shareDivisor)
	}
}

// Take takes a token, if there is one.
func (b *Budget) Take() bool {
	if b.tenths < shareDivisor {
		return false
	}
	b.tenths -= shareDivisor
	return true
}

// Delay returns how long to wait before the attempt with a number from 2 on:
// exponential with jitter from half to one and a half.
func (b *Budget) Delay(attempt int) time.Duration {
	d := min(baseDelay<<min(max(attempt-2, 0), maxDoublings), maxDelay)
	return d/2 + time.Duration(b.random.Int64N(int64(d)))
}
