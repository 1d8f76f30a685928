package state

import (
	"bytes"
	"cmp"
	"container/heap"
	"slices"
	"time"

	"laburnumdock/internal/core/fault"
)

// Limits of the request table.
const (
	// MaxRequests is the maximum number of requests in the table. At about 330
	// bytes each, they take at most 11 MB.
	MaxRequests = 32_768
	// MaxResponseTotalBytes is the maximum total size of the response bodies in
	// the table.
	MaxResponseTotalBytes = 8 << 20
	// MaxResponseBytes is the size of the largest response body that is kept.
	MaxResponseBytes = 64 << 10
	// MaxRequestLifetime is the maximum time until a request expires: the
	// retention limit of 10 minutes and half a minute for clock skew.
	MaxRequestLifetime = 10*time.Minute + 30*time.Second
	// RequestGrace is how long a request is kept after it expired, so that a late
	// caller still gets its outcome.
	RequestGrace = time.Minute
	// MaxRequestIDBytes and MaxDigestBytes bound the memory of one record.
	MaxRequestIDBytes = 128
	MaxDigestBytes    = 64
)

// requestTable holds the outcomes of requests that must not be repeated.
// Invariants: byID and queue hold the same entries; responseBytes is the total
// size of the kept response bodies; the slices of a record are never modified.
type requestTable struct {
	byID          map[string]*requestEntry
	queue         requestQueue
	responseBytes int
	limit         int
}

// requestEntry is one request in the table.
type requestEntry struct {
	record RequestRecord
	// due is the time at which the request expires or, if it has expired, is
	// dropped.
	due time.Time
	// index is the position of the entry in the queue.
	index int
}

// requestQueue is a heap of entries ordered by due time. It implements
// heap.Interface.
type requestQueue []*requestEntry

func (q requestQueue) Len() int           { return len(q) }
func (q requestQueue) Less(i, j int) bool { return q[i].due.Before(q[j].due) }

func (q requestQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *requestQueue) Push(x any) {
	e := x.(*requestEntry)
	e.index = len(*q)
	*q = append(*q, e)
}

// Pop implements heap.Interface.
func (q *requestQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return e
}

func newRequestTable() requestTable {
	return requestTable{byID: make(map[string]*requestEntry), limit: MaxRequests}
}

func (s *State) applyRecordRequests(c RecordRequests) Result {
	res := Result{Requests: make([]RequestResult, 0, len(c.Records))}
	for _, r := range c.Records {
		res.Requests = append(res.Requests, s.requests.apply(r, s.now))
	}
	return res
}

// apply records one begin or outcome.
func (t *requestTable) apply(r RequestRecord, now time.Time) RequestResult {
	r.Expires = r.Expires.UTC()
	if err := checkRecord(r); err != nil {
		return RequestResult{ID: r.ID, Err: err}
	}
	if r.Phase == RequestBegun {
		return t.begin(r, now)
	}
	return t.finish(r, now)
}

// checkRecord returns an error for the first invalid field of a record.
func checkRecord(r RequestRecord) *fault.Error {
	switch {
	case r.ID == "" || len(r.ID) > MaxRequestIDBytes:
		return fault.InvalidField("id", "1 to 128 bytes", "request ID has %d bytes", len(r.ID))
	case len(r.Digest) > MaxDigestBytes:
		return fault.InvalidField("digest", "at most 64 bytes", "digest has %d bytes", len(r.Digest))
	case r.Phase < RequestBegun || r.Phase > RequestUnknown:
		return fault.InvalidField("phase", "begun, finished, did not run, unknown", "value is %d", r.Phase)
	}
	return nil
}

// begin adds a new request, or returns what is recorded for its ID.
func (t *requestTable) begin(r RequestRecord, now time.Time) RequestResult {
	if e, ok := t.byID[r.ID]; ok {
		return e.repeatedBegin(r)
	}
	res := RequestResult{ID: r.ID}
	switch {
	case !r.Expires.After(now):
		res.Err = fault.New(fault.RequestIDExpired, "request ID %s expired at %s; an earlier attempt may have run", r.ID, r.Expires.Format(time.RFC3339Nano))
	case r.Expires.After(now.Add(MaxRequestLifetime)):
		res.Err = fault.InvalidField("expires", "at most 10 minutes from now", "request ID expires at %s", r.Expires.Format(time.RFC3339Nano))
	case len(t.queue) >= t.limit:
		res.Err = fault.New(fault.Overloaded, "request table is full with %d requests", len(t.queue))
	default:
		t.add(withoutResponse(r), r.Expires)
	}
	return res
}

// withoutResponse returns r without a response. A response in a begin would not
// be counted in responseBytes.
func withoutResponse(r RequestRecord) RequestRecord {
	r.Body, r.Status, r.ContentType, r.AnswerDropped = nil, 0, "", false
	return r
}

// repeatedBegin returns the result of a begin for an ID that is in the table.
func (e *requestEntry) repeatedBegin(r RequestRecord) RequestResult {
	res := RequestResult{ID: r.ID}
	if !bytes.Equal(e.record.Digest, r.Digest) {
		res.Err = fault.New(fault.RequestIDReused, "request ID %s was already used for another request", r.ID)
		return res
	}
	if e.record.Phase == RequestBegun && r.Token != "" && e.isOwnedBy(r) {
		// The entry host resends its own begin after a lost response.
		return res
	}
	recorded := e.record
	res.Recorded = &recorded
	if recorded.Phase == RequestBegun {
		res.Err = fault.New(fault.InProgress, "request %s is in progress on entry host %s", r.ID, recorded.EntryHost)
	}
	if recorded.Phase == RequestUnknown {
		res.Err = fault.New(fault.OutcomeUnknown, "entry host %s did not report the outcome of request %s", recorded.EntryHost, r.ID)
	}
	return res
}

// isOwnedBy reports whether r comes from the attempt that began the request.
func (e *requestEntry) isOwnedBy(r RequestRecord) bool {
	return e.record.EntryHost == r.EntryHost && e.record.Token == r.Token
}

// finish records the outcome of a request that was begun. An unknown outcome may
// still become known; a known outcome never changes.
func (t *requestTable) finish(r RequestRecord, now time.Time) RequestResult {
	e, ok := t.byID[r.ID]
	if !ok {
		return RequestResult{ID: r.ID, Err: missingRequestError(r, now)}
	}
	if !bytes.Equal(e.record.Digest, r.Digest) {
		return RequestResult{ID: r.ID, Err: fault.New(fault.RequestIDReused, "request ID %s was already used for another request", r.ID)}
	}
	if !e.isOwnedBy(r) {
		return RequestResult{ID: r.ID, Err: fault.New(fault.Fenced, "request %s was begun by another attempt", r.ID)}
	}
	if e.record.Phase == RequestFinished {
		recorded := e.record
		return RequestResult{ID: r.ID, Recorded: &recorded}
	}
	if r.Phase == RequestDidNotRun {
		t.remove(e)
		return RequestResult{ID: r.ID}
	}
	t.replace(e, r)
	return RequestResult{ID: r.ID}
}

// missingRequestError returns the error for an outcome whose request is not in
// the table.
func missingRequestError(r RequestRecord, now time.Time) *fault.Error {
	if !r.Expires.After(now) {
		return fault.New(fault.RequestIDExpired, "request %s expired at %s", r.ID, r.Expires.Format(time.RFC3339Nano))
	}
	return fault.New(fault.NotFound, "request %s was not begun", r.ID)
}

// replace records an outcome. A response body that exceeds the limits is
// dropped, because the outcome itself must not be refused.
func (t *requestTable) replace(e *requestEntry, r RequestRecord) {
	next := e.record
	next.Phase = r.Phase
	if r.Phase == RequestFinished {
		next.Status, next.ContentType, next.Body, next.AnswerDropped = r.Status, r.ContentType, r.Body, r.AnswerDropped
	}
	if len(next.Body) > MaxResponseBytes || t.responseBytes+len(next.Body) > MaxResponseTotalBytes {
		next.Body, next.AnswerDropped = nil, true
	}
	t.responseBytes += len(next.Body) - len(e.record.Body)
	e.record = next
}

func (t *requestTable) add(r RequestRecord, due time.Time) {
	e := &requestEntry{record: r, due: due}
	t.byID[r.ID] = e
	t.responseBytes += len(r.Body)
	heap.Push(&t.queue, e)
}

func (t *requestTable) remove(e *requestEntry) {
	heap.Remove(&t.queue, e.index)
	delete(t.byID, e.record.ID)
	t.responseBytes -= len(e.record.Body)
}

// expire sets the phase of begun requests to RequestUnknown when they expire,
// and drops every request RequestGrace after its expiry.
func (t *requestTable) expire(now time.Time) {
	for len(t.queue) > 0 && !t.queue[0].due.After(now) {
		e := t.queue[0]
		if dropAt := e.record.Expires.Add(RequestGrace); dropAt.After(now) {
			if e.record.Phase == RequestBegun {
				e.record.Phase = RequestUnknown
			}
			e.due = dropAt
			heap.Fix(&t.queue, 0)
			continue
		}
		t.remove(e)
	}
}

// dump returns the records, ordered by ID.
func (t *requestTable) dump() []RequestRecord {
	list := make([]RequestRecord, 0, len(t.byID))
	for _, e := range t.byID {
		list = append(list, e.record)
	}
	slices.SortFunc(list, func(a, b RequestRecord) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// restore adds the records to an empty table. The next call of expire corrects
// their due times.
func (t *requestTable) restore(list []RequestRecord) {
	for _, r := range list {
		t.add(r, r.Expires)
	}
}
