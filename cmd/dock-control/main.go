// Command dock-control runs a control replica.
package main

import (
	"context"

	"laburnumdock/internal/process"
	"laburnumdock/internal/role"
	"laburnumdock/internal/settings"
)

func main() {
	process.Main("dock-control", "control replica of laburnumdock", run,
		process.Subcommand{Name: "init", Usage: "initialize the data directory of a replica of a new cluster, once", Declare: declareInit(false)},
		process.Subcommand{Name: "init-join", Usage: "initialize the data directory of a replica that joins a cluster, once", Declare: declareInit(true)},
	)
}

func run(set *settings.Set) func(context.Context) error {
	s := settings.NewControl(set)
	return func(ctx context.Context) error {
		log, err := process.Logger(s.Process, "control")
		if err != nil {
			return err
		}
		defer log.Flush()
		return role.Control(ctx, s, log)
	}
}

func declareInit(join bool) process.Declare {
	return func(set *settings.Set) func(context.Context) error {
		s := settings.NewControl(set)
		return func(context.Context) error { return role.InitControl(s, join) }
	}
}
