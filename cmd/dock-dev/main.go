// Command dock-dev runs the whole system with stand-ins in one process.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"laburnumdock/internal/dev"
	"laburnumdock/internal/logevent"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	log, err := logevent.New(os.Stderr, "info", "dev", "dev")
	if err == nil {
		err = dev.Run(ctx, os.Stdout, log)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "dock-dev:", err)
		os.Exit(1)
	}
}
