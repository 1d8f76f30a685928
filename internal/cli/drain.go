package cli

import (
	"context"

	"github.com/urfave/cli/v3"

	"laburnumdock/internal/api"
	"laburnumdock/internal/core/model"
)

func drainCommand() *cli.Command {
	return &cli.Command{
		Name: "drain", Usage: "take a host out of service once its budget allows and its work has ended", ArgsUsage: "HOST",
		Flags:  append(verbFlags(), &cli.BoolFlag{Name: "reboot", Usage: "reboot the drained host and return it to service"}),
		Action: runDrain,
	}
}

func runDrain(ctx context.Context, c *cli.Command) error {
	args, err := exactArgs(c, "HOST")
	if err != nil {
		return err
	}
	verb := "drain"
	if c.Bool("reboot") {
		verb = "reboot"
	}
	return runVerb(ctx, c, model.KindHost, args[0], verb, "drains", api.VerbBody{})
}
