package settings

import "time"

// Intake holds the limits for what clients hold, on all listeners of a process together.
type Intake struct {
	MemoryPercent   *int
	MaxConns        *int
	MaxHeaderBytes  *int
	MaxHeaderFields *int
	SmallBodyBytes  *int
	MaxPeerBytes    *int
	SocketBuffer    *int
	HeaderTimeout   *time.Duration
	IdleTimeout     *time.Duration
	BodyTimeout     *time.Duration
	AnswerTimeout   *time.Duration
	RoomWait        *time.Duration
	StallGrace      *time.Duration
	MinBodyRate     *int
}

// intakeKeys declares the limits. The platform's well-behaved clients send heads of at most
// 16,384 bytes within 3 s and bodies of at most 262,144 bytes, and keep idle connections for
// 15 s; no default is below that.
func intakeKeys(s *Set) Intake {
	const section = "limits"
	return Intake{
		MemoryPercent:   s.Int(section, "client-memory", 25, 5, 50, "percent", "part of memory for what clients hold; 1 GB if memory is 0"),
		MaxConns:        s.Int(section, "max-connections", 0, 0, 65_536, "connections", "connections of clients on all listeners; 0 means one per 64 KB of client-memory if memory is not 0, at most three eighths of the descriptors"),
		MaxHeaderBytes:  s.Int(section, "max-header-bytes", 20_480, 4096, 1<<20, "bytes", "largest header section of a request"),
		MaxHeaderFields: s.Int(section, "max-header-fields", 512, 16, 65_536, "fields", "largest number of header fields of a request"),
		SmallBodyBytes:  s.Int(section, "small-body-bytes", 16_384, 1024, 1<<20, "bytes", "largest body of ordinary requests, for which a quarter of client-memory is reserved"),
		MaxPeerBytes:    s.Int(section, "max-peer-body-bytes", 0, 0, 1<<30, "bytes", "largest message of other processes of the system; 0 means an eighth of memory, 64 MB if memory is 0"),
		SocketBuffer:    s.Int(section, "socket-buffer", 16_384, 4096, 4<<20, "bytes", "receive buffer and send buffer of a connection in the kernel; twice as much on listeners for replicas"),
		HeaderTimeout:   s.Duration(section, "header-timeout", 10*time.Second, 100*time.Millisecond, 10*time.Minute, "longest time for the header section of a request"),
		IdleTimeout:     s.Duration(section, "idle-timeout", 2*time.Minute, time.Second, time.Hour, "time after which an idle connection is closed"),
		BodyTimeout:     s.Duration(section, "body-timeout", 10*time.Second, 100*time.Millisecond, 10*time.Minute, "longest time in which a client sends less than 4 KB of a body"),
		AnswerTimeout:   s.Duration(section, "answer-timeout", 15*time.Second, 100*time.Millisecond, 10*time.Minute, "longest time in which a client reads less than 16 KB of an answer"),
		RoomWait:        s.Duration(section, "room-wait", 2*time.Second, 10*time.Millisecond, time.Minute, "longest time for which a request waits for client-memory"),
		StallGrace:      s.Duration(section, "stall-grace", time.Second, 10*time.Millisecond, time.Minute, "time without progress after which a connection may be closed to make room"),
		MinBodyRate:     s.Int(section, "min-body-rate", 16_384, 0, 1<<30, "bytes/s", "rate of a body below which it may be closed to make room although it makes progress"),
	}
}

const (
	// peerBodyShare is the divisor of the memory for the largest message of a peer. Several
	// copies exist while it is received and decoded.
	peerBodyShare      = 8
	unlimitedPeerBytes = 64 << 20
)

// PeerBodyBytes returns the largest message of other processes of the system for a process
// with the given memory.
func (i Intake) PeerBodyBytes(memoryMB int) int64 {
	switch {
	case *i.MaxPeerBytes > 0:
		return int64(*i.MaxPeerBytes)
	case memoryMB > 0:
		return int64(memoryMB) << 20 / peerBodyShare
	default:
		return unlimitedPeerBytes
	}
}
