// Command dock-measure takes the figures of the project, prints them beside
// their targets and stores them as JSON.
package main

import (
	"flag"
	"fmt"
	"os"

	"laburnumdock/internal/measure"
)

func main() {
	quick := flag.Bool("quick", false, "fewer seeds, sizes and rounds")
	out := flag.String("out", "out/measure.json", "file for the figures")
	plots := flag.String("plots", "", "folder for the plots; empty draws none")
	flag.Parse()
	if err := run(*quick, *out, *plots); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "dock-measure:", err)
		os.Exit(1)
	}
}

func run(quick bool, out, plots string) error {
	r, err := measure.Run(quick)
	if err != nil {
		return err
	}
	if err := r.Print(os.Stdout); err != nil {
		return err
	}
	fmt.Printf("\n%d cores, load average %s, %.0f s\n", r.Cores, r.LoadAverage, r.Seconds)
	if err := r.Write(out); err != nil {
		return err
	}
	if plots == "" {
		return nil
	}
	return r.WritePlots(plots)
}
