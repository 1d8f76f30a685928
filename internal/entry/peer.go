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
	"laburnumdock/internal/rpc"
)

// Timing and size limit of the exchange of announcements and slot use between entry
// hosts.
const (
	exchangeInterval = 250 * time.Millisecond
	// exchangeKeepAlive is the interval of exchanges when nothing has changed. Without
	// them the reported slot use expires on the peer.
	exchangeKeepAlive = time.Second
	// exchangeTimeout leaves time for another call on a new connection before a lease
	// of 3 s expires: an announcement is up to 1 s old when it is sent.
	exchangeTimeout  = 600 * time.Millisecond
	maxExchangeBytes = 8 << 20
)

// peer sends announcements and slot use to another entry host. Its goroutine owns it.
type peer struct {
	host       *Host
	address    string
	httpClient *http.Client
	client     laburnumdockv1connect.PeerServiceClient
	// ackedChange is the number of the last change that the peer has received.
	ackedChange uint64
	// incarnation and clock are those of the peer's last response.
	incarnation, clock uint64
	lastSent           time.Time
	lastSlotsInUse     []dispatch.EndpointUse
	unreachable        bool
}

func newPeer(h *Host, address string) *peer {
	client := h.cfg.dedicatedClient()
	return &peer{host: h, address: address, httpClient: client, client: laburnumdockv1connect.NewPeerServiceClient(client, address, rpc.ClientOptions(maxExchangeBytes))}
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

// exchange sends the changes that the peer lacks. It sends nothing if there are none
// and the last exchange is more recent than exchangeKeepAlive.
func (p *peer) exchange(ctx context.Context) {
	m := &deltaMessage{since: p.ackedChange, reply: make(chan delta, 1)}
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
	if len(d.announcements) == 0 && slices.Equal(d.slotsInUse, p.lastSlotsInUse) && now.Sub(p.lastSent) < exchangeKeepAlive {
		return
	}
	res, err := p.call(ctx, d, now)
	if err != nil {
		p.httpClient.CloseIdleConnections()
		p.logUnreachable(ctx, err)
		return
	}
	p.unreachable = false
	p.lastSent = now
	p.lastSlotsInUse = d.slotsInUse
	p.ackedChange = d.lastChange
	if res.GetFull() || res.GetIncarnation() != p.incarnation {
		p.ackedChange = 0
	}
	p.incarnation = res.GetIncarnation()
	p.clock = res.GetClock()
	p.host.queue.post(&eventMessage{event: dispatch.PeerUse{
		Peer: res.GetEntryHost(), Incarnation: res.GetIncarnation(), Use: slotUseFromWire(res.GetUse()),
	}})
}

func (p *peer) call(ctx context.Context, d delta, now time.Time) (*pb.ExchangeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	req := &pb.ExchangeRequest{
		EntryHost: p.host.cfg.Name, Incarnation: p.host.incarnation, Use: slotUseToWire(d.slotsInUse),
		PeerIncarnation: p.incarnation, PeerClock: p.clock,
	}
	for _, a := range d.announcements {
		req.Announcements = append(req.Announcements, announcementToWire(a, now))
	}
	res, err := p.client.Exchange(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return res.Msg, nil
}

// logUnreachable logs the first of consecutive failures.
func (p *peer) logUnreachable(ctx context.Context, err error) {
	if p.unreachable || ctx.Err() != nil {
		return
	}
	p.unreachable = true
	p.host.cfg.Log.Err(logevent.PeerUnreachable, err, logevent.Fields{"peer": p.address})
}

// delta holds the announcements that a peer lacks and the slots in use by this host.
type delta struct {
	lastChange    uint64
	announcements []member.Announcement
	slotsInUse    []dispatch.EndpointUse
}

// deltaMessage requests the announcements after a change from the control loop.
type deltaMessage struct {
	since uint64
	reply chan delta
}

func (m *deltaMessage) handle(l *loop) {
	m.reply <- delta{lastChange: l.announcements.lastChange, announcements: l.announcements.directSince(m.since), slotsInUse: l.sortedSlotsInUse()}
}

// sortedSlotsInUse returns the slots in use by this host, sorted by endpoint.
func (l *loop) sortedSlotsInUse() []dispatch.EndpointUse {
	list := l.dispatcher.SlotsInUse()
	slices.SortFunc(list, func(a, b dispatch.EndpointUse) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	return list
}
