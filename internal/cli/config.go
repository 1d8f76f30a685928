package cli

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"laburnumdock/internal/settings"
)

// maxTimeout is the upper limit of the timeout setting.
const maxTimeout = 10 * time.Minute

// configSection is the section of the INI file. Its keys are the flags that all
// commands share.
const configSection = "dockctl"

func declareSettings(set *settings.Set) {
	set.String(configSection, "control", "http://127.0.0.1:7101", false, "addresses of control replicas, separated by commas")
	set.String(configSection, "token-file", "", false, "file with the bearer token")
	set.Duration(configSection, "timeout", defaultTimeout, time.Second, maxTimeout, "time for one call, with all its tries")
	set.Choice(configSection, "output", formatTable, []string{formatTable, formatJSON, formatYAML}, "format of answers")
}

// readConfig sets the shared flags from the INI file, except those that the
// command line or the environment sets.
func readConfig(ctx context.Context, c *cli.Command) (context.Context, error) {
	path := c.String("config")
	if path == "" {
		return ctx, nil
	}
	var set settings.Set
	declareSettings(&set)
	if problems := set.Load(settings.Source{Path: path}); len(problems) > 0 {
		for _, p := range problems[1:] {
			fmt.Fprintln(c.Root().ErrWriter, p)
		}
		return ctx, usagef("%s", problems[0])
	}
	for _, key := range set.Keys() {
		if c.IsSet(key.Name) {
			continue
		}
		if err := c.Set(key.Name, key.Value()); err != nil {
			return ctx, usagef("%s: [%s] %s: %s", path, key.Section, key.Name, err)
		}
	}
	return ctx, nil
}

// runRoot handles a command line without a command.
func runRoot(ctx context.Context, c *cli.Command) error {
	if !c.Bool("check-config") || c.Args().Present() {
		return missingCommand(ctx, c)
	}
	_, err := fmt.Fprintln(c.Root().Writer, "settings are correct")
	return err
}
