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
	// MaxRequests bounds the requests that are remembered at a time. At about
	// 330 bytes each they take 11 MB at most.
	MaxRequests = 32_768
	// MaxRequestBytes bounds the answers that are remembered at a time.
	MaxResponseTotalBytes = 8 << 20
	// MaxAnswerBytes is the largest answer that is remembered.
	MaxResponseBytes = 64 << 10
	// MaxRequestAhead is the retention cap of 10 minutes and half a minute for
	// the difference of clocks.
	MaxRequestLifetime = 10*time.Minute + 30*time.Second
	// RequestGrace is how long a request is remembered after it expired, so
	// that a late caller is told its outcome.
	RequestGrace = time.Minute
	// MaxRequestIDBytes and MaxDigestBytes bound the memory of one record.
	MaxRequestIDBytes = 128
	MaxDigestBytes    = 64
)

// requestTable is the outcome ledger of requests that must not be repeated.
// Invariants: byID and queue hold the same entries; bytes is the sum of the
// kept answers; a record is replaced and never modified.
type requestTable struct {
	byID  map[string]*requestEntry
	queue requestQueue
	bytes int
	limit int
}

// requestEntry is one remembered request. At due it becomes unknown if it was
// only begun, or is dropped.
type requestEntry struct {
	record RequestRecord
	due    time.Time
	index  int
}

// requestQueue orders entries by the time of their next step.
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

func checkRecord(r RequestRecord) *fault.Error {
	switch {
	case r.ID == "" || len(r.ID) > MaxRequestIDBytes:
		return fault.InvalidField("id", "1 to 128 bytes", "request ID has %d bytes", len(r.ID))
	case len(r.Digest) > MaxDigestBytes:
		return fault.InvalidField("digest", "at most 64 bytes", "digest has %d bytes", len(r.Digest))
	case r.Phase < RequestBegun || r.Phase > RequestUnknown:
		return fault.InvalidField("phase", "begun, finished, did not run, unknown", "phase is %d", r.Phase)
	}
	return nil
}

// begin takes a new request or tells what is known of it.
func (t *requestTable) begin(r RequestRecord, now time.Time) RequestResult {
	if e, ok := t.byID[r.ID]; ok {
		return e.begunBefore(r)
	}
	res := RequestResult{ID: r.ID}
	switch {
	case !r.Expires.After(now):
		res.Err = fault.New(fault.RequestIDExpired, "request ID %s expired at %s, an earlier try may have run", r.ID, r.Expires.Format(time.RFC3339Nano))
	case r.Expires.After(now.Add(MaxRequestLifetime)):
		res.Err = fault.InvalidField("expires", "at most 10 minutes from now", "request ID expires at %s", r.Expires.Format(time.RFC3339Nano))
	case len(t.queue) >= t.limit:
		res.Err = fault.New(fault.Overloaded, "%d requests are remembered already", len(t.queue))
	default:
		t.add(withoutAnswer(r), r.Expires)
	}
	return res
}

// withoutAnswer keeps a begin from bringing an answer along, which would not
// be counted.
func withoutAnswer(r RequestRecord) RequestRecord {
	r.Body, r.Status, r.ContentType, r.AnswerDropped = nil, 0, "", false
	return r
}

func (e *requestEntry) begunBefore(r RequestRecord) RequestResult {
	res := RequestResult{ID: r.ID}
	if !bytes.Equal(e.record.Digest, r.Digest) {
		res.Err = fault.New(fault.RequestIDReused, "request ID %s belongs to another request", r.ID)
		return res
	}
	if e.record.Phase == RequestBegun && r.Token != "" && e.isOwner(r) {
		// The entry host resends its own begin after a lost answer.
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

func (e *requestEntry) isOwner(r RequestRecord) bool {
	return e.record.EntryHost == r.EntryHost && e.record.Token == r.Token
}

// finish records the outcome of a begun request. An unknown outcome may still
// become known; a known outcome never changes.
func (t *requestTable) finish(r RequestRecord, now time.Time) RequestResult {
	e, ok := t.byID[r.ID]
	if !ok {
		return RequestResult{ID: r.ID, Err: missingRequest(r, now)}
	}
	if !bytes.Equal(e.record.Digest, r.Digest) {
		return RequestResult{ID: r.ID, Err: fault.New(fault.RequestIDReused, "request ID %s belongs to another request", r.ID)}
	}
	if !e.isOwner(r) {
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

func missingRequest(r RequestRecord, now time.Time) *fault.Error {
	if !r.Expires.After(now) {
		return fault.New(fault.RequestIDExpired, "request %s expired at %s", r.ID, r.Expires.Format(time.RFC3339Nano))
	}
	return fault.New(fault.NotFound, "request %s was not begun", r.ID)
}

// replace records an outcome. An answer for which there is no room is dropped,
// because the outcome itself must not be refused.
func (t *requestTable) replace(e *requestEntry, r RequestRecord) {
	next := e.record
	next.Phase = r.Phase
	if r.Phase == RequestFinished {
		next.Status, next.ContentType, next.Body, next.AnswerDropped = r.Status, r.ContentType, r.Body, r.AnswerDropped
	}
	if len(next.Body) > MaxResponseBytes || t.bytes+len(next.Body) > MaxResponseTotalBytes {
		next.Body, next.AnswerDropped = nil, true
	}
	t.bytes += len(next.Body) - len(e.record.Body)
	e.record = next
}

func (t *requestTable) add(r RequestRecord, due time.Time) {
	e := &requestEntry{record: r, due: due}
	t.byID[r.ID] = e
	t.bytes += len(r.Body)
	heap.Push(&t.queue, e)
}

func (t *requestTable) remove(e *requestEntry) {
	heap.Remove(&t.queue, e.index)
	delete(t.byID, e.record.ID)
	t.bytes -= len(e.record.Body)
}

// expire turns begun requests into unknown ones when they expire and drops all
// requests a while later.
func (t *requestTable) expire(now time.Time) {
	for len(t.queue) > 0 && !t.queue[0].due.After(now) {
		e := t.queue[0]
		if end := e.record.Expires.Add(RequestGrace); end.After(now) {
			if e.record.Phase == RequestBegun {
				e.record.Phase = RequestUnknown
			}
			e.due = end
			heap.Fix(&t.queue, 0)
			continue
		}
		t.remove(e)
	}
}

func (t *requestTable) dump() []RequestRecord {
	list := make([]RequestRecord, 0, len(t.byID))
	for _, e := range t.byID {
		list = append(list, e.record)
	}
	slices.SortFunc(list, func(a, b RequestRecord) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// restore adds records; expire brings their due times up to date.
func (t *requestTable) restore(list []RequestRecord) {
	for _, r := range list {
		t.add(r, r.Expires)
	}
}
