// Package controltest runs control replicas over loopback in one process, each
// with its files in a folder, for tests and measurements.
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

// Options say what to start.
type Options struct {
	Replicas uint64
	// Dir gets one folder per replica.
	Dir string
	// Listen opens the listener of a replica; nil listens on loopback.
	Listen func() (net.Listener, error)
}

// Cluster is some replicas by ID.
type Cluster struct {
	Replicas []*Replica
	urls     map[uint64]string
	dir      string
}

// Replica is a running replica with its server.
type Replica struct {
	*control.Replica
	ID      uint64
	URL     string
	Handler http.Handler
	server  *http.Server
	cancel  context.CancelCauseFunc
	ended   chan struct{}
	once    sync.Once
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
		r, err := c.open(id, listeners[i])
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

func (c *Cluster) open(id uint64, l net.Listener) (*Replica, error) {
	replica, err := control.Open(c.config(id))
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle(replica.RaftHandler())
	mux.Handle(laburnumdockv1connect.NewControlServiceHandler(&control.Service{Replica: replica}))
	ctx, cancel := context.WithCancelCause(context.Background())
	r := &Replica{Replica: replica, ID: id, URL: c.urls[id], Handler: mux, server: NewServer(mux), cancel: cancel, ended: make(chan struct{})}
	go func() { _ = r.server.Serve(l) }()
	go func() {
		_ = replica.Run(ctx)
		close(r.ended)
	}()
	return r, nil
}

// NewServer returns a server of HTTP/1.1 and of HTTP/2 without TLS.
func NewServer(h http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{Handler: h, Protocols: protocols}
}

// Kill ends a replica as a crash does.
func (r *Replica) Kill() {
	r.once.Do(func() {
		_ = r.server.Close()
		r.cancel(control.ErrAbandon)
	})
	<-r.ended
}

// Restart starts a killed replica again with its files and its address.
func (c *Cluster) Restart(id uint64) error {
	l, err := net.Listen("tcp", c.urls[id][len("http://"):])
	if err != nil {
		return err
	}
	r, err := c.open(id, l)
	if err != nil {
		return err
	}
	c.Replicas[id-1] = r
	return nil
}

// Leader waits until a replica that runs leads.
func (c *Cluster) WaitLeader(ctx context.Context) (*Replica, error) {
	for {
		var changed []<-chan struct{}
		for _, r := range c.Replicas {
			select {
			case <-r.ended:
				continue
			default:
			}
			next := r.StatusChanged()
			if r.IsLeader() {
				return r, nil
			}
			changed = append(changed, next)
		}
		if err := anyOf(ctx, changed); err != nil {
			return nil, err
		}
	}
}

// Settle waits until the leader can lose another replica.
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
		if err := anyOf(ctx, []<-chan struct{}{next, lead.ended}); err != nil {
			return err
		}
	}
}

// anyOf waits until one of the channels is closed.
func anyOf(ctx context.Context, list []<-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	first := make(chan struct{}, len(list))
	for _, ch := range list {
		go func() {
			select {
			case <-ch:
				first <- struct{}{}
			case <-ctx.Done():
			}
		}()
	}
	select {
	case <-first:
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
