package cli

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"
)

func versionCommand() *cli.Command {
	return &cli.Command{Name: "version", Usage: "show the version of dockctl", Action: func(_ context.Context, c *cli.Command) error {
		_, err := fmt.Fprintln(c.Root().Writer, versionText())
		return err
	}}
}
