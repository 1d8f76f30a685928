// Command dock-dev runs a whole deployment with stand-ins in one process.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"laburnumdock/internal/dev"
	"laburnumdock/internal/logevent"
	"laburnumdock/internal/process"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := command().Run(ctx, os.Args)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "dock-dev:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name: "dock-dev", Usage: "run a deployment with stand-ins in one process", Version: process.Version(),
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Value: "examples/slidecraft", Usage: "folder with INI files and manifests"},
			&cli.StringFlag{Name: "data", Value: "data/dev", Usage: "folder for the replicas' data"},
			&cli.StringFlag{Name: "log-level", Value: "warning", Usage: "least level that is logged"},
		},
		Action: run,
		Commands: []*cli.Command{{
			Name: "demo", Usage: "run a wave under load and print what held; exit code 0 only if all held",
			Flags:  []cli.Flag{&cli.StringFlag{Name: "output", Value: "table", Usage: "table or json"}},
			Action: demo,
		}},
	}
}

func logger(c *cli.Command) (*logevent.Logger, error) {
	return logevent.New(os.Stderr, c.String("log-level"), "dev", "dev")
}

func run(ctx context.Context, c *cli.Command) error {
	log, err := logger(c)
	if err != nil {
		return err
	}
	dir := c.String("deployment")
	d, err := dev.Load(dir, filepath.Join(c.String("data"), filepath.Base(dir)))
	if err != nil {
		return err
	}
	ended := make(chan error, 1)
	running, stop := context.WithCancel(ctx)
	defer stop()
	go func() { ended <- d.Run(running, log) }()
	if err := d.SetUpFleet(running, os.Stdout); err != nil {
		stop()
		return eris.Wrap(<-ended, err.Error())
	}
	return <-ended
}

func demo(ctx context.Context, c *cli.Command) error {
	log, err := logger(c)
	if err != nil {
		return err
	}
	data, err := os.MkdirTemp("", "laburnumdock-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(data)
	d, err := dev.Load(c.String("deployment"), data, dev.DemoOverrides()...)
	if err != nil {
		return err
	}
	outcome, err := d.Demo(ctx, log, os.Stderr)
	if err != nil {
		return err
	}
	if err := print(c.String("output"), outcome); err != nil {
		return err
	}
	if !outcome.Passed() {
		return eris.New("something that must hold did not")
	}
	return nil
}

func print(format string, outcome *dev.Outcome) error {
	if format != "json" {
		return outcome.Print(os.Stdout)
	}
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(outcome)
}
