package dispatch

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/member"
)

// checker checks a history of events and effects against rules. It shares no code
// with the dispatcher.
type checker struct {
	requests   map[uint64]*checkedRequest
	endpoints  map[string]member.Announcement
	epochs     map[string]uint64
	violations []string
}

// checkedRequest is the state of a request by the events and effects so far.
type checkedRequest struct {
	Request
	answers    int
	gone       bool
	begun      bool
	finished   bool
	knownPhase RecordPhase
	// mayHaveRun is set when an ended attempt may have run; running is the endpoint
	// of the running attempt.
	mayHaveRun bool
	running    string
	forwards   int
}

// answerDeadline returns the time at which the caller stops waiting: the deadline,
// or the expiry of the request ID if that is earlier.
func (r *checkedRequest) answerDeadline() time.Time {
	expiryText, _, _ := strings.Cut(r.RequestID, ".")
	ms, err := strconv.ParseInt(expiryText, 10, 64)
	if expiry := time.UnixMilli(ms); err == nil && expiry.Before(r.Deadline) {
		return expiry
	}
	return r.Deadline
}

func newChecker() *checker {
	return &checker{requests: map[uint64]*checkedRequest{}, endpoints: map[string]member.Announcement{}, epochs: map[string]uint64{}}
}

func (c *checker) report(rule, format string, args ...any) {
	c.violations = append(c.violations, rule+": "+fmt.Sprintf(format, args...))
}

// The rules start each violation, and name what a mutation must violate.
const (
	ruleOneAnswer     = "exactly one answer"
	ruleSingleForward = "forwarded once"
	ruleBeginFirst    = "begin before forward"
	ruleRanNoProof    = "did not run needs proof"
	ruleRecordFirst   = "record before answer"
	ruleRoutable      = "no forward to a leaving, expired or fenced endpoint"
	ruleSlots         = "slots"
)

func (c *checker) observeEvent(ev Event) {
	switch e := ev.(type) {
	case Arrived:
		c.requests[e.Request.ID] = &checkedRequest{Request: e.Request}
	case AttemptFinished:
		r := c.requests[e.ID]
		r.running = ""
		if e.Outcome != AttemptNotSent && e.Outcome != AttemptRefused {
			r.mayHaveRun = true
		}
	case Recorded:
		r := c.requests[e.ID]
		if e.Phase == RecordBegin {
			r.begun = e.Err == nil && e.KnownPhase == 0
			r.knownPhase = e.KnownPhase
		} else {
			r.finished = true
		}
	case CallerGone:
		c.requests[e.ID].gone = true
	case EpochChanged:
		c.epochs[e.Host] = max(c.epochs[e.Host], e.Epoch)
	case Announced:
		a := e.Announcement
		old, ok := c.endpoints[a.Endpoint]
		later := a.Incarnation > old.Incarnation || a.Incarnation == old.Incarnation && a.Sequence > old.Sequence
		if a.Epoch >= c.epochs[a.Host] && (!ok || later) {
			c.endpoints[a.Endpoint] = a
		}
	}
}

func (c *checker) observeEffects(now time.Time, effects []Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case Forward:
			c.checkForward(now, e)
		case Answer:
			c.checkAnswer(now, e)
		}
	}
}

func (c *checker) checkForward(now time.Time, e Forward) {
	r := c.requests[e.ID]
	r.forwards++
	a := c.endpoints[e.Endpoint]
	if a.Leaving || now.Sub(a.AnnouncedAt) >= 3*time.Second || a.Epoch < c.epochs[a.Host] || a.Service != r.Service {
		c.report(ruleRoutable, "request %d forwarded to %s", e.ID, e.Endpoint)
	}
	if r.running != "" {
		c.report(ruleSingleForward, "request %d forwarded while an attempt runs", e.ID)
	}
	if !r.Repeatable && r.mayHaveRun {
		c.report(ruleSingleForward, "request %d forwarded again but may have run", e.ID)
	}
	if !r.Repeatable && !r.begun {
		c.report(ruleBeginFirst, "request %d", e.ID)
	}
	r.running = e.Endpoint
}

func (c *checker) checkAnswer(now time.Time, e Answer) {
	r := c.requests[e.ID]
	r.answers++
	if e.Ran == fault.RanNo && (r.mayHaveRun || r.running != "" || r.knownPhase != 0 && r.knownPhase != RecordDidNotRun) {
		c.report(ruleRanNoProof, "request %d: %v", e.ID, e.Err)
	}
	if e.Err != nil && e.Err.Kind == fault.RequestIDExpired && e.Ran != fault.RanUnknown {
		c.report(ruleRanNoProof, "request %d has an expired ID", e.ID)
	}
	if !r.Repeatable && e.Err == nil && !e.FromRecord && !r.finished && now.Before(r.answerDeadline()) {
		c.report(ruleRecordFirst, "request %d", e.ID)
	}
	if e.FromRecord && r.knownPhase != RecordFinished {
		c.report(ruleRecordFirst, "request %d has no recorded answer", e.ID)
	}
}

// checkSlots compares the slots that the dispatcher reports as used with the
// attempts that run.
func (c *checker) checkSlots(use []EndpointUse) {
	running := map[string]int{}
	for _, r := range c.requests {
		if r.running != "" {
			running[r.running]++
		}
	}
	for _, u := range use {
		if running[u.Endpoint] != u.InUse || u.Long > u.InUse || u.Long < 0 {
			c.report(ruleSlots, "%s: %d attempts run, %+v reported", u.Endpoint, running[u.Endpoint], u)
		}
		if u.InUse > c.endpoints[u.Endpoint].Slots {
			c.report(ruleSlots, "%s: %d attempts run on %d slots", u.Endpoint, u.InUse, c.endpoints[u.Endpoint].Slots)
		}
		delete(running, u.Endpoint)
	}
	for name, n := range running {
		c.report(ruleSlots, "%s: %d attempts run, none reported", name, n)
	}
}

// checkEnd checks the history after all requests have ended.
func (c *checker) checkEnd(open int) {
	for id, r := range c.requests {
		if r.answers > 1 || r.answers == 0 && !r.gone {
			c.report(ruleOneAnswer, "request %d has %d answers", id, r.answers)
		}
	}
	if open != 0 {
		c.report(ruleOneAnswer, "%d requests remain open", open)
	}
}
