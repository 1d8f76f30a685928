package entry

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	pb "laburnumdock/gen/laburnumdock/v1"
	"laburnumdock/gen/laburnumdock/v1/laburnumdockv1connect"
	"laburnumdock/internal/answer"
	"laburnumdock/internal/core/dispatch"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/member"
	"laburnumdock/internal/rpc"
)

func (h *Host) routePeers(mux *http.ServeMux) {
	path, handler := laburnumdockv1connect.NewPeerServiceHandler(&peerService{host: h}, rpc.ServerOptions(maxExchangeBytes))
	mux.Handle(path, handler)
}

// peerService serves the requests of other entry hosts.
type peerService struct{ host *Host }

// Exchange implements the PeerService.
//
// The age of an announcement counts from the response whose clock the sender echoes, not
// from the arrival of the message: a delayed message, as on a stalled connection, must
// not make an announcement look younger than it is. The announcements of a sender
// without a valid echo are ignored, and it is asked to send all of them again.
func (s *peerService) Exchange(ctx context.Context, req *connect.Request[pb.ExchangeRequest]) (*connect.Response[pb.ExchangeResponse], error) {
	h, in := s.host, req.Msg
	if in.GetEntryHost() == "" || in.GetEntryHost() == h.cfg.Name {
		return nil, answer.ConnectError(fault.InvalidField("entry_host", "the name of another entry host", "value is %q", in.GetEntryHost()))
	}
	echoedAt, valid := h.echoedTime(in, time.Now())
	m := &exchangeMessage{reply: make(chan []dispatch.EndpointUse, 1), peerUse: dispatch.PeerUse{
		Peer: in.GetEntryHost(), Incarnation: in.GetIncarnation(), Use: slotUseFromWire(in.GetUse()),
	}}
	if valid {
		m.announcements = announcementsFromWire(in.GetAnnouncements(), echoedAt)
	}
	if err := h.queue.offer(m); err != nil {
		return nil, answer.ConnectError(err)
	}
	select {
	case slotsInUse := <-m.reply:
		return connect.NewResponse(&pb.ExchangeResponse{
			EntryHost: h.cfg.Name, Incarnation: h.incarnation, Use: slotUseToWire(slotsInUse),
			Full: !valid, Clock: uint64(time.Since(h.started)),
		}), nil
	case <-h.queue.closed:
		return nil, answer.ConnectError(fault.New(fault.Stopping, "the entry host has stopped"))
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// echoedTime returns the time of the response whose clock the sender echoes, and whether
// the echo is valid.
func (h *Host) echoedTime(in *pb.ExchangeRequest, now time.Time) (time.Time, bool) {
	clock := time.Duration(in.GetPeerClock())
	if in.GetPeerIncarnation() != h.incarnation || clock <= 0 || clock > now.Sub(h.started) {
		return time.Time{}, false
	}
	return h.started.Add(clock), true
}

// exchangeMessage holds the announcements and the slot use that a peer sent.
type exchangeMessage struct {
	announcements []member.Announcement
	peerUse       dispatch.PeerUse
	reply         chan []dispatch.EndpointUse
}

func (m *exchangeMessage) handle(l *loop) {
	for _, a := range m.announcements {
		// The endpoint learns of a refusal from the host that it announced itself to.
		_ = l.applyAnnouncement(a, false)
	}
	l.step(m.peerUse)
	m.reply <- l.sortedSlotsInUse()
}

// announcementsFromWire returns the valid announcements of a list, with their ages
// subtracted from echoedAt.
func announcementsFromWire(list []*pb.Announcement, echoedAt time.Time) []member.Announcement {
	result := make([]member.Announcement, 0, len(list))
	for _, p := range list {
		a := Announcement{
			Endpoint: p.GetEndpoint(), Host: p.GetHost(), Service: p.GetService(), Address: p.GetAddress(), Epoch: p.GetEpoch(),
			Incarnation: p.GetIncarnation(), Sequence: p.GetSequence(), Slots: int(p.GetSlots()), Connections: int(p.GetConnections()),
			Rack: p.GetRack(), Zone: p.GetZone(), State: StateServing,
		}
		if p.GetLeaving() {
			a.State = StateLeaving
		}
		if a.Validate() == nil {
			result = append(result, a.toMember(echoedAt.Add(-time.Duration(p.GetAgeMs())*time.Millisecond)))
		}
	}
	return result
}

func announcementToWire(a member.Announcement, now time.Time) *pb.Announcement {
	// The age is rounded up, so that an announcement never looks younger to the peer.
	age := (now.Sub(a.AnnouncedAt) + time.Millisecond - 1).Milliseconds()
	return &pb.Announcement{
		Endpoint: a.Endpoint, Host: a.Host, Service: a.Service, Address: a.Address, Epoch: a.Epoch,
		Incarnation: a.Incarnation, Sequence: a.Sequence, Slots: uint32(a.Slots), Connections: uint32(a.Connections),
		Rack: a.Rack, Zone: a.Zone, Leaving: a.Leaving, AgeMs: uint32(max(age, 0)),
	}
}

func slotUseToWire(use []dispatch.EndpointUse) []*pb.SlotUse {
	list := make([]*pb.SlotUse, 0, len(use))
	for _, u := range use {
		list = append(list, &pb.SlotUse{Endpoint: u.Endpoint, InUse: uint32(u.InUse), Queued: uint32(u.Queued), Long: uint32(u.Long)})
	}
	return list
}

func slotUseFromWire(use []*pb.SlotUse) []dispatch.EndpointUse {
	list := make([]dispatch.EndpointUse, 0, len(use))
	for _, u := range use {
		list = append(list, dispatch.EndpointUse{Endpoint: u.GetEndpoint(), InUse: int(u.GetInUse()), Queued: int(u.GetQueued()), Long: int(u.GetLong())})
	}
	return list
}
