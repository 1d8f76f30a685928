// Package decision holds the form in which the parts of the system explain where a job or a
// request would go now, and why. It has no text for people; cli prints it.
package decision

import "time"

// Explanation says what would be done now with a job or a request.
type Explanation struct {
	// Subject is "job" or "request", and Name the ID of the job or the name of the service.
	Subject string `json:"subject"`
	Name    string `json:"name"`
	// Source is the part of the system that decides.
	Source string `json:"source"`
	// IsKnown is set if the job exists; otherwise it is one that was only described.
	IsKnown bool   `json:"isKnown"`
	Queue   string `json:"queue,omitempty"`
	Pool    string `json:"pool,omitempty"`
	Tenant  string `json:"tenant,omitempty"`
	// State is what happens now, such as "starts", "waits" or "refused", and Reason why.
	State  string  `json:"state"`
	Reason string  `json:"reason,omitempty"`
	Limits []Limit `json:"limits,omitempty"`
	// Position is the place in the order of start, from 1, among Waiting, or 0.
	Position int `json:"position,omitempty"`
	Waiting  int `json:"waiting,omitempty"`
	// Order are the values by which the place follows, the most important first.
	Order []Value `json:"order,omitempty"`
	Parts []Part  `json:"parts"`
	// The expected times count from now. EndHigh is exceeded in one of ten cases. Known is
	// false if they rest on estimates alone.
	ExpectedStart Millis `json:"expectedStartMs"`
	ExpectedEnd   Millis `json:"expectedEndMs"`
	EndHigh       Millis `json:"endHighMs"`
	TimesKnown    bool   `json:"timesKnown"`
}

// Millis is a duration in milliseconds.
type Millis int64

// MillisOf returns a duration in milliseconds.
func MillisOf(d time.Duration) Millis { return Millis(d.Milliseconds()) }

// Limit is a limit that applies.
type Limit struct {
	Name string `json:"name"`
	// Used is what counts against the limit now, where that is known.
	Used  string `json:"used,omitempty"`
	Value string `json:"value"`
}

// Value is a named value.
type Value struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Part is a step of a job, or the attempt of a request.
type Part struct {
	Name  string `json:"name"`
	State string `json:"state"`
	// Tasks is the number of tasks that wait, and Chosen are the executors or endpoints on
	// which tasks would start now.
	Tasks  int      `json:"tasks,omitempty"`
	Chosen []string `json:"chosen,omitempty"`
	// Median and High are the expected time of the part.
	Median Millis `json:"medianMs"`
	High   Millis `json:"highMs"`
	// Candidates are all that were considered for one task of the part.
	Candidates []Candidate `json:"candidates,omitempty"`
}

// Candidate is an executor, a host or an endpoint that was considered.
type Candidate struct {
	Name   string `json:"name"`
	Host   string `json:"host,omitempty"`
	Rack   string `json:"rack,omitempty"`
	Zone   string `json:"zone,omitempty"`
	Chosen bool   `json:"chosen"`
	// Reason is why it was not chosen.
	Reason string `json:"reason,omitempty"`
}
