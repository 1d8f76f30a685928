package role

import (
	"context"
	"net/http"
	"os"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"laburnumdock/internal/core/model"
	"laburnumdock/internal/intake"
	"laburnumdock/internal/logevent"
	"laburnumdock/internal/manifest"
	"laburnumdock/internal/process"
	"laburnumdock/internal/settings"
	"laburnumdock/internal/standin"
)

// leaveDelay is how long a leaving endpoint still accepts requests. It equals the
// lease of the last announcement, because an entry host that did not receive the
// departure sends requests until that lease ends.
const leaveDelay = 3 * time.Second

// NewStandin returns the stand-in fleet that a manifest describes.
func NewStandin(s *settings.Standin) (*standin.Fleet, error) {
	data, err := os.ReadFile(*s.Manifest)
	if err != nil {
		return nil, err
	}
	objects, err := manifest.Read(*s.Manifest, data)
	if err != nil {
		return nil, err
	}
	cfg := standin.FleetConfig{
		Services: make(map[string]string), Slots: *s.Slots, LeaveDelay: leaveDelay,
		RunTime:  func(kind string) time.Duration { return runTime(s, kind) },
		Platform: standin.PlatformConfig{RebootTime: *s.RebootTime, ReportLag: *s.ReportLag},
	}
	for _, address := range *s.EntryHosts {
		cfg.EntryHosts = append(cfg.EntryHosts, "http://"+address)
	}
	for _, obj := range objects {
		obj.SetDefaults()
		switch o := obj.(type) {
		case *model.Host:
			cfg.Hosts = append(cfg.Hosts, o)
		case *model.Pool:
			cfg.Services[o.Name] = o.Spec.Service
		}
	}
	return standin.NewFleet(cfg), nil
}

func runTime(s *settings.Standin, kind string) time.Duration {
	if kind == "long" {
		return *s.LongRun
	}
	return *s.ShortRun
}

// maxStandinBodyBytes is the largest body that the stand-in platform reads.
const maxStandinBodyBytes = 1 << 20

// Standin runs a stand-in fleet until ctx ends and its executors have left.
func Standin(ctx context.Context, s *settings.Standin, fleet *standin.Fleet, log *logevent.Logger) error {
	mux := http.NewServeMux()
	mux.Handle("/v1/", fleet.Handler())
	process.RegisterOpsHandlers(mux, metrics.NewRegistry(), func() error { return nil })
	server, err := process.Listen(s.Platform, intake.NewGuard(s.Intake, 0, 1, nil, log), intake.Port{Handler: mux, MaxBody: maxStandinBodyBytes, PlainHTTP2: true})
	if err != nil {
		return err
	}
	log.Log(logevent.ProcessStarted, logevent.Fields{"platform": server.Address()})
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	group, serving := errgroup.WithContext(serving)
	group.Go(func() error { return server.Run(serving) })
	group.Go(func() error { return runWhileServing(ctx, serving, stopServing, fleet.Run) })
	return group.Wait()
}
