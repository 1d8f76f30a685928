package fleet

import (
	"math"
	"time"

	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

// StatusInterval is the least time between two statuses of a pool or budget.
// Each status is a log entry that goes to every entry host.
const StatusInterval = 10 * time.Second

// demandStep is the relative change of the demand that is worth a new status.
const demandStep = 0.2

// tellPools writes the observed status of pools and budgets that changed.
func (pl *Planner) tellPools(touched []*poolIndex) {
	var objects []model.Object
	for _, p := range touched {
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

// mayTell tells whether the last status is old enough, and else sets when.
func (pl *Planner) mayTell(p *poolIndex, head *model.Meta) bool {
	next := head.Modified.Add(StatusInterval)
	if pl.now.Before(next) {
		p.due = earliest(p.due, next)
		return false
	}
	return true
}

func (pl *Planner) poolStatus(p *poolIndex) model.Object {
	status := p.pool.Status
	status.Hosts, status.Healthy = p.capacity.Hosts, p.capacity.Available
	demand := math.Round(10*pl.demand.Mean(p.pool.Spec.Service)/float64(pl.slots)) / 10
	if math.Abs(demand-status.Demand) > demandStep*math.Max(status.Demand, 1) {
		status.Demand = demand
	}
	old := p.pool.Status
	if status.Hosts == old.Hosts && status.Healthy == old.Healthy && status.Demand == old.Demand || !pl.mayTell(p, &p.pool.Meta) {
		return nil
	}
	return &model.Pool{Meta: p.pool.Meta, Status: status}
}

func (pl *Planner) budgetStatus(p *poolIndex, b *model.Budget) model.Object {
	status := model.BudgetStatus{
		Healthy: p.capacity.Available, Needed: b.Spec.MinHealthy, PlannedStops: p.capacity.PlannedStops, Observed: b.Status.Observed,
	}
	if status.Healthy < status.Needed {
		status.Reason = model.ReasonBudgetBroken
		status.Message = "planned stops wait until enough hosts are healthy"
	}
	if status == b.Status || !pl.mayTell(p, &b.Meta) {
		return nil
	}
	status.Observed = pl.now
	return &model.Budget{Meta: b.Meta, Status: status}
}
