// Package role assembles each role of the system from its settings: the core
// without input or output, the loops that drive it, and the listeners.
package role

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"laburnumdock/gen/laburnumdock/v1/laburnumdockv1connect"
	"laburnumdock/internal/api"
	"laburnumdock/internal/control"
	"laburnumdock/internal/controller"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/intake"
	"laburnumdock/internal/logevent"
	"laburnumdock/internal/platform"
	"laburnumdock/internal/process"
	"laburnumdock/internal/rpc"
	"laburnumdock/internal/settings"
)

// Control runs a control replica until ctx ends.
func Control(ctx context.Context, s *settings.Control, log *logevent.Logger) error {
	registry := metrics.NewRegistry()
	cfg, err := replicaConfig(s, log, registry)
	if err != nil {
		return err
	}
	var replica *control.Replica
	err = control.RetryWhileRefused(ctx, log, func() error {
		var err error
		replica, err = control.Open(cfg)
		return err
	})
	if errors.Is(err, context.Canceled) {
		return nil
	}
	if err != nil {
		return err
	}
	fleetController := newController(s, replica, log, registry)
	// The listeners are those for operators and for other processes.
	const listeners = 2
	guard := intake.NewGuard(s.Intake, *s.MemoryMB, listeners, registry, log)
	operators, err := operatorsHandler(ctx, s, replica, fleetController, guard, log, registry)
	if err != nil {
		return err
	}
	return serveReplica(ctx, s, replica, operators, fleetController, guard, log)
}

// newController returns the controller of the replica, or nil if the settings
// name no platform.
func newController(s *settings.Control, replica *control.Replica, log *logevent.Logger, registry metrics.Registry) *controller.Controller {
	if *s.PlatformURL == "" {
		return nil
	}
	return controller.New(controller.Config{
		Backend: replica, Platform: platform.New(*s.PlatformURL), Interval: *s.PlanInterval, Metrics: registry, Log: log,
	})
}

// serveReplica runs the replica and its listeners. The listeners stay open until
// the replica has transferred its leadership.
func serveReplica(ctx context.Context, s *settings.Control, replica *control.Replica, operators http.Handler, fleetController *controller.Controller, guard *intake.Guard, log *logevent.Logger) error {
	peers := http.NewServeMux()
	peers.Handle(replica.RaftHandler())
	service := &control.Service{Replica: replica}
	if fleetController != nil {
		service.HandleLoads = fleetController.EnqueueLoads
	}
	peers.Handle(laburnumdockv1connect.NewControlServiceHandler(service, rpc.ServerOptions(rpc.MaxMessageBytes)))
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	group, serving := errgroup.WithContext(serving)
	listeners := []listenerSpec{
		{s.API, intake.Port{Handler: operators, MaxBody: int64(*s.MaxBodyBytes), PlainHTTP2: true}},
		{s.Peer, intake.Port{Handler: peers, MaxBody: s.Intake.PeerBodyBytes(*s.MemoryMB), PlainHTTP2: true, Streams: true, Peers: true}},
	}
	if err := listenAll(group, serving, guard, listeners); err != nil {
		return err
	}
	log.Log(logevent.ProcessStarted, logevent.Fields{"api": *s.API.Address, "peer": *s.Peer.Address})
	if fleetController != nil {
		group.Go(func() error { return fleetController.Run(serving) })
	}
	group.Go(func() error { return runWhileServing(ctx, serving, stopServing, replica.Run) })
	err := group.Wait()
	log.Log(logevent.ProcessStopped, nil)
	return err
}

// runWhileServing runs a role whose listeners stay open after ctx ends, so that
// the role can complete its shutdown. The role also ends if a listener fails.
func runWhileServing(ctx, serving context.Context, stopServing func(), run func(context.Context) error) error {
	defer stopServing()
	running, stop := context.WithCancel(ctx)
	defer stop()
	defer context.AfterFunc(serving, stop)()
	return run(running)
}

func operatorsHandler(ctx context.Context, s *settings.Control, replica *control.Replica, fleetController *controller.Controller, guard *intake.Guard, log *logevent.Logger, registry metrics.Registry) (http.Handler, error) {
	cfg := api.Config{
		Backend: replica, MaxBodyBytes: int64(*s.MaxBodyBytes), Loopback: api.IsLoopback(*s.API.Address),
		Cluster: clusterAdapter{replica}, Log: log, Stopping: ctx.Done(),
		Watch: api.WatchLimits{MaxWatchers: min(api.DefaultMaxWatchers, guard.MaxStreams())},
	}
	if fleetController != nil {
		cfg.Explainer = fleetController
	}
	if *s.TokenFile != "" {
		tokens, err := api.LoadTokens(*s.TokenFile)
		if err != nil {
			return nil, err
		}
		cfg.Tokens = tokens
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/", api.Handler(cfg))
	process.RegisterOpsHandlers(mux, registry, func() error { return checkReplicaReady(replica) })
	return mux, nil
}

func checkReplicaReady(replica *control.Replica) error {
	status := replica.Status()
	switch {
	case status.StorageError != nil:
		return fault.New(fault.StorageFailed, "%s", status.StorageError.Error())
	case status.Stopping:
		return fault.New(fault.Stopping, "replica is stopping")
	case status.Leader == 0:
		return fault.New(fault.Unavailable, "no leader is known")
	}
	return nil
}

// InitControl initializes the data directory of a new replica. It runs once for a
// replica, before the first start.
func InitControl(s *settings.Control, join bool) error {
	cfg, err := replicaConfig(s, logevent.Discard(), metrics.NewRegistry())
	if err != nil {
		return err
	}
	if join {
		return control.InitJoin(cfg)
	}
	var voters []uint64
	for id := range cfg.Peers {
		voters = append(voters, id)
	}
	return control.InitCluster(cfg, voters)
}

func replicaConfig(s *settings.Control, log *logevent.Logger, registry metrics.Registry) (control.Config, error) {
	peers, err := voterURLs(s)
	if err != nil {
		return control.Config{}, err
	}
	tlsConfig, err := process.ClientTLS(s.Client)
	if err != nil {
		return control.Config{}, err
	}
	return control.Config{
		ID: uint64(*s.ID), Cluster: *s.ClusterID, Peers: peers, Dir: *s.DataDir, QueueLength: *s.QueueLength,
		Tick: *s.HeartbeatInterval, HeartbeatTicks: 1,
		ElectionTicks:   max(2, int(*s.ElectionTimeout / *s.HeartbeatInterval)),
		SnapshotEntries: uint64(*s.SnapshotEntries), TLS: tlsConfig, Metrics: registry, Log: log,
	}, nil
}

// voterURLs parses the list of voters, each in the form id=address.
func voterURLs(s *settings.Control) (map[uint64]string, error) {
	urls := make(map[uint64]string, len(*s.Voters))
	for _, text := range *s.Voters {
		number, address, found := strings.Cut(text, "=")
		id, err := strconv.ParseUint(number, 10, 64)
		if !found || err != nil || id == 0 {
			return nil, eris.Errorf("[control] voters: %q is not id=address", text)
		}
		urls[id] = process.BaseURL(s.Client, address)
	}
	return urls, nil
}
