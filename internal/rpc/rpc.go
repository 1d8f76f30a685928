// Package rpc has the options of all RPC services of the processes. They bound what a
// message takes in memory once it is decoded.
package rpc

import "connectrpc.com/connect"

// MaxRequestBytes is the largest request of an RPC service that receives neither Raft
// messages nor streams. The largest is a configuration of 512 KB, which is also sent in its
// decoded form.
const MaxRequestBytes = 2 << 20

// ServerOptions returns the options of a service whose messages have at most maxBytes.
func ServerOptions(maxBytes int) connect.HandlerOption {
	return connect.WithHandlerOptions(connect.WithReadMaxBytes(maxBytes), connect.WithCodec(protoCodec{}), connect.WithCodec(jsonCodec{}))
}
