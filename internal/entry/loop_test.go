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

// Guards against an accepted arrival that is dropped, a wait of an arrival for
// a full queue, and a lost end of an attempt, which would leak its slot.
func TestFullQueueRefusesArrivalsAndLosesNoEnd(t *testing.T) {
	h := New(Config{QueueLength: 4})
	for range 4 {
		require.Nil(t, h.queue.offer(&eventMessage{event: dispatch.Ticked{}}))
	}
	rec := httptest.NewRecorder()
	h.serve(rec, httptest.NewRequest(http.MethodGet, "/v1/services/quotes/x", nil))
	assert.Equal(t, http.StatusTooManyRequests, rec.Code)
	assert.Equal(t, string(fault.RanNo), rec.Header().Get(answer.RanHeader))
	assert.Zero(t, h.requests.Load(), "a refused request holds no place")

	const ends = 100
	x := &exchange{request: dispatch.Request{ID: 1}, outstanding: ends}
	h.loop.exchanges[1] = x
	h.requests.Add(1)
	h.loop.use["e"] = ends
	h.loop.load("").inFlight = ends
	var senders sync.WaitGroup
	for range ends {
		senders.Go(func() {
			a := &attempt{forward: dispatch.Forward{Endpoint: "e"}, cancel: func() {}}
			h.queue.post(&finishedMessage{exchange: x, attempt: a, event: dispatch.AttemptFinished{ID: 1}})
		})
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = h.loop.run(ctx)
		close(done)
	}()
	senders.Wait()
	h.queue.post(&goneMessage{exchange: x})
	reply := make(chan report, 1)
	h.queue.post(&reportMessage{reply: reply})
	<-reply
	cancel()
	<-done
	assert.Empty(t, h.loop.use, "every end was heard")
	assert.Empty(t, h.loop.exchanges)
	assert.Zero(t, h.requests.Load())
}

// Guards against senders that wait for ever when the loop has ended.
func TestPostEndsWithLoop(t *testing.T) {
	q := newQueue(1)
	q.post(&stopMessage{})
	close(q.closed)
	q.post(&stopMessage{})
	assert.Equal(t, fault.Stopping, q.offer(&stopMessage{}).Kind)
}

func announced(endpoint string, sequence uint64) member.Announcement {
	return member.Announcement{
		Endpoint: endpoint, Host: "h", Service: "quotes", Address: "127.0.0.1:9", Epoch: 1, Incarnation: 1, Sequence: sequence,
		Slots: 8, Connections: 64, AnnouncedAt: time.Now(),
	}
}

// refusal sends a request that is refused at once and returns why.
func refusal(h *Host) fault.Kind {
	rec := httptest.NewRecorder()
	req := httptest.NewRequest(http.MethodGet, "/v1/services/quotes/x", nil)
	h.serve(rec, req)
	return fault.Kind(rec.Header().Get(answer.KindHeader))
}

// Guards against an entry host that goes on sending to endpoints that it no
// longer hears of, cut off from endpoints and peers (R6). The time is fake.
func TestPartitionedHostStopsAfterLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := New(Config{Name: "entry-0"})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = h.loop.run(ctx) }()
		m := &announceMessage{announcement: announced("e", 1), result: make(chan *fault.Error, 1)}
		h.queue.post(m)
		require.Nil(t, <-m.result)
		time.Sleep(member.Lease - 100*time.Millisecond)
		assert.True(t, liveEndpoint(h))
		time.Sleep(100 * time.Millisecond)
		assert.False(t, liveEndpoint(h))
		assert.Equal(t, fault.NoEndpoint, refusal(h))
		cancel()
		synctest.Wait()
	})
}

func liveEndpoint(h *Host) bool {
	m := &statusMessage{reply: make(chan []EndpointStatus, 1)}
	h.queue.post(m)
	list := <-m.reply
	return len(list) == 1 && list[0].Live
}

// Guards against an announcement that looks fresh because the message that
// carried it was held up on its way, as on a connection that stood still, and
// against one without a proof of its age. The time is fake.
func TestDelayedExchangeLengthensNoLease(t *testing.T) {
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
		first := exchange(&pb.ExchangeRequest{Announcements: []*pb.Announcement{announcementToProto(announced("e", 1), time.Now())}})
		assert.True(t, first.GetFull(), "a sender that echoes nothing is asked again")
		assert.False(t, liveEndpoint(h))

		req := &pb.ExchangeRequest{
			PeerIncarnation: first.GetIncarnation(), PeerClock: first.GetClock(),
			Announcements: []*pb.Announcement{announcementToProto(announced("e", 1), time.Now())},
		}
		time.Sleep(member.Lease - time.Second)
		assert.False(t, exchange(req).GetFull())
		assert.True(t, liveEndpoint(h), "the lease counts from the echoed response")
		time.Sleep(time.Second)
		assert.False(t, liveEndpoint(h))
		cancel()
		synctest.Wait()
	})
}
