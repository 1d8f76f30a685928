package rpc

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"

	pb "laburnumdock/gen/laburnumdock/v1"
)

// Guards against messages that take far more memory than their bytes.
func TestMessagesWithTooManyParts(t *testing.T) {
	const listOne, listTwo, listThree, listFour = "\x0a\x00", "\x12\x00", "\x1a\x00", "\x22\x00"
	for _, one := range []struct {
		message proto.Message
		data    string
	}{
		{new(pb.ReportRequest), strings.Repeat(listOne, 100_000)},
		{new(pb.DeliverRequest), strings.Repeat(listTwo, 100_000)},
		{new(pb.ExchangeRequest), strings.Repeat(listThree, 100_000)},
		{new(pb.ExchangeRequest), strings.Repeat(listFour, 100_000)},
		{new(pb.CarryOutRequest), strings.Repeat(listOne, 100_000)},
		{new(pb.RecordRequestsRequest), strings.Repeat(listOne, 100_000)},
		// A message of which one part has too many parts.
		{new(pb.DeliverRequest), "\x12\xc0\x9a\x0c" + strings.Repeat("\x5a\x00", 100_000)},
	} {
		require.ErrorContains(t, protoCodec{}.Unmarshal([]byte(one.data), one.message), "too many parts", "%T", one.message)
	}
	require.Error(t, protoCodec{}.Unmarshal([]byte("\x0a\x05x"), new(pb.ReportRequest)))
	require.Error(t, jsonCodec{}.Unmarshal([]byte(`{"reports":[`+strings.Repeat("{},", maxJSONBytes)+`{}]}`), new(pb.ReportRequest)))
}

// Guards against a message type that is too large for messages of uncheckedBytes to be left
// unchecked.
func TestUncheckedMessagesAreSmall(t *testing.T) {
	const leastElementBytes = 2
	n := 0
	protoregistry.GlobalTypes.RangeMessages(func(mt protoreflect.MessageType) bool {
		if d := mt.Descriptor(); d.ParentFile().Package() == "laburnumdock.v1" {
			n++
			require.LessOrEqual(t, (structSize(d)+pointerBytes)*(uncheckedBytes/leastElementBytes), freeDecodedBytes, d.Name())
		}
		return true
	})
	require.Positive(t, n)
}

// Guards against limits that refuse the messages of the largest fleet.
func TestLargestMessages(t *testing.T) {
	const executors, entries, rows = 16_000, 4096, 5000
	use, reports := new(pb.ExchangeRequest), new(pb.ReportRequest)
	for i := range executors {
		use.Use = append(use.Use, &pb.SlotUse{Endpoint: fmt.Sprintf("e%d", i)})
		reports.Reports = append(reports.Reports, &pb.ExecutorReport{Id: fmt.Sprintf("i-%d", i), Sequence: 1, Pool: "p", Address: "10.0.0.1:80", Zone: "z", Cpu: 1})
	}
	deliver := &pb.DeliverRequest{ClusterId: "c"}
	message := new(pb.RaftMessage)
	for i := range entries {
		message.Entries = append(message.Entries, &pb.RaftEntry{Index: uint64(i + 1000), Term: 3, Data: []byte("command of 20 bytes.")})
	}
	deliver.Messages = append(deliver.Messages, message, &pb.RaftMessage{Snapshot: &pb.RaftSnapshot{Data: bytes.Repeat([]byte("x"), 1<<20)}})
	outcome := new(pb.OrderOutcome)
	for i := range rows {
		outcome.Running = append(outcome.Running, &pb.RunningTask{Task: fmt.Sprintf("%016x.0.0.0", i), Run: 1})
	}
	for _, m := range []proto.Message{use, reports, deliver, &pb.CarryOutResponse{Outcomes: []*pb.OrderOutcome{outcome}}, new(pb.MembersRequest)} {
		data, err := protoCodec{}.Marshal(m)
		require.NoError(t, err)
		decoded := m.ProtoReflect().New().Interface()
		require.NoError(t, protoCodec{}.Unmarshal(data, decoded))
		require.True(t, proto.Equal(m, decoded))
	}
	data, err := jsonCodec{}.Marshal(&pb.MembersRequest{EntryHost: "http://h"})
	require.NoError(t, err)
	decoded := new(pb.MembersRequest)
	require.NoError(t, jsonCodec{}.Unmarshal(data, decoded))
	require.Equal(t, "http://h", decoded.GetEntryHost())
}

// BenchmarkUnmarshal measures what the check of the size costs.
func BenchmarkUnmarshal(b *testing.B) {
	reports := new(pb.ReportRequest)
	for i := range 100 {
		reports.Reports = append(reports.Reports, &pb.ExecutorReport{Id: fmt.Sprintf("i-%016x", i), Sequence: 1, Pool: "pool", Address: "10.0.0.1:8080", Zone: "zone-a", Cpu: 1000, MemoryMb: 1000})
	}
	data, err := protoCodec{}.Marshal(reports)
	require.NoError(b, err)
	b.Run("plain", func(b *testing.B) {
		for b.Loop() {
			_ = proto.Unmarshal(data, new(pb.ReportRequest))
		}
	})
	b.Run("bounded", func(b *testing.B) {
		for b.Loop() {
			_ = protoCodec{}.Unmarshal(data, new(pb.ReportRequest))
		}
	})
}
