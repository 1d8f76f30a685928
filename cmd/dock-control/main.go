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
		process.Subcommand{Name: "init", Usage: "prepare the data folder of a new cluster's replica, once", Declare: initialize(false)},
		process.Subcommand{Name: "init-join", Usage: "prepare the data folder of a replica that joins a cluster, once", Declare: initialize(true)},
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

func initialize(join bool) process.Declare {
	return func(set *settings.Set) func(context.Context) error {
		s := settings.NewControl(set)
		return func(context.Context) error { return role.InitControl(s, join) }
	}
}
