package role

import (
	"context"

	metrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"laburnumdock/internal/entry"
	"laburnumdock/internal/intake"
	"laburnumdock/internal/logevent"
	"laburnumdock/internal/process"
	"laburnumdock/internal/settings"
)

// Entry runs an entry host until ctx ends and its requests have been completed.
func Entry(ctx context.Context, s *settings.Entry, log *logevent.Logger) error {
	client, err := process.NewClient(s.Client)
	if err != nil {
		return err
	}
	registry := metrics.NewRegistry()
	host := entry.New(entry.Config{
		Name: *s.Name, Peers: baseURLs(s.Client, *s.Peers), ControlReplicas: baseURLs(s.Client, *s.Control),
		QueueLength: *s.QueueLength, MaxBodyBytes: int64(*s.MaxBodyBytes),
		DefaultDeadline: *s.DefaultDeadline, MaxDeadline: *s.MaxDeadline,
		BalancerDelay: *s.BalancerDelay, DrainTimeout: *s.ShutdownLimit,
		Slack: float64(*s.ReservePercent) / percentScale, Client: client, Log: log, Metrics: registry,
	})
	return serveEntry(ctx, s, host, intake.NewGuard(s.Intake, *s.MemoryMB, entryPorts, registry, log), log)
}

// entryPorts is the number of listeners of an entry host.
const entryPorts = 2

// serveEntry runs the entry host and its listeners. The listeners stay open until
// the host has shut down.
func serveEntry(ctx context.Context, s *settings.Entry, host *entry.Host, guard *intake.Guard, log *logevent.Logger) error {
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	group, serving := errgroup.WithContext(serving)
	callerServer, err := process.Listen(s.Callers, guard, intake.Port{Handler: host.Handler(), MaxBody: int64(*s.MaxBodyBytes), PlainHTTP2: true})
	if err != nil {
		return err
	}
	peerServer, err := process.Listen(s.Peer, guard, intake.Port{Handler: host.PeerHandler(), MaxBody: s.Intake.PeerBodyBytes(*s.MemoryMB), PlainHTTP2: true, Peers: true})
	if err != nil {
		return err
	}
	log.Log(logevent.ProcessStarted, logevent.Fields{"callers": callerServer.Address(), "peer": peerServer.Address()})
	group.Go(func() error { return callerServer.Run(serving) })
	group.Go(func() error { return peerServer.Run(serving) })
	group.Go(func() error { return runWhileServing(ctx, serving, stopServing, host.Run) })
	return group.Wait()
}

// percentScale converts settings in percent to fractions.
const percentScale = 100

func baseURLs(c settings.ClientTLS, addresses []string) []string {
	var urls []string
	for _, address := range addresses {
		urls = append(urls, process.BaseURL(c, address))
	}
	return urls
}
