package cli

import (
	"context"

	"github.com/urfave/cli/v3"

	"laburnumdock/internal/api"
	"laburnumdock/internal/core/model"
)

func moveCommand() *cli.Command {
	return &cli.Command{
		Name: "move", Usage: "drain a host and move it to another pool", ArgsUsage: "HOST POOL",
		Flags: verbFlags(), Action: runMove,
	}
}

func runMove(ctx context.Context, c *cli.Command) error {
	args, err := exactArgs(c, "HOST", "POOL")
	if err != nil {
		return err
	}
	return runVerb(ctx, c, model.KindHost, args[0], "move", "drains to move to pool "+args[1], api.VerbBody{Pool: args[1]})
}
