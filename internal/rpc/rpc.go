// Package rpc has the options of all RPC services and clients of the processes. They bound
// what a message takes in memory once it is decoded.
package rpc

import "connectrpc.com/connect"

// MaxRequestBytes is the largest request of an RPC service that receives neither Raft
// messages nor streams. The largest is a configuration of 512 KB, which is also sent in its
// decoded form.
const MaxRequestBytes = 2 << 20

const (
	// MaxAnswerBytes is the largest answer about jobs or members. The largest lists 1024
	// entry hosts with URLs of 256 bytes.
	MaxAnswerBytes = 512 << 10
	// MaxMessageBytes is the largest message of a stream, and the largest answer with
	// resources.
	MaxMessageBytes = 8 << 20
	// MaxAnswerHeadBytes is the largest header section of an answer.
	MaxAnswerHeadBytes = 64 << 10
)

// ServerOptions returns the options of a service whose messages have at most maxBytes.
func ServerOptions(maxBytes int) connect.HandlerOption {
	return connect.WithHandlerOptions(connect.WithReadMaxBytes(maxBytes), connect.WithCodec(protoCodec{}), connect.WithCodec(jsonCodec{}))
}

// ClientOptions returns the options of a client that reads answers of at most maxBytes.
func ClientOptions(maxBytes int) connect.ClientOption {
	return connect.WithClientOptions(connect.WithReadMaxBytes(maxBytes), connect.WithCodec(protoCodec{}))
}
