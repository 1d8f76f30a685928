package dispatch

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/member"
)

// checker judges a history of events and effects by rules that it computes on
// its own. It shares no code with the dispatcher.
type checker struct {
	seen      map[uint64]*seenRequest
	endpoints map[string]member.Announcement
	epochs    map[string]uint64
	faults    []string
}

type seenRequest struct {
	Request
	answers  int
	gone     bool
	begun    bool
	finished bool
	known    RecordPhase
	// doubt is set when an attempt may have run; running holds the endpoint of
	// the attempt in progress.
	doubt    bool
	running  string
	forwards int
}

// until is when the caller stops waiting: the deadline, or the expiry of the
// request ID if that is earlier.
func (r *seenRequest) until() time.Time {
	head, _, _ := strings.Cut(r.RequestID, ".")
	ms, err := strconv.ParseInt(head, 10, 64)
	if expiry := time.UnixMilli(ms); err == nil && expiry.Before(r.Deadline) {
		return expiry
	}
	return r.Deadline
}

func newChecker() *checker {
	return &checker{seen: map[uint64]*seenRequest{}, endpoints: map[string]member.Announcement{}, epochs: map[string]uint64{}}
}

func (c *checker) fail(rule, format string, args ...any) {
	c.faults = append(c.faults, rule+": "+fmt.Sprintf(format, args...))
}

// The rules, by the names that the broken variants are expected to violate.
const (
	ruleOneAnswer = "exactly one answer"
	ruleOnce      = "forwarded once"
	ruleBegin     = "begin before forward"
	ruleRan       = "ran no needs proof"
	ruleRecord    = "record before answer"
	ruleRoutable  = "no forward to leaving, expired or fenced"
	ruleSlots     = "slots"
)

func (c *checker) event(ev Event) {
	switch e := ev.(type) {
	case Arrived:
		c.seen[e.Request.ID] = &seenRequest{Request: e.Request}
	case AttemptFinished:
		r := c.seen[e.ID]
		r.running = ""
		if e.Outcome != AttemptNotSent && e.Outcome != AttemptRefused {
			r.doubt = true
		}
	case Recorded:
		r := c.seen[e.ID]
		if e.Phase == RecordBegin {
			r.begun = e.Err == nil && e.KnownPhase == 0
			r.known = e.KnownPhase
		} else {
			r.finished = true
		}
	case CallerGone:
		c.seen[e.ID].gone = true
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

func (c *checker) effects(now time.Time, effects []Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case Forward:
			c.forward(now, e)
		case Answer:
			c.answer(now, e)
		}
	}
}

func (c *checker) forward(now time.Time, e Forward) {
	r := c.seen[e.ID]
	r.forwards++
	a := c.endpoints[e.Endpoint]
	if a.Leaving || now.Sub(a.AnnouncedAt) >= 3*time.Second || a.Epoch < c.epochs[a.Host] || a.Service != r.Service {
		c.fail(ruleRoutable, "request %d to %s", e.ID, e.Endpoint)
	}
	if r.running != "" {
		c.fail(ruleOnce, "request %d while an attempt runs", e.ID)
	}
	if !r.Repeatable && r.doubt {
		c.fail(ruleOnce, "request %d may have run", e.ID)
	}
	if !r.Repeatable && !r.begun {
		c.fail(ruleBegin, "request %d", e.ID)
	}
	r.running = e.Endpoint
}

func (c *checker) answer(now time.Time, e Answer) {
	r := c.seen[e.ID]
	r.answers++
	if e.Ran == fault.RanNo && (r.doubt || r.running != "" || r.known != 0 && r.known != RecordDidNotRun) {
		c.fail(ruleRan, "request %d: %v", e.ID, e.Err)
	}
	if e.Err != nil && e.Err.Kind == fault.RequestIDExpired && e.Ran != fault.RanUnknown {
		c.fail(ruleRan, "request %d: expired ID", e.ID)
	}
	if !r.Repeatable && e.Err == nil && !e.FromRecord && !r.finished && now.Before(r.until()) {
		c.fail(ruleRecord, "request %d", e.ID)
	}
	if e.FromRecord && r.known != RecordFinished {
		c.fail(ruleRecord, "request %d has no recorded answer", e.ID)
	}
}

// slots compares the use that the dispatcher reports with the attempts that
// really run.
func (c *checker) slots(use []EndpointUse) {
	running := map[string]int{}
	for _, r := range c.seen {
		if r.running != "" {
			running[r.running]++
		}
	}
	for _, u := range use {
		if running[u.Endpoint] != u.InUse || u.Long > u.InUse || u.Long < 0 {
			c.fail(ruleSlots, "%s: %d attempts run, %+v reported", u.Endpoint, running[u.Endpoint], u)
		}
		if u.InUse > c.endpoints[u.Endpoint].Slots {
			c.fail(ruleSlots, "%s: %d attempts run on %d slots", u.Endpoint, u.InUse, c.endpoints[u.Endpoint].Slots)
		}
		delete(running, u.Endpoint)
	}
	for name, n := range running {
		c.fail(ruleSlots, "%s: %d attempts run, none reported", name, n)
	}
}

// end judges the history when everything has ended.
func (c *checker) end(open int) {
	for id, r := range c.seen {
		if r.answers > 1 || r.answers == 0 && !r.gone {
			c.fail(ruleOneAnswer, "request %d has %d", id, r.answers)
		}
	}
	if open != 0 {
		c.fail(ruleOneAnswer, "%d requests stay open", open)
	}
}
