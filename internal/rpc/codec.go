package rpc

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// protoCodec is the binary codec. It refuses messages that would take far more memory than
// their bytes.
type protoCodec struct{}

// Name implements connect.Codec.
func (protoCodec) Name() string { return "proto" }

var errNotAMessage = errors.New("the value is not a protocol buffers message")

// Marshal implements connect.Codec.
func (c protoCodec) Marshal(v any) ([]byte, error) { return c.MarshalAppend(nil, v) }

// MarshalAppend appends the encoded message. Package connect uses it to reuse buffers.
func (protoCodec) MarshalAppend(data []byte, v any) ([]byte, error) {
	m, ok := v.(proto.Message)
	if !ok {
		return nil, errNotAMessage
	}
	return proto.MarshalOptions{}.MarshalAppend(data, m)
}

// Unmarshal implements connect.Codec.
func (protoCodec) Unmarshal(data []byte, v any) error {
	m, ok := v.(proto.Message)
	if !ok {
		return errNotAMessage
	}
	if err := checkDecodedSize(data, m.ProtoReflect().Descriptor()); err != nil {
		return err
	}
	return proto.Unmarshal(data, m)
}

// maxJSONBytes bounds messages in JSON, which only people send by hand.
const maxJSONBytes = 1 << 10

// jsonCodec is the JSON codec.
type jsonCodec struct{}

// Name implements connect.Codec.
func (jsonCodec) Name() string { return "json" }

// Marshal implements connect.Codec.
func (jsonCodec) Marshal(v any) ([]byte, error) {
	m, ok := v.(proto.Message)
	if !ok {
		return nil, errNotAMessage
	}
	return protojson.Marshal(m)
}

// Unmarshal implements connect.Codec.
func (jsonCodec) Unmarshal(data []byte, v any) error {
	m, ok := v.(proto.Message)
	if !ok {
		return errNotAMessage
	}
	if len(data) > maxJSONBytes {
		return fmt.Errorf("the message has %d bytes in JSON, at most %d are accepted", len(data), maxJSONBytes)
	}
	return protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(data, m)
}
