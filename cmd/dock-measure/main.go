// Command dock-measure runs the project's measurements, prints the results beside
// their targets and stores them as JSON.
package main

import (
	"flag"
	"fmt"
	"os"

	"laburnumdock/internal/measure"
)

func main() {
	quick := flag.Bool("quick", false, "run with fewer seeds, sizes and rounds")
	out := flag.String("out", "out/measure.json", "file for the results")
	plots := flag.String("plots", "", "directory for the plots; no plots if empty")
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
