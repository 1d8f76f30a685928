package cli

import (
	"context"

	"github.com/urfave/cli/v3"

	"laburnumdock/internal/api"
	"laburnumdock/internal/core/model"
)

func cancelCommand() *cli.Command {
	return &cli.Command{
		Name: "cancel", Usage: "cancel the planned stop of a host, a wave or a job", ArgsUsage: "hosts|waves|jobs NAME",
		Flags: verbFlags(), Action: runCancel,
	}
}

func runCancel(ctx context.Context, c *cli.Command) error {
	args, err := exactArgs(c, "hosts|waves|jobs", "NAME")
	if err != nil {
		return err
	}
	switch kind := model.Kind(args[0]); kind {
	case model.KindHost, model.KindWave, model.KindJob:
		return runVerb(ctx, c, kind, args[1], "cancel", "cancelled", api.VerbBody{})
	default:
		return usagef("resources of kind %q cannot be cancelled", kind)
	}
}
