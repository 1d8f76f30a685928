// Package cli implements dockctl, the operators' command line. Each sub-command
// has its own file.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/process"
)

// Exit codes.
const (
	ExitOK          = 0
	ExitRefused     = 1
	ExitUsage       = 2
	ExitConflict    = 3
	ExitNotFound    = 4
	ExitUnavailable = 5
	// ExitUnknown means that a change may have taken effect.
	ExitUnknown = 6
)

const description = `Exit codes:
   0  done
   1  refused; the message names the field and its allowed range
   2  wrong usage
   3  conflict: the resource has changed, read it again
   4  not found
   5  unavailable: nothing was changed, try again
   6  outcome unknown: the change may have taken effect, read the resource`

// defaultTimeout exceeds the longest failover, which takes 13 s.
const defaultTimeout = 20 * time.Second

// usageError is an invalid command line or configuration file.
type usageError struct{ text string }

func (e usageError) Error() string { return e.text }

func usagef(format string, args ...any) error { return usageError{fmt.Sprintf(format, args...)} }

// Run runs the command line and returns the exit code.
func Run(ctx context.Context, args []string, in io.Reader, out, errOut io.Writer) int {
	err := command(in, out, errOut).Run(ctx, args)
	if err != nil {
		fmt.Fprintln(errOut, "dockctl:", err)
	}
	return exitCode(err)
}

func command(in io.Reader, out, errOut io.Writer) *cli.Command {
	root := &cli.Command{
		Name: "dockctl", Usage: "operate a laburnumdock fleet", Description: description,
		Reader: in, Writer: out, ErrWriter: errOut,
		EnableShellCompletion: true,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Sources: cli.EnvVars("DOCK_CONFIG"), Usage: "INI file with the settings below, in the section [dockctl]"},
			&cli.BoolFlag{Name: "check-config", Usage: "check the INI file and exit"},
			&cli.StringFlag{Name: "control", Value: "http://127.0.0.1:7101", Sources: cli.EnvVars("DOCK_CONTROL"), Usage: "addresses of control replicas, separated by commas"},
			&cli.StringFlag{Name: "token-file", Sources: cli.EnvVars("DOCK_TOKEN_FILE"), Usage: "file with the bearer token"},
			&cli.DurationFlag{Name: "timeout", Value: defaultTimeout, Usage: "time for one call, with all its tries"},
			&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: formatTable, Usage: "table, json or yaml"},
		},
		Commands: []*cli.Command{
			applyCommand(), getCommand(), describeCommand(), explainCommand(), watchCommand(), deleteCommand(),
			drainCommand(), moveCommand(), cancelCommand(), waveCommand(), clusterCommand(), auditCommand(), versionCommand(),
		},
		Before:                          readConfig,
		Action:                          runRoot,
		ConfigureShellCompletionCommand: func(c *cli.Command) { c.Hidden = false },
		// Run prints errors and returns the exit code, so that the library does
		// neither.
		ExitErrHandler:  func(context.Context, *cli.Command, error) {},
		CommandNotFound: func(context.Context, *cli.Command, string) {},
	}
	forEachCommand(root, func(c *cli.Command) {
		c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error { return usageError{err.Error()} }
		if c.Action == nil {
			c.Action = missingCommand
		}
	})
	return root
}

func forEachCommand(c *cli.Command, f func(*cli.Command)) {
	f(c)
	for _, sub := range c.Commands {
		forEachCommand(sub, f)
	}
}

func missingCommand(_ context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return usagef("unknown command %q, see %s --help", c.Args().First(), c.FullName())
	}
	return usagef("missing command, see %s --help", c.FullName())
}

// exactArgs returns the arguments of a command, or an error if their number
// differs from the number of names.
func exactArgs(c *cli.Command, names ...string) ([]string, error) {
	if c.NArg() != len(names) {
		return nil, usagef("%s requires the arguments: %s", c.FullName(), strings.Join(names, " "))
	}
	return c.Args().Slice(), nil
}

// clientFromFlags returns a client configured by the shared flags.
func clientFromFlags(c *cli.Command) (*Client, error) {
	var addresses []string
	for address := range strings.SplitSeq(c.String("control"), ",") {
		if address = strings.TrimSpace(address); address == "" {
			continue
		}
		if !strings.Contains(address, "://") {
			address = "http://" + address
		}
		addresses = append(addresses, strings.TrimSuffix(address, "/"))
	}
	if len(addresses) == 0 {
		return nil, usagef("--control contains no address")
	}
	token := ""
	if path := c.String("token-file"); path != "" {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, usagef("token file: %s", err)
		}
		token = strings.TrimSpace(string(data))
	}
	return NewClient(addresses, token, c.Duration("timeout")), nil
}

// exitCode returns the exit code for the error of a command.
func exitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	if _, ok := errors.AsType[usageError](err); ok {
		return ExitUsage
	}
	switch fault.KindOf(err) {
	case fault.Conflict:
		return ExitConflict
	case fault.NotFound:
		return ExitNotFound
	case fault.Unavailable, fault.NotLeader, fault.Overloaded, fault.Stopping:
		return ExitUnavailable
	case fault.OutcomeUnknown, fault.ChangeIDExpired, fault.StorageFailed:
		return ExitUnknown
	default:
		return ExitRefused
	}
}

func versionText() string { return "dockctl " + process.Version() }
