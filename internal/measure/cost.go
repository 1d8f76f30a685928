package measure

import (
	"context"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"
)

// retainedHeap returns the heap bytes that the result of build keeps reachable.
func retainedHeap(build func() any) float64 {
	before := liveHeap()
	result := build()
	after := liveHeap()
	runtime.KeepAlive(result)
	return max(0, float64(after)-float64(before))
}

func liveHeap() uint64 {
	// The second collection frees objects whose finalizers ran after the first.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// processorTime returns the user and system processor time of this process.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// timePerCall returns the mean time of a call in nanoseconds for each round. One
// call before the first round warms up.
func timePerCall(rounds int, duration time.Duration, call func()) []float64 {
	var list []float64
	call()
	for range rounds {
		calls := 0
		began := time.Now()
		for calls == 0 || time.Since(began) < duration {
			call()
			calls++
		}
		list = append(list, float64(time.Since(began))/float64(calls))
	}
	return list
}

// byteCounter counts the bytes read and written on the connections that its
// listeners accept or that it dials.
type byteCounter struct{ bytes atomic.Int64 }

func (c *byteCounter) listen() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return countingListener{l, c}, nil
}

func (c *byteCounter) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return countingConn{conn, c}, nil
}

type countingListener struct {
	net.Listener
	counter *byteCounter
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{conn, l.counter}, nil
}

type countingConn struct {
	net.Conn
	counter *byteCounter
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.bytes.Add(int64(n))
	return n, err
}

// addLinearFit adds the slope and intercept of a cost that was measured at
// several sizes in several rounds, as costs[round][size].
func (r *Report) addLinearFit(key, slopeUnit, interceptUnit string, sizes []float64, costs [][]float64) error {
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
