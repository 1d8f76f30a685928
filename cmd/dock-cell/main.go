// Command dock-cell runs a control replica that joins its cell automatically and
// manages the jobs of the users' platform.
package main

import (
	"context"
	"net/http"

	metrics "github.com/rcrowley/go-metrics"

	"laburnumdock/internal/logevent"
	"laburnumdock/internal/process"
	"laburnumdock/internal/role"
	"laburnumdock/internal/settings"
	"laburnumdock/platform"
)

func main() {
	process.Main("dock-cell", "control replica of laburnumdock on the users' platform", func(set *settings.Set) func(context.Context) error {
		s := settings.NewCell(set)
		return func(ctx context.Context) error {
			log, err := process.Logger(s.Process, "cell")
			if err != nil {
				return err
			}
			defer log.Flush()
			return role.Cell(ctx, s, log, adapter(s, log, metrics.NewRegistry()))
		}
	})
}

func adapter(s *settings.Cell, log *logevent.Logger, registry metrics.Registry) role.CellPlatform {
	return role.CellPlatform{
		Metrics: registry,
		Client:  platform.NewClient(platform.ClientConfig{HostsAPI: *s.HostsAPI, Advisor: *s.Advisor, Holder: *s.Name, Log: log, Metrics: registry}),
		Handler: func(c *role.CellHost) http.Handler {
			return platform.ControlHandler(c, int64(*s.MaxBodyBytes), log, registry)
		},
	}
}
