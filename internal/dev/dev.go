// Package dev wires the development process: every role of the system and the
// stand-ins in one process on loopback.
package dev

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"laburnumdock/gen/laburnumdock/v1/laburnumdockv1connect"
	"laburnumdock/internal/api"
	"laburnumdock/internal/control"
	"laburnumdock/internal/entry"
	"laburnumdock/internal/logevent"
	"laburnumdock/internal/standin"
)

// Run starts everything, prints the addresses and returns when ctx ends.
func Run(ctx context.Context, out io.Writer, log *logevent.Logger) error {
	group, ctx := errgroup.WithContext(ctx)
	replica := control.New(control.Config{ID: 1, QueueLength: 1024, Log: log})
	group.Go(func() error { return replica.Run(ctx) })
	mux := http.NewServeMux()
	mux.Handle("/v1/", api.Handler(api.Config{Backend: replica, MaxBodyBytes: 1 << 20, Loopback: true}))
	mux.Handle(laburnumdockv1connect.NewControlServiceHandler(&control.Service{Replica: replica}))
	controlAddr, err := serve(ctx, group, "127.0.0.1:7101", mux)
	if err != nil {
		return err
	}
	host := entry.New(entry.Config{Name: "entry-1", QueueLength: 4096, MaxBodyBytes: 1 << 20, DefaultDeadline: 10 * time.Second, Log: log})
	group.Go(func() error { return host.Run(ctx) })
	entryAddr, err := serve(ctx, group, "127.0.0.1:7201", host.Handler())
	if err != nil {
		return err
	}
	for i := range 3 {
		ep, err := standin.NewEndpoint(standin.EndpointConfig{
			Announcement: entry.Announcement{Endpoint: fmt.Sprintf("quotes-%d", i), Host: fmt.Sprintf("host-%d", i), Service: "quotes", Epoch: 1, Slots: 8, Connections: 64},
			EntryHosts:   []string{"http://" + entryAddr},
			RunTime:      func(string) time.Duration { return 2 * time.Millisecond },
		}, "127.0.0.1:0")
		if err != nil {
			return err
		}
		group.Go(func() error { return ep.Run(ctx) })
	}
	fmt.Fprintf(out, "resource API  http://%s/v1/pools\ncallers       http://%s/v1/services/quotes/price\n\ncurl -s http://%s/v1/services/quotes/price\n", controlAddr, entryAddr, entryAddr)
	return group.Wait()
}

// serve runs an HTTP server until ctx ends and returns its address.
func serve(ctx context.Context, group *errgroup.Group, address string, handler http.Handler) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: handler, Protocols: protocols}
	group.Go(func() error {
		if err := server.Serve(l); err != http.ErrServerClosed {
			return err
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		stop, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		return server.Shutdown(stop)
	})
	return l.Addr().String(), nil
}
