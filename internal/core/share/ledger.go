package share

import "laburnumdock/internal/core/jobs"

// Ledger counts the resources in use by tenant. The zero value is empty. Invariant: it has
// an entry for exactly the tenants with runs.
type Ledger struct{ entries map[string]entry }

// entry is what the runs of a tenant use.
type entry struct {
	inUse jobs.Resources
	runs  int
}

// Add counts a run of a tenant.
func (l *Ledger) Add(tenant string, demand jobs.Resources) { l.count(tenant, demand, 1) }

// Remove no longer counts a run that was added with the same demand.
func (l *Ledger) Remove(tenant string, demand jobs.Resources) {
	l.count(tenant, jobs.Resources{}.Minus(demand), -1)
}

func (l *Ledger) count(tenant string, demand jobs.Resources, runs int) {
	e := l.entries[tenant]
	e.inUse, e.runs = e.inUse.Plus(demand), e.runs+runs
	if e.runs == 0 {
		delete(l.entries, tenant)
		return
	}
	if l.entries == nil {
		l.entries = map[string]entry{}
	}
	l.entries[tenant] = e
}

// InUse returns what the runs of a tenant use.
func (l *Ledger) InUse(tenant string) jobs.Resources { return l.entries[tenant].inUse }

// Runs returns the number of runs of a tenant.
func (l *Ledger) Runs(tenant string) int { return l.entries[tenant].runs }

// Fits reports whether a start with the demand keeps the tenant within its limit. A field
// of the limit that is 0 has no limit. A start that alone exceeds the limit fits while the
// tenant has no runs; it could never start otherwise.
func (l *Ledger) Fits(tenant string, limit, demand jobs.Resources) bool {
	e := l.entries[tenant]
	return e.runs == 0 || IsWithin(limit, e.inUse.Plus(demand))
}

// IsWithin reports whether an amount is within a limit, of which fields that are 0 have no
// limit.
func IsWithin(limit, amount jobs.Resources) bool {
	return isWithin(limit.CPU, amount.CPU) && isWithin(limit.MemoryMB, amount.MemoryMB) && isWithin(limit.Accelerators, amount.Accelerators)
}

func isWithin(limit, amount int64) bool { return limit == 0 || amount <= limit }

// HowManyFit returns how many of at most count equal demands fit within the limit beside the
// given amount in use.
func HowManyFit(limit, inUse, demand jobs.Resources, count int) int {
	for _, f := range [...][3]int64{
		{limit.CPU, inUse.CPU, demand.CPU}, {limit.MemoryMB, inUse.MemoryMB, demand.MemoryMB}, {limit.Accelerators, inUse.Accelerators, demand.Accelerators},
	} {
		if f[0] == 0 {
			continue
		}
		free := max(f[0]-f[1], 0)
		if f[2] > 0 && free/f[2] < int64(count) {
			count = int(free / f[2])
		}
		if f[1] > f[0] {
			count = 0
		}
	}
	return count
}
