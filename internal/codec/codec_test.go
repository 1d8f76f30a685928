package codec

import (
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/jobs"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

var testTime = time.Date(2026, 3, 1, 18, 0, 0, 5, time.UTC)

func testCommands() []state.Command {
	o := state.Origin{Actor: "ana", Source: "10.0.0.1:1", Time: testTime, ChangeID: "c", IssuedAt: testTime, Digest: 7}
	host := &model.Host{Meta: model.Meta{Kind: model.KindHost, Name: "h", Version: 3, Created: testTime, Modified: testTime}}
	host.Status.Stop = &model.PlannedStop{Action: model.StopMove, TargetPool: "p", Since: testTime}
	return []state.Command{
		state.Put{Origin: o, Object: host, Expected: state.AnyVersion},
		state.Delete{Origin: o, Key: host.Key(), Expected: 3},
		state.HostReport{Origin: o, Hosts: []state.HostObservation{{Host: "h", Health: model.HealthHealthy, InFlight: 2, BootID: "b", Observed: testTime}}},
		state.HostStep{Origin: o, Host: "h", Expected: 3, To: model.HostDraining, Stop: host.Status.Stop, Reason: model.ReasonBudget},
		state.WaveStep{Origin: o, Wave: "w", Status: model.WaveStatus{Phase: model.WaveRunning, Done: []string{"h"}}},
		state.TaskStep{Origin: o, Job: "j", Tasks: []model.Task{{Index: 1, State: model.TaskRunning, LeaseUntil: testTime}}},
		state.StatusStep{Origin: o, Objects: []model.Object{host}},
		state.RecordRequests{Origin: o, Records: []state.RequestRecord{{ID: "r", Phase: state.RequestBegun, Token: "t", Digest: []byte{1}, Body: []byte{}, Expires: testTime}}},
		state.Tick{Origin: o},
	}
}

// Guards against a command that other replicas decode to a different value.
func TestCommandsRoundTrip(t *testing.T) {
	for _, cmd := range testCommands() {
		data, err := EncodeCommand(cmd)
		require.NoError(t, err)
		decoded, err := DecodeCommand(data)
		require.NoError(t, err)
		require.Equal(t, cmd, decoded)
	}
}

// Guards against replicas in different time zones that decode one time to values
// that are not equal under ==.
func TestTimesAreStoredInUTC(t *testing.T) {
	local := testTime.In(time.FixedZone("somewhere", 5*3600+1800))
	data, err := EncodeCommand(state.Tick{Origin: state.Origin{Time: local}})
	require.NoError(t, err)
	cmd, err := DecodeCommand(data)
	require.NoError(t, err)
	require.Equal(t, state.Tick{Origin: state.Origin{Time: testTime}}, cmd)
}

// Guards against a result that the encoding changes on the way from the leader
// to a follower.
func TestResultsRoundTrip(t *testing.T) {
	host := &model.Host{Meta: model.Meta{Kind: model.KindHost, Name: "h", Created: testTime, Modified: testTime}}
	for _, r := range []state.Result{
		{Version: 4, Key: host.Key(), Object: host, Replayed: true},
		{Version: 5, Key: host.Key(), Err: &fault.Error{Kind: fault.Conflict, Field: "f", Limit: "l", Message: "m", Current: 3}},
		{Version: 6, Requests: []state.RequestResult{{ID: "r", Err: fault.New(fault.InProgress, "x"), Recorded: &state.RequestRecord{ID: "r", Phase: state.RequestBegun, Expires: testTime}}}},
	} {
		data, err := EncodeResult(r)
		require.NoError(t, err)
		decoded, err := DecodeResult(data)
		require.NoError(t, err)
		require.Equal(t, r, decoded)
	}
}

// Guards against a resource whose envelope and metadata have different kinds: the
// state machine would treat a pool as a host.
func TestDecodeRejectsMismatchedKinds(t *testing.T) {
	pool := model.New(model.KindPool)
	pool.Metadata().Kind = model.KindTeam
	data, err := encodeEnvelope(string(model.KindPool), pool)
	require.NoError(t, err)
	_, err = DecodeObject(data)
	require.ErrorContains(t, err, "says that it is")
	data, err = encodeEnvelope("Purge", pool)
	require.NoError(t, err)
	_, err = DecodeCommand(data)
	require.ErrorContains(t, err, "not known")
}

// Guards against a snapshot of another format that is decoded as an empty state.
func TestDecodeDumpRejectsOtherFormats(t *testing.T) {
	data, err := encMode.Marshal(storedDump{Format: dumpFormat + 1})
	require.NoError(t, err)
	_, err = DecodeDump(data)
	require.ErrorContains(t, err, "format")
}

// Guards against bytes that crash a replica. Whatever can be decoded must also
// be possible to apply and encode.
func FuzzDecodeCommand(f *testing.F) {
	for _, cmd := range testCommands() {
		data, err := EncodeCommand(cmd)
		require.NoError(f, err)
		f.Add(data)
		f.Add(data[:len(data)/2])
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		cmd, err := DecodeCommand(data)
		if err != nil {
			return
		}
		s := state.New()
		s.Apply(1, cmd)
		_, err = EncodeDump(s.Dump())
		require.NoError(t, err)
	})
}

// Guards against a damaged snapshot that crashes a replica.
func FuzzDecodeDump(f *testing.F) {
	s := state.New()
	for i, cmd := range testCommands() {
		s.Apply(uint64(i+1), cmd)
	}
	data, err := EncodeDump(s.Dump())
	require.NoError(f, err)
	f.Add(data)
	f.Add(data[:len(data)-3])
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := DecodeDump(data)
		if err != nil {
			return
		}
		again, err := EncodeDump(state.Restore(d).Dump())
		require.NoError(t, err)
		_, err = DecodeDump(again)
		require.NoError(t, err)
	})
}

// Guards against a part of the state that is missing from snapshots: a replica
// restored from one would diverge from the others.
func TestDumpStoresEveryField(t *testing.T) {
	now := time.Date(2026, 3, 1, 18, 0, 0, 0, time.UTC)
	want := &state.Dump{
		Version: 1, Now: now, Objects: []model.Object{&model.Team{Meta: model.Meta{Kind: model.KindTeam, Name: "t"}}},
		Audit:   []state.AuditEntry{{Version: 2, Time: now, Actor: "a"}},
		Changes: []state.ChangeRecord{{ID: "c", Issued: 3}}, ChangeHorizon: 4,
		PoolChanges: []state.PoolChange{{Pool: "p", Version: 5}},
		Requests:    []state.RequestRecord{{ID: "r"}}, Jobs: jobs.New().Dump(),
	}
	fields := reflect.ValueOf(*want)
	for i := range fields.NumField() {
		require.False(t, fields.Field(i).IsZero(), "the test sets no %s", fields.Type().Field(i).Name)
	}
	data, err := EncodeDump(want)
	require.NoError(t, err)
	got, err := DecodeDump(data)
	require.NoError(t, err)
	require.Equal(t, want.PoolChanges, got.PoolChanges)
	encodedAgain, err := EncodeDump(got)
	require.NoError(t, err)
	require.Equal(t, data, encodedAgain)
	stored := reflect.ValueOf(*got)
	for i := range stored.NumField() {
		require.False(t, stored.Field(i).IsZero(), "%s is not stored", stored.Type().Field(i).Name)
	}
}
