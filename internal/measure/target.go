package measure

import (
	"fmt"
	"math"

	"laburnumdock/internal/evaluate"
)

// Target is a bound on a figure, stated on the design page.
type Target struct {
	Bound float64 `json:"bound"`
	Unit  string  `json:"unit"`
	// AtLeast is set for a lower bound; otherwise the bound is an upper one.
	AtLeast bool `json:"atLeast,omitempty"`
}

// Targets from section 11 of the design page, and limits from section 2 for the
// fleet size projected in two years.
var (
	targetShortVsBase   = Target{Bound: evaluate.TargetShortVsBase, Unit: "ratio"}
	targetShortVsNoLong = Target{Bound: evaluate.TargetShortVsNoLong, Unit: "ratio"}
	targetLongVsBase    = Target{Bound: evaluate.TargetLongVsBase, Unit: "ratio"}
	targetFullPlan      = Target{Bound: 100, Unit: "ms"}
	targetPlanChange    = Target{Bound: 1, Unit: "ms"}
	targetLeaderLoss    = Target{Bound: 2, Unit: "s"}
	targetRestore       = Target{Bound: 1, Unit: "s"}
	targetInForce       = Target{Bound: 1, Unit: "s"}
	targetDecisionSmall = Target{Bound: 2, Unit: "us"}
	targetDecisionLarge = Target{Bound: 5, Unit: "us"}
	targetAllocations   = Target{Bound: 0, Unit: "allocations"}
	targetAddedLatency  = Target{Bound: 1, Unit: "ms"}
	targetThroughput    = Target{Bound: 0.6, Unit: "ratio", AtLeast: true}
	limitProcessor      = Target{Bound: 1.2, Unit: "% of a core"}
	limitMemory         = Target{Bound: 64, Unit: "MB"}
	limitWire           = Target{Bound: 26, Unit: "KB/s"}
	limitHosts          = Target{Bound: 37, Unit: "hosts"}
)

// compare returns the share of the target that a value reaches, and the
// verdict. The share is finite, because JSON can't encode infinity.
func (t Target) compare(value float64) (float64, Verdict) {
	if t.Bound == value {
		return 1, Pass
	}
	share := t.Bound / value
	if t.AtLeast {
		share = value / t.Bound
	}
	if math.IsInf(share, 0) || math.IsNaN(share) {
		share = math.MaxFloat64
	}
	if t.AtLeast && value < t.Bound || !t.AtLeast && value > t.Bound {
		return share, Miss
	}
	return share, Pass
}

func (t Target) String() string {
	if t.AtLeast {
		return fmt.Sprintf(">= %g", t.Bound)
	}
	return fmt.Sprintf("<= %g", t.Bound)
}
