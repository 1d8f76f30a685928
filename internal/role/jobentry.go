package role

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/intake"
	"laburnumdock/internal/jobclient"
	"laburnumdock/internal/logevent"
	"laburnumdock/internal/process"
	"laburnumdock/internal/settings"
)

// balancerDelay is how long the platform's load balancer may still send connections
// to an entry host that is no longer ready. The balancer checks every second and
// acts after two failed checks.
const balancerDelay = 3 * time.Second

// relayHeadBytes is how much larger a relayed request may be than the body of its caller,
// because it has the path and the fields of the job.
const relayHeadBytes = 64 << 10

// JobEntry runs an entry host for jobs until ctx ends. The function handler returns
// the handler for callers.
func JobEntry(ctx context.Context, s *settings.JobEntry, log *logevent.Logger, handler func(*jobclient.Client) http.Handler) error {
	seeds, err := peerURLs(*s.Seeds, *s.PeerPort)
	if err != nil {
		return err
	}
	registry := metrics.NewRegistry()
	client := jobclient.New(jobclient.Config{Seeds: seeds, Self: "http://" + *s.Peer.Address, LeaderWait: *s.LeaderWait, Log: log})
	readiness := &jobEntryReadiness{client: client}
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	group, serving := errgroup.WithContext(serving)
	maxBody := int64(*s.MaxBodyBytes)
	listeners := []listenerSpec{
		{s.Callers, intake.Port{Handler: handler(client), MaxBody: maxBody}},
		{s.Peer, intake.Port{Handler: client.RelayHandler(), MaxBody: maxBody + relayHeadBytes, PlainHTTP2: true, Peers: true}},
		{settings.PlainListener(*s.Ready), opsPort(registry, readiness.check)},
	}
	if *s.Metrics != "" {
		listeners = append(listeners, listenerSpec{settings.PlainListener(*s.Metrics), opsPort(registry, readiness.check)})
	}
	guard := intake.NewGuard(s.Intake, *s.MemoryMB, len(listeners), registry, log)
	if err := listenAll(group, serving, guard, listeners); err != nil {
		return err
	}
	log.Log(logevent.ProcessStarted, logevent.Fields{"callers": *s.Callers.Address, "ready": *s.Ready})
	group.Go(func() error { return client.Run(serving) })
	group.Go(func() error {
		process.WatchSettings(serving, log, settings.NewJobEntry, func(s *settings.JobEntry) { updateSeeds(client, *s.Seeds, *s.PeerPort, log) })
		return nil
	})
	group.Go(func() error {
		defer stopServing()
		select {
		case <-ctx.Done():
		case <-serving.Done():
			return nil
		}
		readiness.stopping.Store(true)
		log.Log(logevent.ProcessStopping, nil)
		// The balancer stops sending connections before the listener closes.
		select {
		case <-time.After(min(balancerDelay, *s.ShutdownLimit/2)):
		case <-serving.Done():
		}
		return nil
	})
	err = group.Wait()
	log.Log(logevent.ProcessStopped, nil)
	return err
}

// jobEntryReadiness is the readiness of an entry host for jobs.
type jobEntryReadiness struct {
	client   *jobclient.Client
	stopping atomic.Bool
}

// check returns the reason why the entry host should get no new connections, or
// nil.
func (r *jobEntryReadiness) check() error {
	switch {
	case r.stopping.Load():
		return fault.New(fault.Stopping, "the entry host is stopping")
	case !r.client.HasLeader():
		return fault.New(fault.Unavailable, "no leader is known")
	}
	return nil
}
