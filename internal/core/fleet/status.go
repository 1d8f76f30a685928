package fleet

import (
	"math"
	"time"

	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

// StatusInterval is the minimum time between two status updates of a pool or budget.
// Each update is a log entry that is sent to every entry host.
const StatusInterval = 10 * time.Second

// minDemandChange is the smallest relative change of the demand that is worth a
// status update.
const minDemandChange = 0.2

// proposePoolStatus proposes the status of the pools and budgets that changed.
func (pl *Planner) proposePoolStatus(pools []*poolIndex) {
	var objects []model.Object
	for _, p := range pools {
		if p.pool == nil {
			continue
		}
		if obj := pl.poolStatus(p); obj != nil {
			objects = append(objects, obj)
		}
		for _, b := range p.sortedBudgets() {
			if obj := pl.budgetStatus(p, b); obj != nil {
				objects = append(objects, obj)
			}
		}
	}
	if len(objects) > 0 {
		pl.propose(state.StatusStep{Origin: pl.origin(), Objects: objects})
	}
}

// isStatusDue reports whether the last status update is at least StatusInterval old.
// If not, it schedules the next plan of the pool for that time.
func (pl *Planner) isStatusDue(p *poolIndex, meta *model.Meta) bool {
	next := meta.Modified.Add(StatusInterval)
	if pl.now.Before(next) {
		p.nextPlan = earliest(p.nextPlan, next)
		return false
	}
	return true
}

// poolStatus returns a pool with its new status, or nil if no update is due.
func (pl *Planner) poolStatus(p *poolIndex) model.Object {
	status := p.pool.Status
	status.Hosts, status.Healthy = p.capacity.Hosts, p.capacity.Available
	demand := math.Round(10*pl.demand.Mean(p.pool.Spec.Service)/float64(pl.slots)) / 10
	if math.Abs(demand-status.Demand) > minDemandChange*math.Max(status.Demand, 1) {
		status.Demand = demand
	}
	old := p.pool.Status
	if status.Hosts == old.Hosts && status.Healthy == old.Healthy && status.Demand == old.Demand || !pl.isStatusDue(p, &p.pool.Meta) {
		return nil
	}
	return &model.Pool{Meta: p.pool.Meta, Status: status}
}

// budgetStatus returns a budget with its new status, or nil if no update is due.
func (pl *Planner) budgetStatus(p *poolIndex, b *model.Budget) model.Object {
	status := model.BudgetStatus{
		Healthy: p.capacity.Available, Needed: b.Spec.MinHealthy, PlannedStops: p.capacity.PlannedStops, Observed: b.Status.Observed,
	}
	if status.Healthy < status.Needed {
		status.Reason = model.ReasonBudgetBroken
		status.Message = "planned stops wait until enough hosts are healthy"
	}
	if status == b.Status || !pl.isStatusDue(p, &b.Meta) {
		return nil
	}
	status.Observed = pl.now
	return &model.Budget{Meta: b.Meta, Status: status}
}
