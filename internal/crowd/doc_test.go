// Package crowd tests the system's processes against clients that keep to no limits. Each
// test starts the processes on loopback, lets a crowd of one kind stand on all ports of one
// process, and checks that the process lives, that its memory and its descriptors stay
// within its host's, and that an ordinary request is answered afterwards. Times and shares
// of served requests are not checked.
package crowd

import (
	"fmt"
	"os"
	"strconv"
	"time"
)

// host is the host of a process under test. The bounds of the tests are its limits.
type host struct {
	memoryMB int
	// descriptors is the hard limit, of which reservedDescriptors must stay free for the
	// files of the process and its own calls.
	descriptors int
	// limits are lines of the settings.
	limits []string
}

// testHost is the host of most tests. A run by hand may name another one.
var testHost = host{
	memoryMB: fromEnvironment("CROWD_MEMORY_MB", 96), descriptors: fromEnvironment("CROWD_DESCRIPTORS", 384),
	limits: []string{"[limits]", fmt.Sprintf("max-body-bytes = %d", maxBodyBytes)},
}

// crowdSize is the number of connections of a crowd over all ports of a process. It is
// more than the process has descriptors for.
var crowdSize = fromEnvironment("CROWD_SIZE", 480)

// ordinaryRequests is the number of ordinary requests that are sent while a crowd stands, to
// see how many are answered. No check depends on it.
var ordinaryRequests = fromEnvironment("CROWD_REQUESTS", 0)

func fromEnvironment(name string, value int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return value
}

const (
	reservedDescriptors = 32
	// maxBodyBytes is the largest body that the processes under test accept.
	maxBodyBytes = 1 << 20
	// streamsPerConn is the number of requests of a crowd on one HTTP/2 connection.
	streamsPerConn = 10
	// sendTime is how long a member of the crowd tries to send what it wants to send.
	sendTime = 2 * time.Second
	// standTime is how long a crowd stays after its last member has sent what it can.
	standTime = time.Second
	// waitTimeout bounds waits on a busy machine. No check depends on its value.
	waitTimeout = 60 * time.Second
	// ordinaryInterval is the time between two of the ordinary requests that are counted.
	ordinaryInterval = 250 * time.Millisecond
	// configBytes is the size of the largest configuration inside the platform's limits.
	configBytes = 262_144
)
