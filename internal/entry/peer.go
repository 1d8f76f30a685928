package entry

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"

	pb "laburnumdock/gen/laburnumdock/v1"
	"laburnumdock/gen/laburnumdock/v1/laburnumdockv1connect"
	"laburnumdock/internal/core/dispatch"
	"laburnumdock/internal/core/member"
	"laburnumdock/internal/logevent"
)

// Times of the exchange between entry hosts.
const (
	exchangeInterval = 250 * time.Millisecond
	// exchangeKeepAlive is how often a peer hears from this host if there is
	// nothing new; slot use runs out without.
	exchangeKeepAlive = time.Second
	// exchangeTimeout leaves time for another call on a new connection before a
	// lease of 3 s ends: an announcement is up to 1 s old when it is sent.
	exchangeTimeout  = 600 * time.Millisecond
	maxExchangeBytes = 8 << 20
)

// peer sends to one other entry host. Its goroutine owns it.
type peer struct {
	host    *Host
	address string
	http    *http.Client
	client  laburnumdockv1connect.PeerServiceClient
	// acked is the change of the board up to which the peer has everything.
	acked uint64
	// incarnation and clock are of the peer's last response.
	incarnation, clock uint64
	lastSent           time.Time
	lastUse            []dispatch.EndpointUse
	failing            bool
}

func newPeer(h *Host, address string) *peer {
	client := h.cfg.ownClient()
	return &peer{host: h, address: address, http: client, client: laburnumdockv1connect.NewPeerServiceClient(client, address)}
}

func (p *peer) run(ctx context.Context) error {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		p.exchange(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// exchange sends what changed, or nothing if the peer has everything and
// heard from this host a short time ago.
func (p *peer) exchange(ctx context.Context) {
	m := &deltaMessage{since: p.acked, reply: make(chan delta, 1)}
	if p.host.queue.offer(m) != nil {
		return
	}
	var d delta
	select {
	case d = <-m.reply:
	case <-ctx.Done():
		return
	}
	now := time.Now()
	if len(d.announcements) == 0 && slices.Equal(d.use, p.lastUse) && now.Sub(p.lastSent) < exchangeKeepAlive {
		return
	}
	res, err := p.call(ctx, d, now)
	if err != nil {
		p.http.CloseIdleConnections()
		p.noteFailure(ctx, err)
		return
	}
	p.failing = false
	p.lastSent = now
	p.lastUse = d.use
	p.acked = d.change
	if res.GetFull() || res.GetIncarnation() != p.incarnation {
		p.acked = 0
	}
	p.incarnation = res.GetIncarnation()
	p.clock = res.GetClock()
	p.host.queue.post(&eventMessage{event: dispatch.PeerUse{
		Peer: res.GetEntryHost(), Incarnation: res.GetIncarnation(), Use: useFromProto(res.GetUse()),
	}})
}

func (p *peer) call(ctx context.Context, d delta, now time.Time) (*pb.ExchangeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	req := &pb.ExchangeRequest{
		EntryHost: p.host.cfg.Name, Incarnation: p.host.incarnation, Use: useToProto(d.use),
		PeerIncarnation: p.incarnation, PeerClock: p.clock,
	}
	for _, a := range d.announcements {
		req.Announcements = append(req.Announcements, announcementToProto(a, now))
	}
	res, err := p.client.Exchange(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return res.Msg, nil
}

func (p *peer) noteFailure(ctx context.Context, err error) {
	if p.failing || ctx.Err() != nil {
		return
	}
	p.failing = true
	p.host.cfg.Log.Err(logevent.PeerUnreachable, err, logevent.Fields{"peer": p.address})
}

// delta is what a peer lacks, and the use of slots.
type delta struct {
	change        uint64
	announcements []member.Announcement
	use           []dispatch.EndpointUse
}

// deltaMessage asks the control loop for what changed.
type deltaMessage struct {
	since uint64
	reply chan delta
}

func (m *deltaMessage) handle(l *loop) {
	m.reply <- delta{change: l.board.change, announcements: l.board.since(m.since), use: l.useList()}
}

// useList returns the slots in use by this host, in a stable order.
func (l *loop) useList() []dispatch.EndpointUse {
	list := l.dispatcher.SlotsInUse()
	slices.SortFunc(list, func(a, b dispatch.EndpointUse) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	return list
}
