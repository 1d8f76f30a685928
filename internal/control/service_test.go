package control

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	pb "laburnumdock/gen/laburnumdock/v1"
	"laburnumdock/internal/answer"
	"laburnumdock/internal/codec"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/raft"
	"laburnumdock/internal/core/state"
)

// startSingle starts an unreplicated replica.
func startSingle(t *testing.T, configure func(*Config)) *Replica {
	cfg := Config{ID: 1, LeaderWait: testTimeout}
	if configure != nil {
		configure(&cfg)
	}
	r := New(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- r.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-ended)
	})
	return r
}

func beginRecord(id string) *pb.RequestRecord {
	return &pb.RequestRecord{
		RequestId: id, Phase: pb.RequestPhase_REQUEST_PHASE_BEGIN, Caller: "showroom", Service: "quotes",
		EntryHost: "entry-1", Digest: []byte("digest"), Token: "token-" + id,
	}
}

// Guards against records that share a command and get each other's results, and
// against a malformed record that fails its whole batch.
func TestRecordRequestsAnswersEachRecord(t *testing.T) {
	c := newCluster(t, 1, 2, 3)
	c.leader()
	client := c.follower().peers.Load().get(c.leader().cfg.ID).control
	expiry := time.Now().Add(time.Minute).UnixMilli()
	id := func(i int) string { return fmt.Sprintf("%d.%d", expiry, i) }
	send := func(records ...*pb.RequestRecord) []*pb.RequestResult {
		resp, err := client.RecordRequests(testContext(t), connect.NewRequest(&pb.RecordRequestsRequest{Records: records}))
		require.NoError(t, err)
		require.Len(t, resp.Msg.GetResults(), len(records))
		return resp.Msg.GetResults()
	}
	calls := make(chan []*pb.RequestResult, 20)
	for i := range 20 {
		go func() {
			calls <- send(beginRecord(id(2*i)), beginRecord("malformed"), beginRecord(id(2*i+1)))
		}()
	}
	for range 20 {
		results := <-calls
		require.Empty(t, results[0].GetErrorKind())
		require.Equal(t, string(fault.Invalid), results[1].GetErrorKind())
		require.Empty(t, results[2].GetErrorKind())
		require.NotEqual(t, results[0].GetRequestId(), results[2].GetRequestId())
	}
	finish := beginRecord(id(3))
	finish.Phase, finish.Status, finish.Body = pb.RequestPhase_REQUEST_PHASE_FINISHED, 200, []byte("answer")
	require.Empty(t, send(finish)[0].GetErrorKind())
	again := beginRecord(id(3))
	again.Token = "another"
	known := send(again)[0].GetRecorded()
	require.Equal(t, pb.RequestPhase_REQUEST_PHASE_FINISHED, known.GetPhase())
	require.Equal(t, "answer", string(known.GetBody()))
}

// Guards against a follower that confirms contact with the leader to an entry host
// while it has none, or refuses to while it has.
func TestFollowerConfirmsReadIndexForEntryHosts(t *testing.T) {
	c := newCluster(t, 1, 2, 3)
	lead, follower := c.leader(), c.follower()
	c.mustPut(lead, 1)
	service := &Service{Replica: follower.Replica}
	// The first tick of the replicated time may be committed concurrently, so the
	// version of the leader is read before the request.
	acknowledged := lead.Snapshot().Version
	resp, err := service.ReadIndex(testContext(t), connect.NewRequest(&pb.ReadIndexRequest{}))
	require.NoError(t, err)
	require.GreaterOrEqual(t, resp.Msg.GetIndex(), acknowledged)
	require.GreaterOrEqual(t, follower.Snapshot().Version, resp.Msg.GetIndex())
	setPartition(c, follower, true)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err = service.ReadIndex(ctx, connect.NewRequest(&pb.ReadIndexRequest{}))
	require.Error(t, err)
	setPartition(c, follower, false)
	_, err = service.ReadIndex(testContext(t), connect.NewRequest(&pb.ReadIndexRequest{}))
	require.NoError(t, err)
}

// Guards against messages from another cluster, without a replica ID, with the ID of
// another replica, or with contents that cannot be decoded.
func TestDeliverRejectsInvalidMessages(t *testing.T) {
	r := startSingle(t, nil)
	call := func(cluster string, header http.Header, messages ...*pb.RaftMessage) fault.Kind {
		req := connect.NewRequest(&pb.DeliverRequest{ClusterId: cluster, Messages: messages})
		for name, values := range header {
			req.Header()[name] = values
		}
		_, err := raftService{r: r}.Deliver(testContext(t), req)
		if err == nil {
			return ""
		}
		return fault.KindOf(answer.RemoteError(err, ""))
	}
	header := http.Header{}
	header.Set(replicaHeader, "2")
	require.Equal(t, fault.Fenced, call("other", header))
	require.Equal(t, fault.Invalid, call("memory", nil))
	require.Equal(t, fault.Invalid, call("memory", header, &pb.RaftMessage{From: 3, Type: 1}))
	require.Equal(t, fault.Invalid, call("memory", header, &pb.RaftMessage{From: 2, Type: 1000}))
	require.Equal(t, fault.Invalid, call("memory", header, &pb.RaftMessage{From: 2, Type: uint32(raft.MsgSnapshot), Snapshot: &pb.RaftSnapshot{Data: []byte("x")}}))
	require.Empty(t, call("memory", header))
}

// Guards against a field of a message that the encoding loses.
func TestMessagesRoundTrip(t *testing.T) {
	entry := rapid.Custom(func(t *rapid.T) raft.Entry {
		e := raft.Entry{Index: rapid.Uint64().Draw(t, "index"), Term: rapid.Uint64().Draw(t, "term"), Kind: raft.EntryKind(rapid.IntRange(0, 2).Draw(t, "kind"))}
		switch e.Kind {
		case raft.EntryMember:
			e.Change = raft.MemberChange{Kind: raft.PromoteLearner, ID: rapid.Uint64().Draw(t, "id"), Address: rapid.String().Draw(t, "address")}
		case raft.EntryCommand:
			e.Data = rapid.SliceOfN(rapid.Byte(), 1, 20).Draw(t, "data")
		default:
		}
		return e
	})
	number := rapid.Uint64()
	rapid.Check(t, func(t *rapid.T) {
		m := raft.Message{
			Type: raft.MessageType(rapid.IntRange(1, 10).Draw(t, "type")), From: number.Draw(t, "from"), To: number.Draw(t, "to"),
			Term: number.Draw(t, "term"), Index: number.Draw(t, "index"), LogTerm: number.Draw(t, "logTerm"), Commit: number.Draw(t, "commit"),
			Reject: rapid.Bool().Draw(t, "reject"), RejectHint: number.Draw(t, "hint"), Token: number.Draw(t, "token"),
		}
		if entries := rapid.SliceOfN(entry, 0, 3).Draw(t, "entries"); len(entries) > 0 {
			m.Entries = entries
		}
		if rapid.Bool().Draw(t, "snapshot") {
			members := raft.Membership{Voters: []uint64{1, number.Draw(t, "voter")}, Learners: []uint64{9}}
			m.Snapshot = &raft.Snapshot{Meta: raft.SnapshotMeta{Index: number.Draw(t, "at"), Term: 2, Members: members}, Data: []byte("data")}
		}
		wire, err := messageToWire(m)
		require.NoError(t, err)
		decoded, err := messageFromWire(wire)
		require.NoError(t, err)
		require.Equal(t, m, decoded)
	})
}

// Guards against a command type whose origin does not get the leader's time: the
// time of a follower's clock would be replicated.
func TestEveryCommandGetsLeaderTime(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	origin := state.Origin{Actor: "a", Time: now.Add(time.Hour)}
	commands := []state.Command{
		state.Put{Origin: origin, Object: &model.Team{Meta: model.Meta{Kind: model.KindTeam, Name: "t"}}},
		state.Delete{Origin: origin},
		state.HostReport{Origin: origin},
		state.HostStep{Origin: origin},
		state.WaveStep{Origin: origin},
		state.TaskStep{Origin: origin},
		state.StatusStep{Origin: origin},
		state.RecordRequests{Origin: origin},
		state.Tick{Origin: origin},
	}
	s := state.New()
	for i, cmd := range commands {
		withTime, err := withOriginTime(cmd, now)
		require.NoError(t, err)
		data, err := codec.EncodeCommand(withTime)
		require.NoError(t, err)
		decoded, err := codec.DecodeCommand(data)
		require.NoError(t, err)
		s.Apply(uint64(i)+1, decoded)
		require.True(t, s.Now().Equal(now), "%T", cmd)
	}
	_, err := withOriginTime(nil, now)
	require.Error(t, err)
}

// Guards against a proposal that is answered with the result of another entry, twice
// or never.
func TestPendingProposals(t *testing.T) {
	table := pendingTable{}
	replies := map[uint64]chan outcome{}
	for index := uint64(1); index <= 4; index++ {
		replies[index] = make(chan outcome, 1)
		table[index] = pendingEntry{term: 2, reply: replies[index]}
	}
	table.resolve(1, 2, state.Result{Version: 1})
	out := <-replies[1]
	require.NoError(t, out.err)
	require.EqualValues(t, 1, out.result.Version)
	table.resolve(2, 3, state.Result{Version: 2})
	require.Equal(t, fault.Unavailable, fault.KindOf((<-replies[2]).err), "an overwritten proposal did not take effect")
	table.fail(3, fault.New(fault.OutcomeUnknown, "snapshot"))
	require.Equal(t, fault.OutcomeUnknown, fault.KindOf((<-replies[3]).err))
	require.Len(t, table, 1)
	table.resolve(3, 2, state.Result{})
	require.Empty(t, replies[3])
}

// Guards against a full queue that blocks its senders, and against an error from
// which it is unclear whether the change was queued.
func TestFullQueueIsRefusedAtOnce(t *testing.T) {
	r := New(Config{ID: 1, QueueLength: 1})
	require.NoError(t, r.enqueue(readRequest{reply: make(chan outcome, 1)}))
	_, err := r.proposeLocal(testContext(t), putTeam(1))
	require.Equal(t, fault.Overloaded, fault.KindOf(err))
}

// Guards against a call that waits for ever for a stopped replica, and against
// outcome_unknown for a change that was never proposed.
func TestStoppedReplicaRefusesCalls(t *testing.T) {
	r := New(Config{ID: 1, LeaderWait: testTimeout})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- r.Run(ctx) }()
	_, err := r.Propose(testContext(t), putTeam(1))
	require.NoError(t, err)
	cancel()
	require.NoError(t, <-ended)
	_, err = r.Propose(context.Background(), putTeam(2))
	require.Equal(t, fault.Stopping, fault.KindOf(err))
	_, err = r.ReadSnapshot(context.Background())
	require.Equal(t, fault.Stopping, fault.KindOf(err))
}

// Guards against a command that exceeds the size of a message between replicas.
func TestLargeCommandIsRefused(t *testing.T) {
	r := startSingle(t, nil)
	put := putTeam(1)
	put.Origin.Source = string(make([]byte, maxCommandBytes))
	_, err := r.Propose(testContext(t), put)
	require.Equal(t, fault.TooLarge, fault.KindOf(err))
}

// Guards against a replicated time that doesn't advance while something can expire,
// and against disk writes of an idle cluster in which nothing can.
func TestTickAdvancesTimeOnlyWhileNeeded(t *testing.T) {
	r := startSingle(t, nil)
	_, err := r.Propose(testContext(t), putTeam(1))
	require.NoError(t, err)
	before := r.Snapshot()
	require.Eventually(t, func() bool { return r.Snapshot().Now.After(before.Now) }, testTimeout, time.Millisecond)

	l := &loop{r: r, state: state.New(), changedAt: time.Now().Add(-2 * expiryHorizon)}
	require.NotPanics(t, l.proposeTick, "an idle loop must not propose, which would need a node")
}
