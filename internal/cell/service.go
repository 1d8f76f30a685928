package cell

import (
	"context"
	"encoding/json"
	"net/url"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	pb "laburnumdock/gen/laburnumdock/v1"
	"laburnumdock/gen/laburnumdock/v1/laburnumdockv1connect"
	"laburnumdock/internal/answer"
	"laburnumdock/internal/codec"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/jobs"
	"laburnumdock/internal/core/manager"
	"laburnumdock/internal/core/quorum"
	"laburnumdock/internal/core/raft"
)

// service implements the services for entry hosts and other replicas.
type service struct {
	laburnumdockv1connect.UnimplementedJobServiceHandler
	laburnumdockv1connect.UnimplementedCellServiceHandler
	cell *Cell
}

// Ask implements the JobService.
func (s service) Ask(ctx context.Context, req *connect.Request[pb.AskRequest]) (*connect.Response[pb.AskResponse], error) {
	q, err := requestFromWire(req.Msg)
	if err != nil {
		return nil, answer.ConnectError(fault.New(fault.Invalid, "request cannot be decoded: %v", err))
	}
	if err := s.cell.checkConfig(req.Msg.GetConfigVersion()); err != nil {
		return nil, answer.ConnectError(err)
	}
	reply, err := s.cell.leader.Request(ctx, q)
	if err != nil {
		return nil, answer.ConnectError(err)
	}
	return connect.NewResponse(&pb.AskResponse{
		Answer: uint32(reply.Kind), Phase: uint32(reply.Phase), Pending: uint32(reply.Pending),
		Complete: reply.Complete, ConfigVersion: reply.ConfigVersion, RetryAfterMs: reply.RetryAfter.Milliseconds(),
		MissingReplicas: reply.Missing,
	}), nil
}

// checkConfig returns an error if the sender has seen a newer configuration than
// this replica has applied.
func (c *Cell) checkConfig(seen uint64) error {
	version := uint64(0)
	if config := c.replica.Snapshot().JobConfig; config != nil {
		version = config.Version
	}
	if version < seen {
		return fault.New(fault.NotLeader, "this replica has configuration %d, the sender has seen %d", version, seen)
	}
	return nil
}

// Report implements the JobService.
func (s service) Report(_ context.Context, req *connect.Request[pb.ReportRequest]) (*connect.Response[pb.ReportResponse], error) {
	if !s.cell.replica.IsLeader() {
		return nil, answer.ConnectError(fault.New(fault.NotLeader, "this replica does not lead"))
	}
	reports := make([]manager.Report, 0, len(req.Msg.GetReports()))
	for _, r := range req.Msg.GetReports() {
		reports = append(reports, reportFromWire(r))
	}
	if !s.cell.leader.Report(reports) {
		return nil, answer.ConnectError(fault.New(fault.Stopping, "the replica has stopped"))
	}
	return connect.NewResponse(&pb.ReportResponse{}), nil
}

// Members implements the CellService.
func (s service) Members(_ context.Context, req *connect.Request[pb.MembersRequest]) (*connect.Response[pb.MembersResponse], error) {
	status := s.cell.replica.Status()
	resp := &pb.MembersResponse{
		EntryHosts: s.cell.entryHosts.recordAndList(req.Msg.GetEntryHost(), time.Now()),
		Id:         status.ID, Leader: status.Leader, IsLeader: status.Role == raft.Leader && !status.Stopping && status.StorageError == nil, Term: status.Term,
	}
	for _, id := range slices.Concat(status.Members.Voters, status.Members.Learners) {
		resp.Members = append(resp.Members, &pb.CellMember{Id: id, Address: status.Addresses[id], Voter: status.Members.IsVoter(id)})
	}
	if decision := s.cell.membership.decision.Load(); resp.GetIsLeader() && decision != nil {
		addLeaderView(resp, status.MemberStatuses, *decision)
	}
	return connect.NewResponse(resp), nil
}

// addLeaderView adds to resp what only the leader knows of the members.
func addLeaderView(resp *pb.MembersResponse, statuses []raft.MemberStatus, decision quorum.Decision) {
	resp.VotersAim = uint32(decision.Aim)
	for _, m := range resp.GetMembers() {
		for _, status := range statuses {
			if status.ID == m.GetId() {
				m.CaughtUp = status.CaughtUp
			}
		}
		for _, wait := range decision.Waits {
			if wait.ID == m.GetId() {
				m.SilentMs, m.WaitsFor = wait.SilentFor.Milliseconds(), string(wait.Reason)
			}
		}
	}
}

// Formats implements the CellService.
func (service) Formats(context.Context, *connect.Request[pb.FormatsRequest]) (*connect.Response[pb.FormatsResponse], error) {
	return connect.NewResponse(&pb.FormatsResponse{Newest: jobs.NewestFormat}), nil
}

// Join implements the CellService. The membershipReconciler adds the replica
// later.
func (s service) Join(_ context.Context, req *connect.Request[pb.JoinRequest]) (*connect.Response[pb.JoinResponse], error) {
	if !s.cell.replica.IsLeader() {
		return nil, answer.ConnectError(fault.New(fault.NotLeader, "this replica does not lead"))
	}
	if req.Msg.GetId() == 0 || !isBaseURL(req.Msg.GetAddress()) {
		return nil, answer.ConnectError(fault.InvalidField("id", "an ID and a base URL", "the request names no replica"))
	}
	if !s.cell.membership.addJoinRequest(quorum.Joiner{ID: req.Msg.GetId(), Address: req.Msg.GetAddress()}, time.Now()) {
		return nil, answer.ConnectError(fault.New(fault.Overloaded, "%d replicas have asked to join", maxJoinRequests))
	}
	return connect.NewResponse(&pb.JoinResponse{}), nil
}

// Explain implements the CellService.
func (s service) Explain(ctx context.Context, req *connect.Request[pb.ExplainRequest]) (*connect.Response[pb.ExplainResponse], error) {
	q := manager.Request{Kind: manager.RequestSubmit, Host: req.Msg.GetHost(), Path: req.Msg.GetPath()}
	if key := req.Msg.GetKeyDigest(); len(key) == jobs.KeyDigestSize {
		q.Key = (*jobs.KeyDigest)(key)
	}
	if body := req.Msg.GetBody(); len(body) > 0 {
		spec, err := codec.DecodeJobsValue[jobs.Spec](body)
		if err != nil {
			return nil, answer.ConnectError(fault.New(fault.Invalid, "job cannot be decoded: %v", err))
		}
		q.Spec = spec
	}
	explanation, err := s.cell.leader.Explain(ctx, q)
	if err != nil {
		return nil, answer.ConnectError(err)
	}
	data, err := json.Marshal(explanation)
	if err != nil {
		return nil, answer.ConnectError(err)
	}
	return connect.NewResponse(&pb.ExplainResponse{Explanation: data}), nil
}

func requestFromWire(m *pb.AskRequest) (manager.Request, error) {
	q := manager.Request{Kind: manager.RequestKind(m.GetKind()), Host: m.GetHost(), Path: m.GetPath(), WaveID: m.GetWaveId()}
	var err error
	if key := m.GetKeyDigest(); len(key) == jobs.KeyDigestSize {
		q.Key = (*jobs.KeyDigest)(key)
	}
	switch q.Kind {
	case manager.RequestSubmit:
		q.Spec, err = codec.DecodeJobsValue[jobs.Spec](m.GetBody())
	case manager.RequestConfigure:
		q.Config, err = codec.DecodeJobsValue[jobs.Config](m.GetBody())
	case manager.RequestStartWave:
		q.Wave, err = codec.DecodeJobsValue[jobs.Wave](m.GetBody())
	default:
	}
	return q, err
}

func reportFromWire(r *pb.ExecutorReport) manager.Report {
	return manager.Report{
		ID: r.GetId(), StartedAt: r.GetBorn(), Sequence: r.GetSequence(), Host: r.GetHost(), Pool: r.GetPool(), Address: r.GetAddress(),
		Zone: r.GetZone(), Rack: r.GetRack(), Labels: r.GetLabels(),
		Capacity: jobs.Resources{CPU: r.GetCpu(), MemoryMB: r.GetMemoryMb(), Accelerators: r.GetAccelerators()},
		Draining: r.GetDraining(), DrainLeft: time.Duration(r.GetDrainLeftMs()) * time.Millisecond, Clock: r.GetClockMs(), Leaving: r.GetLeaving(),
	}
}

// entryHostRegistry holds the entry hosts that sent a request recently, so that
// an entry host that cannot reach the leader finds others that can. Any goroutine
// may use it.
type entryHostRegistry struct {
	mu       sync.Mutex
	lastSeen map[string]time.Time
}

// entryHostTTL is how long an entry host is listed after its last request.
const entryHostTTL = 5 * time.Second

const (
	// maxEntryHosts bounds the entry hosts that are listed. Any client that reaches the peer
	// listener can name one.
	maxEntryHosts = 1024
	// maxURLBytes bounds the base URL of a process.
	maxURLBytes = 256
)

// isBaseURL reports whether a text may be the base URL of a process.
func isBaseURL(text string) bool {
	u, err := url.Parse(text)
	return err == nil && len(text) <= maxURLBytes && u.Host != "" && (u.Scheme == "http" || u.Scheme == "https")
}

// recordAndList records a request of sender and returns all entry hosts that sent
// one recently. A sender that is no base URL, or that comes when the list is full, is not
// recorded.
func (r *entryHostRegistry) recordAndList(sender string, now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []string
	for url, at := range r.lastSeen {
		if now.Sub(at) > entryHostTTL {
			delete(r.lastSeen, url)
			continue
		}
		list = append(list, url)
	}
	if _, known := r.lastSeen[sender]; known {
		r.lastSeen[sender] = now
	} else if len(list) < maxEntryHosts && isBaseURL(sender) {
		r.lastSeen[sender] = now
		list = append(list, sender)
	}
	return list
}
