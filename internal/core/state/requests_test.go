package state

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/fault"
)

func (b *bench) record1(r RequestRecord) RequestResult {
	return b.do(RecordRequests{Origin: b.origin(), Records: []RequestRecord{r}}).Requests[0]
}

func request(id string, phase RequestPhase, host, token string, expires time.Duration) RequestRecord {
	return RequestRecord{ID: id, Phase: phase, Caller: "showroom", Service: "quotes", EntryHost: host, Token: token, Digest: []byte("d"), Expires: start.Add(expires)}
}

// Guards against a request that runs twice because its begin was forgotten, and
// against an answer that gets lost.
func TestRequestRunsOnce(t *testing.T) {
	b := newBench()
	begin := request("r", RequestBegun, "e1", "t1", time.Minute)
	require.Equal(t, RequestResult{ID: "r"}, b.record1(begin))
	require.Equal(t, RequestResult{ID: "r"}, b.record1(begin), "the same attempt resends its begin")
	other := request("r", RequestBegun, "e2", "t2", time.Minute)
	res := b.record1(other)
	require.Equal(t, fault.InProgress, res.Err.Kind)
	require.Equal(t, "e1", res.Recorded.EntryHost)
	foreign := other
	foreign.Digest = []byte("x")
	require.Equal(t, fault.RequestIDReused, b.record1(foreign).Err.Kind)
	done := request("r", RequestFinished, "e1", "t1", time.Minute)
	done.Status, done.Body = 200, []byte("1.90 m")
	require.Nil(t, b.record1(done).Err)
	res = b.record1(other)
	require.Nil(t, res.Err)
	require.Equal(t, RequestFinished, res.Recorded.Phase)
	require.Equal(t, "1.90 m", string(res.Recorded.Body))
	late := request("r", RequestUnknown, "e1", "t1", time.Minute)
	require.Equal(t, RequestFinished, b.record1(late).Recorded.Phase, "a known outcome stays")
	late.Phase = RequestDidNotRun
	require.Equal(t, RequestFinished, b.record1(late).Recorded.Phase, "a known outcome stays")
}

// Guards against a delayed outcome of an earlier attempt that frees or answers
// the ID of a later one.
func TestOnlyTheOwnerRecordsTheOutcome(t *testing.T) {
	b := newBench()
	require.Nil(t, b.record1(request("r", RequestBegun, "e1", "t1", time.Minute)).Err)
	require.Nil(t, b.record1(request("r", RequestDidNotRun, "e1", "t1", time.Minute)).Err)
	require.Nil(t, b.record1(request("r", RequestBegun, "e2", "t2", time.Minute)).Err, "did not run frees the ID")
	require.Equal(t, fault.Fenced, b.record1(request("r", RequestDidNotRun, "e1", "t1", time.Minute)).Err.Kind)
	require.Equal(t, fault.Fenced, b.record1(request("r", RequestDidNotRun, "e2", "t1", time.Minute)).Err.Kind)
	require.Equal(t, fault.InProgress, b.record1(request("r", RequestBegun, "e1", "t3", time.Minute)).Err.Kind)
	require.Equal(t, fault.NotFound, b.record1(request("never", RequestFinished, "e1", "t1", time.Minute)).Err.Kind)
}

// Guards against a begun request of a crashed entry host that stays in progress
// for ever, and against an ID that may run again after it was dropped.
func TestRequestsExpire(t *testing.T) {
	b := newBench()
	begin := request("r", RequestBegun, "e1", "t1", time.Minute)
	require.Nil(t, b.record1(begin).Err)
	b.tick(time.Minute)
	other := request("r", RequestBegun, "e2", "t2", time.Minute)
	res := b.record1(other)
	require.Equal(t, fault.OutcomeUnknown, res.Err.Kind)
	require.Equal(t, RequestUnknown, res.Recorded.Phase)
	require.Nil(t, b.record1(request("r", RequestFinished, "e1", "t1", time.Minute)).Err, "an unknown outcome may become known")
	require.Equal(t, RequestFinished, b.record1(other).Recorded.Phase)
	b.tick(RequestGrace)
	require.Equal(t, fault.RequestIDExpired, b.record1(other).Err.Kind)
	require.Equal(t, fault.RequestIDExpired, b.record1(request("r", RequestFinished, "e1", "t1", time.Minute)).Err.Kind)
	require.Empty(t, b.requests.byID)
	require.Empty(t, b.requests.queue)
	require.Zero(t, b.requests.bytes)
	b.now = start
	require.Equal(t, fault.RequestIDExpired, b.record1(other).Err.Kind, "time does not go back with a leader's clock")
}

// Guards against a ledger that grows without bound, in records or in bytes, and
// against an outcome that is refused for want of room.
func TestRequestTableIsBounded(t *testing.T) {
	b := newBench()
	b.requests.limit = 2
	for i := range 2 {
		require.Nil(t, b.record1(request(fmt.Sprint(i), RequestBegun, "e", "t", time.Minute)).Err)
	}
	require.Equal(t, fault.Overloaded, b.record1(request("2", RequestBegun, "e", "t", time.Minute)).Err.Kind)
	large := request("0", RequestFinished, "e", "t", time.Minute)
	large.Status, large.Body = 201, make([]byte, MaxResponseBytes+1)
	require.Nil(t, b.record1(large).Err)
	known := b.record1(request("0", RequestBegun, "x", "y", time.Minute)).Recorded
	require.True(t, known.AnswerDropped)
	require.Equal(t, 201, known.Status)
	require.Empty(t, known.Body)
	b.requests.bytes = MaxResponseTotalBytes
	small := request("1", RequestFinished, "e", "t", time.Minute)
	small.Body = []byte("x")
	require.Nil(t, b.record1(small).Err)
	require.True(t, b.record1(request("1", RequestBegun, "x", "y", time.Minute)).Recorded.AnswerDropped)
}

// Guards against records that make no sense.
func TestRequestRecordRefusals(t *testing.T) {
	b := newBench()
	far := request("r", RequestBegun, "e", "t", MaxRequestLifetime+time.Second)
	require.Equal(t, "expires", b.record1(far).Err.Field)
	require.Equal(t, "id", b.record1(request("", RequestBegun, "e", "t", time.Minute)).Err.Field)
	require.Equal(t, "phase", b.record1(request("r", 9, "e", "t", time.Minute)).Err.Field)
	require.Empty(t, b.requests.byID)
}

// Guards against records that expire in the order of their begin.
func TestRequestsExpireInTheirOwnOrder(t *testing.T) {
	b := newBench()
	for _, seconds := range []int{50, 10, 40, 20, 30} {
		require.Nil(t, b.record1(request(fmt.Sprint(seconds), RequestBegun, "e", "t", time.Duration(seconds)*time.Second)).Err)
	}
	b.tick(25 * time.Second)
	for _, seconds := range []int{10, 20, 30, 40, 50} {
		want := fault.InProgress
		if seconds <= 25 {
			want = fault.OutcomeUnknown
		}
		require.Equal(t, want, b.record1(request(fmt.Sprint(seconds), RequestBegun, "x", "y", time.Duration(seconds)*time.Second)).Err.Kind, seconds)
	}
	b.tick(RequestGrace)
	require.Len(t, b.requests.byID, 3)
}
