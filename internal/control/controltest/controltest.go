// Package controltest runs a cluster of control replicas over loopback in one
// process, each with its own data directory, for tests and measurements.
package controltest

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"sync"

	"laburnumdock/gen/laburnumdock/v1/laburnumdockv1connect"
	"laburnumdock/internal/control"
)

// Options are the options of a cluster.
type Options struct {
	// Replicas is the number of replicas.
	Replicas uint64
	// Dir is the parent of the data directories.
	Dir string
	// Listen opens the listener of a replica. The default is the function Listen.
	Listen func() (net.Listener, error)
}

// Cluster is a cluster of replicas, in the order of their IDs.
type Cluster struct {
	Replicas []*Replica
	urls     map[uint64]string
	dir      string
}

// Replica is a replica with its server.
type Replica struct {
	*control.Replica
	ID       uint64
	URL      string
	Handler  http.Handler
	server   *http.Server
	cancel   context.CancelCauseFunc
	done     chan struct{}
	killOnce sync.Once
}

// Listen opens a listener on loopback.
func Listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

// Start starts a new cluster.
func Start(o Options) (*Cluster, error) {
	if o.Listen == nil {
		o.Listen = Listen
	}
	c := &Cluster{urls: make(map[uint64]string), dir: o.Dir}
	var listeners []net.Listener
	var voters []uint64
	for id := uint64(1); id <= o.Replicas; id++ {
		l, err := o.Listen()
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, l)
		c.urls[id] = "http://" + l.Addr().String()
		voters = append(voters, id)
	}
	for i, id := range voters {
		if err := control.InitCluster(c.config(id), voters); err != nil {
			return nil, err
		}
		r, err := c.start(id, listeners[i])
		if err != nil {
			c.Close()
			return nil, err
		}
		c.Replicas = append(c.Replicas, r)
	}
	return c, nil
}

func (c *Cluster) config(id uint64) control.Config {
	return control.Config{ID: id, Cluster: "test", Peers: c.urls, Dir: filepath.Join(c.dir, fmt.Sprint("replica-", id))}
}

func (c *Cluster) start(id uint64, l net.Listener) (*Replica, error) {
	replica, err := control.Open(c.config(id))
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle(replica.RaftHandler())
	mux.Handle(laburnumdockv1connect.NewControlServiceHandler(&control.Service{Replica: replica}))
	ctx, cancel := context.WithCancelCause(context.Background())
	r := &Replica{Replica: replica, ID: id, URL: c.urls[id], Handler: mux, server: NewServer(mux), cancel: cancel, done: make(chan struct{})}
	go func() { _ = r.server.Serve(l) }()
	go func() {
		_ = replica.Run(ctx)
		close(r.done)
	}()
	return r, nil
}

// NewServer returns a server for HTTP/1.1 and for HTTP/2 without TLS.
func NewServer(h http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{Handler: h, Protocols: protocols}
}

// Kill ends a replica immediately, like a crash.
func (r *Replica) Kill() {
	r.killOnce.Do(func() {
		_ = r.server.Close()
		r.cancel(control.ErrAbandon)
	})
	<-r.done
}

// Restart starts a killed replica again with its data directory and address.
func (c *Cluster) Restart(id uint64) error {
	l, err := net.Listen("tcp", c.urls[id][len("http://"):])
	if err != nil {
		return err
	}
	r, err := c.start(id, l)
	if err != nil {
		return err
	}
	c.Replicas[id-1] = r
	return nil
}

// WaitLeader waits until a running replica is the leader and returns it.
func (c *Cluster) WaitLeader(ctx context.Context) (*Replica, error) {
	for {
		var changed []<-chan struct{}
		for _, r := range c.Replicas {
			select {
			case <-r.done:
				continue
			default:
			}
			next := r.StatusChanged()
			if r.IsLeader() {
				return r, nil
			}
			changed = append(changed, next)
		}
		if err := waitAny(ctx, changed); err != nil {
			return nil, err
		}
	}
}

// WaitFaultTolerant waits until the cluster tolerates the loss of a replica.
func (c *Cluster) WaitFaultTolerant(ctx context.Context) error {
	for {
		lead, err := c.WaitLeader(ctx)
		if err != nil {
			return err
		}
		next := lead.StatusChanged()
		if lead.Status().ToleratedLosses > 0 {
			return nil
		}
		if err := waitAny(ctx, []<-chan struct{}{next, lead.done}); err != nil {
			return err
		}
	}
}

// waitAny waits until one of the channels is closed.
func waitAny(ctx context.Context, channels []<-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	closed := make(chan struct{}, len(channels))
	for _, ch := range channels {
		go func() {
			select {
			case <-ch:
				closed <- struct{}{}
			case <-ctx.Done():
			}
		}()
	}
	select {
	case <-closed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close kills all replicas.
func (c *Cluster) Close() {
	for _, r := range c.Replicas {
		r.Kill()
	}
}
