package role

import (
	"context"
	"net"
	"net/http"
	"strconv"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"laburnumdock/internal/cell"
	"laburnumdock/internal/core/manager"
	"laburnumdock/internal/intake"
	"laburnumdock/internal/logevent"
	"laburnumdock/internal/orders"
	"laburnumdock/internal/process"
	"laburnumdock/internal/settings"
)

// CellPlatform is the adapter of a cell's replica to the platform.
type CellPlatform struct {
	Client orders.PlatformClient
	// Metrics is the registry of the whole process.
	Metrics metrics.Registry
	// Handler returns the handler for executors and operators.
	Handler func(c *CellHost) http.Handler
}

// CellHost is a replica of a cell with the port of its listener for executors.
type CellHost struct {
	*cell.Cell
	executorsPort string
}

// ReportAddress returns the address to which executors should report. It is the
// leader's, which avoids forwarding, or "" while no leader is known.
func (h *CellHost) ReportAddress() string {
	host, ok := peerHost(h.LeaderURL())
	if !ok {
		return ""
	}
	return net.JoinHostPort(host, h.executorsPort)
}

// peerHost returns the host of a base URL, or false if there is none.
func peerHost(url string) (string, bool) {
	const scheme = "http://"
	if len(url) <= len(scheme) {
		return "", false
	}
	host, _, err := net.SplitHostPort(url[len(scheme):])
	return host, err == nil
}

// Cell runs a replica of a cell until ctx ends.
func Cell(ctx context.Context, s *settings.Cell, log *logevent.Logger, platform CellPlatform) error {
	registry := platform.Metrics
	cfg, err := cellConfig(s, log, registry, platform.Client)
	if err != nil {
		return err
	}
	_, port, err := net.SplitHostPort(*s.Executors.Address)
	if err != nil {
		return eris.Wrap(err, "[executors] listen")
	}
	return cell.RunUntilStopped(ctx, cfg, func(ctx context.Context, c *cell.Cell) error {
		host := &CellHost{Cell: c, executorsPort: port}
		return serveCell(ctx, s, host, platform.Handler(host), registry, log)
	})
}

// serveCell runs the replica and its listeners. The listeners stay open until the
// replica has transferred its leadership.
func serveCell(ctx context.Context, s *settings.Cell, host *CellHost, executors http.Handler, registry metrics.Registry, log *logevent.Logger) error {
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	group, serving := errgroup.WithContext(serving)
	listeners := []listenerSpec{
		{s.Executors, intake.Port{Handler: executors, MaxBody: int64(*s.MaxBodyBytes)}},
		{s.Peer, intake.Port{Handler: host.Handler(), MaxBody: s.Intake.PeerBodyBytes(*s.MemoryMB), PlainHTTP2: true, Streams: true, Peers: true}},
	}
	if *s.Metrics != "" {
		listeners = append(listeners, listenerSpec{settings.PlainListener(*s.Metrics), opsPort(registry, func() error { return nil })})
	}
	guard := intake.NewGuard(s.Intake, *s.MemoryMB, len(listeners), registry, log)
	if err := listenAll(group, serving, guard, listeners); err != nil {
		return err
	}
	log.Log(logevent.ProcessStarted, logevent.Fields{"executors": *s.Executors.Address, "peer": *s.Peer.Address})
	group.Go(func() error { return runWhileServing(ctx, serving, stopServing, host.Run) })
	group.Go(func() error {
		process.WatchSettings(serving, log, settings.NewCell, func(s *settings.Cell) { updateSeeds(host, *s.Seeds, *s.PeerPort, log) })
		return nil
	})
	err := group.Wait()
	log.Log(logevent.ProcessStopped, nil)
	return err
}

// listenerSpec is one listener with what it serves.
type listenerSpec struct {
	listener settings.Listener
	port     intake.Port
}

// listenAll opens the listeners and serves them in the group.
func listenAll(group *errgroup.Group, ctx context.Context, guard *intake.Guard, listeners []listenerSpec) error {
	for _, l := range listeners {
		server, err := process.Listen(l.listener, guard, l.port)
		if err != nil {
			return err
		}
		group.Go(func() error { return server.Run(ctx) })
	}
	return nil
}

// maxOpsBodyBytes is the largest body on a port for operations, whose requests have none.
const maxOpsBodyBytes = 1 << 10

func opsPort(registry metrics.Registry, ready func() error) intake.Port {
	mux := http.NewServeMux()
	process.RegisterOpsHandlers(mux, registry, ready)
	return intake.Port{Handler: mux, MaxBody: maxOpsBodyBytes}
}

func cellConfig(s *settings.Cell, log *logevent.Logger, registry metrics.Registry, client orders.PlatformClient) (cell.Config, error) {
	seeds, err := peerURLs(*s.Seeds, *s.PeerPort)
	if err != nil {
		return cell.Config{}, err
	}
	return cell.Config{
		Cluster: *s.ClusterID, Dir: *s.DataDir, SelfURL: "http://" + *s.Peer.Address, SeedURLs: seeds, Bootstrap: *s.Bootstrap,
		ElectionTimeout: *s.ElectionTimeout, ToleratedLosses: *s.ToleratedLosses, QueueLength: *s.QueueLength, PlatformClient: client, Metrics: registry, Log: log,
		Manager: manager.Config{
			MaxLease: *s.MaxLease, HostLease: *s.HostLease,
			MoveTime: *s.MoveTime, UpkeepTime: *s.UpkeepTime,
			ReportInterval: *s.ReportInterval, Retention: *s.Retention, HasHostAPI: *s.HostsAPI != "",
		},
	}, nil
}

// updateSeeds applies the seeds of reloaded settings.
func updateSeeds(target interface{ SetSeeds([]string) }, seeds []string, port int, log *logevent.Logger) {
	urls, err := peerURLs(seeds, port)
	if err != nil {
		log.Err(logevent.SettingsRefused, err, nil)
		return
	}
	target.SetSeeds(urls)
}

// peerURLs returns the base URLs of the peer listeners on the hosts of the
// addresses. The peer port is the same on all hosts.
func peerURLs(addresses []string, port int) ([]string, error) {
	urls := make([]string, 0, len(addresses))
	for _, address := range addresses {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, eris.Wrapf(err, "[cell] seeds: %q", address)
		}
		urls = append(urls, "http://"+net.JoinHostPort(host, strconv.Itoa(port)))
	}
	return urls, nil
}
