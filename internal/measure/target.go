package measure

import (
	"fmt"
	"math"

	"laburnumdock/internal/evaluate"
)

// Target is a bound of the design page.
type Target struct {
	Bound float64 `json:"bound"`
	Unit  string  `json:"unit"`
	// AtLeast marks a lower bound.
	AtLeast bool `json:"atLeast,omitempty"`
}

// The targets of the design page, section 11.
var (
	targetShortVsBase   = Target{Bound: evaluate.TargetShortVsBase, Unit: "ratio"}
	targetShortVsNoLong = Target{Bound: evaluate.TargetShortVsNoLong, Unit: "ratio"}
	targetLongVsBase    = Target{Bound: evaluate.TargetLongVsBase, Unit: "ratio"}
)

// judge returns the share by which a figure meets the target.
func (t Target) judge(value float64) (float64, Verdict) {
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
