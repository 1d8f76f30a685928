package state

import "laburnumdock/internal/core/model"

func (s *State) applyStatusStep(c StatusStep) {
	for _, obj := range c.Objects {
		if next := s.withStatus(obj); next != nil {
			s.store(next)
		}
	}
}

// withStatus returns the stored resource with the status of obj, or nil if
// nothing changes.
func (s *State) withStatus(obj model.Object) model.Object {
	stored := s.Get(obj.Metadata().Key())
	if stored == nil {
		return nil
	}
	next := stored.Clone()
	switch o := next.(type) {
	case *model.Pool:
		return poolStatus(o, obj.(*model.Pool).Status)
	case *model.Budget:
		status := obj.(*model.Budget).Status
		if o.Status == status {
			return nil
		}
		o.Status = status
	case *model.Team:
		status := obj.(*model.Team).Status
		if o.Status == status {
			return nil
		}
		o.Status = status
	default:
		return nil
	}
	return next
}

func poolStatus(pool *model.Pool, status model.PoolStatus) model.Object {
	before := pool.Status
	if before.Hosts == status.Hosts && before.Healthy == status.Healthy && before.Demand == status.Demand && sameConditions(before.Conditions, status.Conditions) {
		return nil
	}
	pool.Status = status
	pool.Status.Reported = before.Reported
	return pool
}

func sameConditions(a, b []model.Condition) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
