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
)

func (h *Host) routePeers(mux *http.ServeMux) {
	path, handler := laburnumdockv1connect.NewPeerServiceHandler(&peerService{host: h}, connect.WithReadMaxBytes(maxExchangeBytes))
	mux.Handle(path, handler)
}

// peerService takes what other entry hosts send.
type peerService struct{ host *Host }

// Exchange implements the PeerService.
//
// The age of an announcement counts from the response that the sender echoes,
// not from the arrival of the message: a message that was held up on its way,
// as by a connection that stood still, must not make an announcement look
// younger than it is. A sender without a valid echo is asked to send again.
func (s *peerService) Exchange(ctx context.Context, req *connect.Request[pb.ExchangeRequest]) (*connect.Response[pb.ExchangeResponse], error) {
	h, in := s.host, req.Msg
	if in.GetEntryHost() == "" || in.GetEntryHost() == h.cfg.Name {
		return nil, answer.ConnectError(fault.InvalidField("entry_host", "the name of another entry host", "value is %q", in.GetEntryHost()))
	}
	base, valid := h.echoed(in, time.Now())
	m := &exchangeMessage{reply: make(chan []dispatch.EndpointUse, 1), use: dispatch.PeerUse{
		Peer: in.GetEntryHost(), Incarnation: in.GetIncarnation(), Use: useFromProto(in.GetUse()),
	}}
	if valid {
		m.announcements = announcementsFromProto(in.GetAnnouncements(), base)
	}
	if err := h.queue.offer(m); err != nil {
		return nil, answer.ConnectError(err)
	}
	select {
	case use := <-m.reply:
		return connect.NewResponse(&pb.ExchangeResponse{
			EntryHost: h.cfg.Name, Incarnation: h.incarnation, Use: useToProto(use),
			Full: !valid, Clock: uint64(time.Since(h.started)),
		}), nil
	case <-h.queue.closed:
		return nil, answer.ConnectError(fault.New(fault.Stopping, "the entry host has stopped"))
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// echoed returns the time of the response that the sender echoes.
func (h *Host) echoed(in *pb.ExchangeRequest, now time.Time) (time.Time, bool) {
	clock := time.Duration(in.GetPeerClock())
	if in.GetPeerIncarnation() != h.incarnation || clock <= 0 || clock > now.Sub(h.started) {
		return time.Time{}, false
	}
	return h.started.Add(clock), true
}

// exchangeMessage is what a peer sent.
type exchangeMessage struct {
	announcements []member.Announcement
	use           dispatch.PeerUse
	reply         chan []dispatch.EndpointUse
}

func (m *exchangeMessage) handle(l *loop) {
	for _, a := range m.announcements {
		// A refusal is for the endpoint, which hears it from the host that it
		// announced itself to.
		_ = l.announced(a, false)
	}
	l.step(m.use)
	m.reply <- l.useList()
}

func announcementsFromProto(list []*pb.Announcement, base time.Time) []member.Announcement {
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
			result = append(result, a.member(base.Add(-time.Duration(p.GetAgeMs())*time.Millisecond)))
		}
	}
	return result
}

func announcementToProto(a member.Announcement, now time.Time) *pb.Announcement {
	// Rounded up, so that an announcement never gets younger on its way.
	age := (now.Sub(a.AnnouncedAt) + time.Millisecond - 1).Milliseconds()
	return &pb.Announcement{
		Endpoint: a.Endpoint, Host: a.Host, Service: a.Service, Address: a.Address, Epoch: a.Epoch,
		Incarnation: a.Incarnation, Sequence: a.Sequence, Slots: uint32(a.Slots), Connections: uint32(a.Connections),
		Rack: a.Rack, Zone: a.Zone, Leaving: a.Leaving, AgeMs: uint32(max(age, 0)),
	}
}

func useToProto(use []dispatch.EndpointUse) []*pb.SlotUse {
	list := make([]*pb.SlotUse, 0, len(use))
	for _, u := range use {
		list = append(list, &pb.SlotUse{Endpoint: u.Endpoint, InUse: uint32(u.InUse), Queued: uint32(u.Queued), Long: uint32(u.Long)})
	}
	return list
}

func useFromProto(use []*pb.SlotUse) []dispatch.EndpointUse {
	list := make([]dispatch.EndpointUse, 0, len(use))
	for _, u := range use {
		list = append(list, dispatch.EndpointUse{Endpoint: u.GetEndpoint(), InUse: int(u.GetInUse()), Queued: int(u.GetQueued()), Long: int(u.GetLong())})
	}
	return list
}
