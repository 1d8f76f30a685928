package fleet_test

import (
	"flag"
	"os"
	"testing"

	"laburnumdock/internal/core/fleet/fleettest"
)

// rapidSeed makes the random histories the same in every run. A seed on the command
// line takes precedence.
const rapidSeed = "20261201"

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", rapidSeed)
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

var startTime = fleettest.StartTime

// simulation is a simulated fleet with the helpers of these tests.
type simulation struct{ *fleettest.Simulation }

func newSimulation() *simulation { return &simulation{fleettest.NewSimulation()} }
