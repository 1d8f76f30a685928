package entry_test

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	pb "laburnumdock/gen/laburnumdock/v1"
	"laburnumdock/gen/laburnumdock/v1/laburnumdockv1connect"
	"laburnumdock/internal/answer"
	"laburnumdock/internal/codec"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/model"
)

// fakeControl is the state that fake control replicas share.
type fakeControl struct {
	t  testing.TB
	mu sync.Mutex
	// The rest is guarded by mu.
	version   uint64
	compacted uint64
	objects   map[model.Key]model.Object
	events    []*pb.WatchResponse
	records   map[string]*pb.RequestRecord
	// loseAnswers is the number of next RecordRequests calls that take effect but whose
	// answers are lost. loseCalls is the number of next calls that have no effect.
	loseAnswers, loseCalls int
	// recordCounts is the number of records stored by phase.
	recordCounts map[pb.RequestPhase]int
	reports      []*pb.ReportEndpointsRequest
	listCalls    int
}

// fakeReplica is a fake control replica with its own address and faults.
type fakeReplica struct {
	laburnumdockv1connect.UnimplementedControlServiceHandler
	*fakeControl
	url    string
	server *http.Server
	// maxVisibleVersion is the newest version that this replica has; 0 means all. It
	// and the fields below are guarded by mu.
	maxVisibleVersion uint64
	// partitioned is set when the replica has no contact with the others.
	partitioned bool
	// sendsProgressMarks enables progress marks. silent stops all messages on streams.
	sendsProgressMarks, silent bool
	watchCalls                 int
}

func newFakeControl(t testing.TB) *fakeControl {
	return &fakeControl{
		t: t, objects: make(map[model.Key]model.Object), records: make(map[string]*pb.RequestRecord),
		recordCounts: make(map[pb.RequestPhase]int),
	}
}

// start starts a replica with this state.
func (f *fakeControl) start() *fakeReplica {
	r := &fakeReplica{fakeControl: f}
	r.serve(listen(f.t))
	return r
}

func (r *fakeReplica) serve(l net.Listener) {
	mux := http.NewServeMux()
	mux.Handle(laburnumdockv1connect.NewControlServiceHandler(r))
	r.url = "http://" + l.Addr().String()
	r.server = serveHTTP(r.t, l, mux)
}

// restart closes all connections and serves again at the same address.
func (r *fakeReplica) restart() {
	require.NoError(r.t, r.server.Close())
	var l net.Listener
	require.Eventually(r.t, func() bool {
		var err error
		l, err = net.Listen("tcp", strings.TrimPrefix(r.url, "http://"))
		return err == nil
	}, waitTimeout, time.Millisecond)
	r.serve(l)
}

// withLock runs change with mu held.
func (f *fakeControl) withLock(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// put stores a resource with a new version.
func (f *fakeControl) put(obj model.Object) {
	obj.SetDefaults()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	obj.Metadata().Version = f.version
	f.objects[obj.Metadata().Key()] = obj
	f.events = append(f.events, f.watchResponse(obj))
}

func (f *fakeControl) watchResponse(obj model.Object) *pb.WatchResponse {
	data, err := codec.EncodeObject(obj)
	require.NoError(f.t, err)
	meta := obj.Metadata()
	return &pb.WatchResponse{Version: meta.Version, Kind: string(meta.Kind), Name: meta.Name, Object: data}
}

// putConfig sets the value "v" of the config "c".
func putConfig(f *fakeControl, value string) {
	f.put(&model.Config{Meta: model.Meta{Kind: model.KindConfig, Name: "c"}, Spec: model.ConfigSpec{Values: map[string]string{"v": value}}})
}

// visibleVersion returns the newest version that the replica has.
func (r *fakeReplica) visibleVersion() uint64 {
	if r.maxVisibleVersion > 0 {
		return min(r.maxVisibleVersion, r.version)
	}
	return r.version
}

// Watch implements the ControlService.
func (r *fakeReplica) Watch(ctx context.Context, req *connect.Request[pb.WatchRequest], stream *connect.ServerStream[pb.WatchResponse]) error {
	at := req.Msg.GetFromVersion()
	r.mu.Lock()
	r.watchCalls++
	if req.Msg.GetListFirst() {
		r.listCalls++
	} else if at < r.compacted {
		r.mu.Unlock()
		return answer.ConnectError(fault.New(fault.Compacted, "version %d is compacted", at))
	}
	var out []*pb.WatchResponse
	if req.Msg.GetListFirst() {
		at = r.visibleVersion()
		for _, obj := range r.objects {
			if obj.Metadata().Version <= at {
				out = append(out, r.watchResponse(obj))
			}
		}
		out = append(out, &pb.WatchResponse{Version: at, Listed: true})
	}
	r.mu.Unlock()
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for {
		for _, msg := range out {
			if err := stream.Send(msg); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		out, at = r.changesAfter(at)
	}
}

// changesAfter returns the messages to send after a version, and the version that they
// reach.
func (r *fakeReplica) changesAfter(at uint64) ([]*pb.WatchResponse, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.silent {
		return nil, at
	}
	var out []*pb.WatchResponse
	for _, e := range r.events {
		if e.GetVersion() > at && e.GetVersion() <= r.visibleVersion() {
			out = append(out, e)
			at = e.GetVersion()
		}
	}
	if r.sendsProgressMarks || len(out) > 0 {
		out = append(out, &pb.WatchResponse{Version: r.visibleVersion()})
	}
	return out, at
}

// RecordRequests implements the ControlService.
func (r *fakeReplica) RecordRequests(_ context.Context, req *connect.Request[pb.RecordRequestsRequest]) (*connect.Response[pb.RecordRequestsResponse], error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.loseCalls > 0 {
		r.loseCalls--
		return nil, answer.ConnectError(fault.New(fault.Unavailable, "no leader"))
	}
	res := &pb.RecordRequestsResponse{}
	for _, rec := range req.Msg.GetRecords() {
		res.Results = append(res.Results, r.record(rec))
	}
	if r.loseAnswers > 0 {
		r.loseAnswers--
		return nil, answer.ConnectError(fault.New(fault.OutcomeUnknown, "answer is lost"))
	}
	return connect.NewResponse(res), nil
}

// record applies a record like the control replicas do.
func (f *fakeControl) record(rec *pb.RequestRecord) *pb.RequestResult {
	recorded := f.records[rec.GetRequestId()]
	res := &pb.RequestResult{RequestId: rec.GetRequestId()}
	own := recorded != nil && recorded.GetEntryHost() == rec.GetEntryHost() && recorded.GetToken() == rec.GetToken()
	switch {
	case recorded != nil && !bytes.Equal(recorded.GetDigest(), rec.GetDigest()):
		res.ErrorKind = string(fault.RequestIDReused)
	case rec.GetPhase() == pb.RequestPhase_REQUEST_PHASE_BEGIN && recorded != nil && !own:
		res.Recorded = recorded
		if recorded.GetPhase() == pb.RequestPhase_REQUEST_PHASE_BEGIN {
			res.ErrorKind = string(fault.InProgress)
		}
	case rec.GetPhase() == pb.RequestPhase_REQUEST_PHASE_BEGIN && recorded != nil:
		// The begin is a duplicate and changes nothing.
	case rec.GetPhase() != pb.RequestPhase_REQUEST_PHASE_BEGIN && !own:
		res.ErrorKind = string(fault.Fenced)
	case rec.GetPhase() == pb.RequestPhase_REQUEST_PHASE_DID_NOT_RUN:
		f.recordCounts[rec.GetPhase()]++
		delete(f.records, rec.GetRequestId())
	default:
		f.recordCounts[rec.GetPhase()]++
		f.records[rec.GetRequestId()] = rec
	}
	return res
}

// ReadIndex implements the ControlService.
func (r *fakeReplica) ReadIndex(context.Context, *connect.Request[pb.ReadIndexRequest]) (*connect.Response[pb.ReadIndexResponse], error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.partitioned {
		return nil, answer.ConnectError(fault.New(fault.Unavailable, "no quorum"))
	}
	return connect.NewResponse(&pb.ReadIndexResponse{Index: r.version}), nil
}

// ReportEndpoints implements the ControlService.
func (r *fakeReplica) ReportEndpoints(_ context.Context, req *connect.Request[pb.ReportEndpointsRequest]) (*connect.Response[pb.ReportEndpointsResponse], error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reports = append(r.reports, req.Msg)
	return connect.NewResponse(&pb.ReportEndpointsResponse{}), nil
}
