package explain

import (
	"fmt"
	"time"

	"laburnumdock/internal/core/model"
)

// kindNames are the singular names of the kinds.
var kindNames = map[model.Kind]string{
	model.KindPool: "pool", model.KindHost: "host", model.KindJob: "job", model.KindBudget: "budget",
	model.KindWave: "wave", model.KindTeam: "team", model.KindConfig: "config",
}

// Sentence returns a wait as a sentence, such as "host sc-05 waits for budget of
// pool dispatch: 7 of 8 healthy, 7 needed, 1 of 1 planned stops in use".
func Sentence(w Wait) string {
	text := kindNames[w.Kind] + " " + w.Name
	if w.Tasks > 0 {
		text += fmt.Sprintf(", %d of its tasks:", w.Tasks)
	}
	text += " " + reasonClause(w)
	if w.Message != "" {
		text += " (" + w.Message + ")"
	}
	return text
}

// reasonClause returns the part of a sentence that states the reason.
func reasonClause(w Wait) string {
	switch w.Reason {
	case model.ReasonBudget:
		return fmt.Sprintf("waits for budget of pool %s: %s, %d of %d planned stops in use", w.Pool, healthyFigures(w), w.PlannedStops, w.MaxPlannedStops)
	case model.ReasonBudgetBroken:
		return fmt.Sprintf("waits because failures broke the budget of pool %s: %s", w.Pool, healthyFigures(w))
	case model.ReasonRackSurvival:
		return fmt.Sprintf("waits because pool %s would not survive the loss of a rack: %s", w.Pool, healthyFigures(w))
	case model.ReasonZoneSurvival:
		return fmt.Sprintf("waits because pool %s would not survive the loss of an availability zone: %s", w.Pool, healthyFigures(w))
	case model.ReasonSurgeReserve:
		return fmt.Sprintf("waits because pool %s keeps a reserve for a surge: %s", w.Pool, healthyFigures(w))
	case model.ReasonWorkInFlight:
		return fmt.Sprintf("waits for %d requests or tasks in flight", w.InFlight)
	case model.ReasonQuarantined:
		return "is in quarantine until " + w.Until.UTC().Format(time.RFC3339)
	case model.ReasonBackoff:
		return "waits after a failure until " + w.Until.UTC().Format(time.RFC3339)
	default:
		return reasonClauses[w.Reason]
	}
}

// healthyFigures returns the numbers of healthy, existing and needed hosts of a
// pool.
func healthyFigures(w Wait) string {
	return fmt.Sprintf("%d of %d healthy, %d needed", w.Healthy, w.Hosts, w.Needed)
}

// reasonClauses are the clauses of the reasons without figures.
var reasonClauses = map[model.Reason]string{
	model.ReasonParallelLimit:     "waits because as many hosts are stopped as the wave allows",
	model.ReasonStraggler:         "waits for a straggler",
	model.ReasonRebooting:         "reboots",
	model.ReasonReturning:         "waits for a health report after its reboot",
	model.ReasonPaused:            "is paused by an operator",
	model.ReasonCorrelatedFailure: "is paused because hosts failed together",
	model.ReasonEarlierZone:       "waits for an earlier availability zone",
	model.ReasonHealthUnknown:     "has sent no recent report, its health is unknown",
	model.ReasonDwell:             "waits because its minimum stay in the pool is not over",
	model.ReasonNoSpare:           "waits for a spare host",
	model.ReasonNoCapacity:        "waits for free capacity",
	model.ReasonNeverFits:         "fits no host of its pool",
	model.ReasonQuota:             "waits because the quota of its team is used up",
	model.ReasonPreempting:        "waits for work of lower priority to checkpoint",
	model.ReasonNoBudget:          "waits because its pool has no budget",
	model.ReasonOtherWave:         "is held by another wave",
}
