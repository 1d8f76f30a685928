// Command dock-entry runs an entry host.
package main

import (
	"context"

	metrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"laburnumdock/internal/entry"
	"laburnumdock/internal/process"
	"laburnumdock/internal/settings"
)

func main() {
	process.Main("dock-entry", "entry host of laburnumdock", func(set *settings.Set) func(context.Context) error {
		s := settings.NewEntry(set)
		return func(ctx context.Context) error { return run(ctx, s) }
	})
}

// run serves until ctx ends and the graceful shutdown is over.
func run(ctx context.Context, s *settings.Entry) error {
	log, err := process.Logger(s.Process, "entry")
	if err != nil {
		return err
	}
	client, err := process.NewClient(s.Client)
	if err != nil {
		return err
	}
	host := entry.New(entry.Config{
		Name: *s.Name, Peers: urls(client, *s.Peers), Controls: urls(client, *s.Control),
		QueueLength: *s.QueueLength, MaxBodyBytes: int64(*s.MaxBodyBytes),
		DefaultDeadline: *s.DefaultDeadline, MaxDeadline: *s.MaxDeadline,
		BalancerDelay: *s.BalancerDelay, DrainTimeout: *s.ShutdownLimit,
		Client: client.HTTP, Log: log, Metrics: metrics.NewRegistry(),
	})
	callers, err := process.Listen(s.Callers, host.Handler())
	if err != nil {
		return err
	}
	peers, err := process.Listen(s.Peer, host.PeerHandler())
	if err != nil {
		return err
	}
	// The listeners outlive ctx until the host has finished its shutdown.
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, serving := errgroup.WithContext(serving)
	group.Go(func() error { return callers.Run(serving) })
	group.Go(func() error { return peers.Run(serving) })
	group.Go(func() error {
		defer stop()
		hostCtx, cancel := context.WithCancel(ctx)
		defer cancel()
		// A listener that fails ends the host too.
		defer context.AfterFunc(serving, cancel)()
		return host.Run(hostCtx)
	})
	return group.Wait()
}

func urls(c *process.Client, addresses []string) []string {
	list := make([]string, 0, len(addresses))
	for _, address := range addresses {
		list = append(list, c.Scheme+"://"+address)
	}
	return list
}
