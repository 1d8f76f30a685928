// Command dock-standin runs a stand-in for the platform and the endpoints of a
// deployment, for tests and the demo.
package main

import (
	"context"

	"laburnumdock/internal/process"
	"laburnumdock/internal/role"
	"laburnumdock/internal/settings"
)

func main() {
	process.Main("dock-standin", "stand-in platform and endpoints, for tests and the demo", func(set *settings.Set) func(context.Context) error {
		s := settings.NewStandin(set)
		return func(ctx context.Context) error {
			log, err := process.Logger(s.Process, "standin")
			if err != nil {
				return err
			}
			defer log.Flush()
			fleet, err := role.NewStandin(s)
			if err != nil {
				return err
			}
			return role.Standin(ctx, s, fleet, log)
		}
	})
}
