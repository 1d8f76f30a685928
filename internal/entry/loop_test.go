package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	pb "laburnumdock/gen/laburnumdock/v1"
	"laburnumdock/internal/answer"
	"laburnumdock/internal/core/dispatch"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/member"
)

// Guards against a new request that is dropped or blocks when the queue is full, and
// against the loss of the end of an attempt, which would leak its slot.
func TestFullQueueRefusesRequestsAndKeepsAttemptEnds(t *testing.T) {
	h := New(Config{QueueLength: 4})
	for range 4 {
		require.Nil(t, h.queue.offer(&eventMessage{event: dispatch.Ticked{}}))
	}
	rec := httptest.NewRecorder()
	h.serve(rec, httptest.NewRequest(http.MethodGet, "/v1/services/quotes/x", nil))
	assert.Equal(t, http.StatusTooManyRequests, rec.Code)
	assert.Equal(t, string(fault.RanNo), rec.Header().Get(answer.RanHeader))
	assert.Zero(t, h.requests.Load(), "a refused request releases its place")

	const ends = 100
	req := &openRequest{attributes: dispatch.Request{ID: 1}, outstanding: ends}
	h.loop.requests[1] = req
	h.requests.Add(1)
	h.loop.attemptsInFlight["e"] = ends
	h.loop.serviceLoad("").attemptsInFlight = ends
	var senders sync.WaitGroup
	for range ends {
		senders.Go(func() {
			a := &attempt{forward: dispatch.Forward{Endpoint: "e"}, cancel: func() {}}
			h.queue.post(&attemptFinishedMessage{request: req, attempt: a, event: dispatch.AttemptFinished{ID: 1}})
		})
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = h.loop.run(ctx)
		close(done)
	}()
	senders.Wait()
	h.queue.post(&callerGoneMessage{request: req})
	reply := make(chan report, 1)
	h.queue.post(&reportMessage{reply: reply})
	<-reply
	cancel()
	<-done
	assert.Empty(t, h.loop.attemptsInFlight, "every end was handled")
	assert.Empty(t, h.loop.requests)
	assert.Zero(t, h.requests.Load())
}

// Guards against senders that block forever when the loop has ended.
func TestPostReturnsAfterLoopEnds(t *testing.T) {
	q := newQueue(1)
	q.post(&stopMessage{})
	close(q.closed)
	q.post(&stopMessage{})
	assert.Equal(t, fault.Stopping, q.offer(&stopMessage{}).Kind)
}

// newAnnouncement returns a valid announcement that is made now.
func newAnnouncement(endpoint string, sequence uint64) member.Announcement {
	return member.Announcement{
		Endpoint: endpoint, Host: "h", Service: "quotes", Address: "127.0.0.1:9", Epoch: 1, Incarnation: 1, Sequence: sequence,
		Slots: 8, Connections: 64, AnnouncedAt: time.Now(),
	}
}

// refusalKind sends a request that is refused at once and returns the error kind.
func refusalKind(h *Host) fault.Kind {
	rec := httptest.NewRecorder()
	req := httptest.NewRequest(http.MethodGet, "/v1/services/quotes/x", nil)
	h.serve(rec, req)
	return fault.Kind(rec.Header().Get(answer.KindHeader))
}

// Guards against an entry host that is partitioned from endpoints and peers and keeps
// forwarding to endpoints whose lease has expired (requirement R6). The test uses a fake
// clock.
func TestPartitionedHostStopsForwardingAfterLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := New(Config{Name: "entry-0"})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = h.loop.run(ctx) }()
		m := &announcementMessage{announcement: newAnnouncement("e", 1), result: make(chan *fault.Error, 1)}
		h.queue.post(m)
		require.Nil(t, <-m.result)
		time.Sleep(member.Lease - 100*time.Millisecond)
		assert.True(t, hasLiveEndpoint(h))
		time.Sleep(100 * time.Millisecond)
		assert.False(t, hasLiveEndpoint(h))
		assert.Equal(t, fault.NoEndpoint, refusalKind(h))
		cancel()
		synctest.Wait()
	})
}

// hasLiveEndpoint reports whether a host knows one endpoint and it is live.
func hasLiveEndpoint(h *Host) bool {
	m := &statusMessage{reply: make(chan []EndpointStatus, 1)}
	h.queue.post(m)
	list := <-m.reply
	return len(list) == 1 && list[0].Live
}

// Guards against an announcement that looks fresh because its message was delayed, as on
// a stalled connection, and against one whose age cannot be verified. The test uses a
// fake clock.
func TestDelayedExchangeDoesNotExtendLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := New(Config{Name: "entry-0"})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = h.loop.run(ctx) }()
		time.Sleep(time.Second)
		s := &peerService{host: h}
		exchange := func(req *pb.ExchangeRequest) *pb.ExchangeResponse {
			req.EntryHost = "entry-1"
			res, err := s.Exchange(ctx, connect.NewRequest(req))
			require.NoError(t, err)
			return res.Msg
		}
		first := exchange(&pb.ExchangeRequest{Announcements: []*pb.Announcement{announcementToWire(newAnnouncement("e", 1), time.Now())}})
		assert.True(t, first.GetFull(), "a sender without an echo is asked to send again")
		assert.False(t, hasLiveEndpoint(h))

		req := &pb.ExchangeRequest{
			PeerIncarnation: first.GetIncarnation(), PeerClock: first.GetClock(),
			Announcements: []*pb.Announcement{announcementToWire(newAnnouncement("e", 1), time.Now())},
		}
		time.Sleep(member.Lease - time.Second)
		assert.False(t, exchange(req).GetFull())
		assert.True(t, hasLiveEndpoint(h), "the lease counts from the echoed response")
		time.Sleep(time.Second)
		assert.False(t, hasLiveEndpoint(h))
		cancel()
		synctest.Wait()
	})
}
