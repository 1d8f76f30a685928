package dispatch

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"laburnumdock/internal/core/decision"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/outcome"
	"laburnumdock/internal/core/route"
)

// Explain returns where a request would go now and why. It goes the way of a request that
// has arrived, with the same functions, up to its first attempt, and changes nothing.
func (d *Dispatcher) Explain(now time.Time, q Request) (*decision.Explanation, *fault.Error) {
	at := now.Sub(d.base)
	s := d.table.Service(q.Service)
	if s == nil {
		return nil, fault.New(fault.NotFound, "no endpoint of service %q has announced itself here", q.Service)
	}
	deadline := noDeadline
	if !q.Deadline.IsZero() {
		deadline = q.Deadline.Sub(d.base)
	}
	r := &request{Request: q, arrived: at, deadline: deadline, backlog: d.backlogs[s.Name], verdict: outcome.OfAttempt(false, outcome.ReplyNone)}
	if r.backlog == nil {
		r.backlog = d.newBacklog(s)
	}
	d.classify(r)
	opts := route.PickOptions{Long: r.item.Lane.Long()}
	choice := d.table.Explain(s, at, opts)
	x := &decision.Explanation{
		Subject: "request", Name: q.Service, Source: "entry host " + d.cfg.EntryHost, Limits: d.limitsOf(s, r),
		Position: r.backlog.queue.Len() + 1, Waiting: r.backlog.queue.Len() + 1,
		Order: []decision.Value{{Name: "urgent", Value: strconv.FormatBool(q.Urgent)}, {Name: "long", Value: strconv.FormatBool(opts.Long)}},
		Parts: []decision.Part{attemptOf(choice, r.estimate)}, TimesKnown: r.estimate.Known,
	}
	err := d.checkAdmission(at, q, s)
	if err == nil {
		err = d.checkDeadline(at, r, s)
	}
	switch {
	case err != nil:
		x.State, x.Reason = "refused", err.Error()
		x.Parts[0].Chosen, x.Parts[0].State = nil, "refused"
		return x, nil
	case choice.Best != nil:
		x.State = "forwarded"
	default:
		x.State, x.Reason = "waits", x.Parts[0].State
		x.ExpectedStart = decision.MillisOf(d.expectedWait(r, s))
	}
	x.ExpectedEnd = x.ExpectedStart + decision.MillisOf(r.estimate.Median)
	x.EndHigh = x.ExpectedStart + decision.MillisOf(r.estimate.High)
	return x, nil
}

// limitsOf returns the limits that apply to a request.
func (d *Dispatcher) limitsOf(s *route.Service, r *request) []decision.Limit {
	return []decision.Limit{
		{Name: "open requests", Used: strconv.Itoa(len(d.requests)), Value: strconv.Itoa(maxOpenRequests)},
		{Name: "waiting requests of the service", Used: strconv.Itoa(r.backlog.queue.Len()), Value: strconv.Itoa(d.cfg.QueueLimit)},
		{Name: "slots kept for short work", Value: strconv.Itoa(s.Reserve())},
	}
}

// attemptOf returns the first attempt with the endpoints that were considered for it.
func attemptOf(c route.Choice, e route.Estimate) decision.Part {
	part := decision.Part{Name: "attempt 1", State: "waits_for_slot", Median: decision.MillisOf(e.Median), High: decision.MillisOf(e.High)}
	best := 0
	for _, o := range c.Considered {
		if o.Endpoint == c.Best {
			best = o.Score
		}
	}
	for _, o := range c.Considered {
		candidate := decision.Candidate{Name: o.Endpoint.Name, Rack: o.Endpoint.Rack, Zone: o.Endpoint.Zone}
		switch {
		case o.Endpoint == c.Best:
			candidate.Chosen = true
		case o.Exclusion != route.ExclusionNone:
			candidate.Reason = o.Exclusion.String()
		case o.Score == best:
			candidate.Reason = "other_is_better:equal"
		default:
			candidate.Reason = "other_is_better:more_free_slots"
		}
		part.Candidates = append(part.Candidates, candidate)
	}
	slices.SortFunc(part.Candidates, func(a, b decision.Candidate) int { return cmp.Compare(a.Name, b.Name) })
	switch {
	case c.Best != nil:
		part.State, part.Chosen = "forwarded", []string{c.Best.Name}
	case c.LimitsLong:
		part.State = "limit_of_long_work"
	}
	return part
}
