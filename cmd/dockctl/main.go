// Command dockctl is the operators' command line.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"laburnumdock/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cli.Run(ctx, os.Args, os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
