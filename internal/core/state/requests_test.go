package state

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/fault"
)

// recordRequest applies one request record and returns its result.
func (f *fixture) recordRequest(r RequestRecord) RequestResult {
	return f.do(RecordRequests{Origin: f.origin(), Records: []RequestRecord{r}}).Requests[0]
}

func request(id string, phase RequestPhase, host, token string, expires time.Duration) RequestRecord {
	return RequestRecord{ID: id, Phase: phase, Caller: "showroom", Service: "quotes", EntryHost: host, Token: token, Digest: []byte("d"), Expires: start.Add(expires)}
}

// Guards against a request that runs twice because its begin was not recorded,
// and against a response that is lost.
func TestRequestRunsOnce(t *testing.T) {
	f := newFixture()
	begin := request("r", RequestBegun, "e1", "t1", time.Minute)
	require.Equal(t, RequestResult{ID: "r"}, f.recordRequest(begin))
	require.Equal(t, RequestResult{ID: "r"}, f.recordRequest(begin), "the same attempt may resend its begin")
	other := request("r", RequestBegun, "e2", "t2", time.Minute)
	res := f.recordRequest(other)
	require.Equal(t, fault.InProgress, res.Err.Kind)
	require.Equal(t, "e1", res.Recorded.EntryHost)
	otherDigest := other
	otherDigest.Digest = []byte("x")
	require.Equal(t, fault.RequestIDReused, f.recordRequest(otherDigest).Err.Kind)
	done := request("r", RequestFinished, "e1", "t1", time.Minute)
	done.Status, done.Body = 200, []byte("1.90 m")
	require.Nil(t, f.recordRequest(done).Err)
	res = f.recordRequest(other)
	require.Nil(t, res.Err)
	require.Equal(t, RequestFinished, res.Recorded.Phase)
	require.Equal(t, "1.90 m", string(res.Recorded.Body))
	late := request("r", RequestUnknown, "e1", "t1", time.Minute)
	require.Equal(t, RequestFinished, f.recordRequest(late).Recorded.Phase, "a known outcome stays")
	late.Phase = RequestDidNotRun
	require.Equal(t, RequestFinished, f.recordRequest(late).Recorded.Phase, "a known outcome stays")
}

// Guards against a delayed outcome of an earlier attempt that releases the ID of
// a later attempt or records an outcome for it.
func TestOnlyTheOwnerRecordsTheOutcome(t *testing.T) {
	f := newFixture()
	require.Nil(t, f.recordRequest(request("r", RequestBegun, "e1", "t1", time.Minute)).Err)
	require.Nil(t, f.recordRequest(request("r", RequestDidNotRun, "e1", "t1", time.Minute)).Err)
	require.Nil(t, f.recordRequest(request("r", RequestBegun, "e2", "t2", time.Minute)).Err, "RequestDidNotRun releases the ID")
	require.Equal(t, fault.Fenced, f.recordRequest(request("r", RequestDidNotRun, "e1", "t1", time.Minute)).Err.Kind)
	require.Equal(t, fault.Fenced, f.recordRequest(request("r", RequestDidNotRun, "e2", "t1", time.Minute)).Err.Kind)
	require.Equal(t, fault.InProgress, f.recordRequest(request("r", RequestBegun, "e1", "t3", time.Minute)).Err.Kind)
	require.Equal(t, fault.NotFound, f.recordRequest(request("never", RequestFinished, "e1", "t1", time.Minute)).Err.Kind)
}

// Guards against a request of a crashed entry host that stays in progress
// forever, and against an ID that may run again after its record was dropped.
func TestRequestsExpire(t *testing.T) {
	f := newFixture()
	begin := request("r", RequestBegun, "e1", "t1", time.Minute)
	require.Nil(t, f.recordRequest(begin).Err)
	f.tick(time.Minute)
	other := request("r", RequestBegun, "e2", "t2", time.Minute)
	res := f.recordRequest(other)
	require.Equal(t, fault.OutcomeUnknown, res.Err.Kind)
	require.Equal(t, RequestUnknown, res.Recorded.Phase)
	require.Nil(t, f.recordRequest(request("r", RequestFinished, "e1", "t1", time.Minute)).Err, "an unknown outcome may become known")
	require.Equal(t, RequestFinished, f.recordRequest(other).Recorded.Phase)
	f.tick(RequestGrace)
	require.Equal(t, fault.RequestIDExpired, f.recordRequest(other).Err.Kind)
	require.Equal(t, fault.RequestIDExpired, f.recordRequest(request("r", RequestFinished, "e1", "t1", time.Minute)).Err.Kind)
	require.Empty(t, f.requests.byID)
	require.Empty(t, f.requests.queue)
	require.Zero(t, f.requests.responseBytes)
	f.now = start
	require.Equal(t, fault.RequestIDExpired, f.recordRequest(other).Err.Kind, "the replicated time does not go back with the clock of a leader")
}

// Guards against a request table that grows without bound, in records or in
// bytes, and against an outcome that is refused because the table is full.
func TestRequestTableIsBounded(t *testing.T) {
	f := newFixture()
	f.requests.limit = 2
	for i := range 2 {
		require.Nil(t, f.recordRequest(request(fmt.Sprint(i), RequestBegun, "e", "t", time.Minute)).Err)
	}
	require.Equal(t, fault.Overloaded, f.recordRequest(request("2", RequestBegun, "e", "t", time.Minute)).Err.Kind)
	large := request("0", RequestFinished, "e", "t", time.Minute)
	large.Status, large.Body = 201, make([]byte, MaxResponseBytes+1)
	require.Nil(t, f.recordRequest(large).Err)
	known := f.recordRequest(request("0", RequestBegun, "x", "y", time.Minute)).Recorded
	require.True(t, known.AnswerDropped)
	require.Equal(t, 201, known.Status)
	require.Empty(t, known.Body)
	f.requests.responseBytes = MaxResponseTotalBytes
	small := request("1", RequestFinished, "e", "t", time.Minute)
	small.Body = []byte("x")
	require.Nil(t, f.recordRequest(small).Err)
	require.True(t, f.recordRequest(request("1", RequestBegun, "x", "y", time.Minute)).Recorded.AnswerDropped)
}

// Guards against records with an invalid expiry, ID or phase.
func TestRequestRecordRefusals(t *testing.T) {
	f := newFixture()
	far := request("r", RequestBegun, "e", "t", MaxRequestLifetime+time.Second)
	require.Equal(t, "expires", f.recordRequest(far).Err.Field)
	require.Equal(t, "id", f.recordRequest(request("", RequestBegun, "e", "t", time.Minute)).Err.Field)
	require.Equal(t, "phase", f.recordRequest(request("r", 9, "e", "t", time.Minute)).Err.Field)
	require.Empty(t, f.requests.byID)
}

// Guards against records that expire in the order in which they were begun
// instead of the order of their expiry times.
func TestRequestsExpireInTheirOwnOrder(t *testing.T) {
	f := newFixture()
	for _, seconds := range []int{50, 10, 40, 20, 30} {
		require.Nil(t, f.recordRequest(request(fmt.Sprint(seconds), RequestBegun, "e", "t", time.Duration(seconds)*time.Second)).Err)
	}
	f.tick(25 * time.Second)
	for _, seconds := range []int{10, 20, 30, 40, 50} {
		want := fault.InProgress
		if seconds <= 25 {
			want = fault.OutcomeUnknown
		}
		require.Equal(t, want, f.recordRequest(request(fmt.Sprint(seconds), RequestBegun, "x", "y", time.Duration(seconds)*time.Second)).Err.Kind, seconds)
	}
	f.tick(RequestGrace)
	require.Len(t, f.requests.byID, 3)
}
