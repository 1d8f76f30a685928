package measure

import (
	"context"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"
)

// heapOf returns the bytes on the heap that the result of build keeps.
func heapOf(build func() any) float64 {
	before := liveHeap()
	kept := build()
	after := liveHeap()
	runtime.KeepAlive(kept)
	return max(0, float64(after)-float64(before))
}

func liveHeap() uint64 {
	// The second collection frees what finalizers of the first released.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// processorTime is the processor time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// perCall returns the time of one call in nanoseconds for each round.
func perCall(rounds int, length time.Duration, call func()) []float64 {
	var list []float64
	call()
	for range rounds {
		calls := 0
		began := time.Now()
		for calls == 0 || time.Since(began) < length {
			call()
			calls++
		}
		list = append(list, float64(time.Since(began))/float64(calls))
	}
	return list
}

// counter counts the bytes of all connections of its listeners, both ways.
type counter struct{ bytes atomic.Int64 }

func (c *counter) listen() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return countedListener{l, c}, nil
}

func (c *counter) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return countedConn{conn, c}, nil
}

type countedListener struct {
	net.Listener
	counter *counter
}

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{conn, l.counter}, nil
}

type countedConn struct {
	net.Conn
	counter *counter
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.bytes.Add(int64(n))
	return n, err
}

// addLine adds the slope and the intercept of a cost that was measured at
// several sizes in several rounds: costs[round][size].
func (r *Report) addLine(key, slopeUnit, interceptUnit string, sizes []float64, costs [][]float64) error {
	var slopes, intercepts []float64
	for _, round := range costs {
		l, err := Fit(sizes, round)
		if err != nil {
			return err
		}
		slopes = append(slopes, l.Slope)
		intercepts = append(intercepts, l.Intercept)
	}
	r.Add(key+".slope", slopeUnit, slopes...)
	r.Add(key+".intercept", interceptUnit, intercepts...)
	return nil
}
