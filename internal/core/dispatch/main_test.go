package dispatch

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the random histories unless one is given, so that runs are repeatable.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = f.Value.Set("20260501")
	}
	os.Exit(m.Run())
}
