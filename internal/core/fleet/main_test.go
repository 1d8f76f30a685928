package fleet_test

import (
	"flag"
	"os"
	"testing"

	"laburnumdock/internal/core/fleet/fleettest"
)

// rapidSeed makes random histories the same in every run; a seed on the
// command line takes precedence.
const rapidSeed = "20261201"

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", rapidSeed)
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

var start = fleettest.StartTime

// world is a model of a fleet with what only these tests need.
type world struct{ *fleettest.Simulation }

func newWorld() *world { return &world{fleettest.NewSimulation()} }
