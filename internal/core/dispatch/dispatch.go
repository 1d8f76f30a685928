package dispatch

import (
	"time"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/member"
)

// Dispatcher holds the requests in flight of one entry host. The control loop
// owns it.
type Dispatcher struct {
	Directory *member.Directory
	requests  map[uint64]*request
	inFlight  map[string]int
}

type request struct {
	Request
	attempt  int
	endpoint string
}

// New returns a dispatcher without endpoints.
func New() *Dispatcher {
	return &Dispatcher{Directory: member.New(), requests: make(map[uint64]*request), inFlight: make(map[string]int)}
}

// Step takes one event and returns what to do.
func (d *Dispatcher) Step(now time.Time, ev Event) []Effect {
	switch e := ev.(type) {
	case Arrive:
		return d.arrive(now, e.Request)
	case Finished:
		return d.finish(e)
	case Gone:
		delete(d.requests, e.ID)
	case Announced:
		// A refusal of an announcement is the answer to the endpoint, which the
		// shell gets from the directory.
		_, _ = d.Directory.Merge(e.Announcement)
	case Ticked:
		d.Directory.Expire(now)
	}
	return nil
}

func (d *Dispatcher) arrive(now time.Time, r Request) []Effect {
	best, found := d.leastLoaded(now, r.Service)
	if !found {
		return []Effect{Answer{ID: r.ID, Err: fault.New(fault.NoEndpoint, "service %s has no endpoint", r.Service), Ran: fault.RanNo}}
	}
	d.requests[r.ID] = &request{Request: r, attempt: 1, endpoint: best.Endpoint}
	d.inFlight[best.Endpoint]++
	return []Effect{Forward{ID: r.ID, Attempt: 1, Endpoint: best.Endpoint, Address: best.Address, Epoch: best.Epoch, Deadline: r.Deadline}}
}

func (d *Dispatcher) leastLoaded(now time.Time, service string) (member.Announcement, bool) {
	var best member.Announcement
	found := false
	d.Directory.Live(now, func(a member.Announcement) {
		if a.Service == service && (!found || d.inFlight[a.Endpoint] < d.inFlight[best.Endpoint]) {
			best = a
			found = true
		}
	})
	return best, found
}

func (d *Dispatcher) finish(e Finished) []Effect {
	r := d.requests[e.ID]
	if r == nil || r.attempt != e.Attempt {
		return nil
	}
	delete(d.requests, e.ID)
	d.inFlight[r.endpoint]--
	answer := Answer{ID: e.ID, Attempt: e.Attempt, Ran: fault.RanYes}
	switch e.Outcome {
	case AttemptAnswered:
	case AttemptNotSent, AttemptRefused:
		answer.Ran = fault.RanNo
		answer.Err = fault.New(fault.EndpointFailed, "endpoint %s: %s", r.endpoint, e.Detail)
	case AttemptLost, AttemptSilent:
		answer.Ran = fault.RanUnknown
		answer.Err = fault.New(fault.OutcomeUnknown, "endpoint %s: %s", r.endpoint, e.Detail)
	}
	return []Effect{answer}
}
