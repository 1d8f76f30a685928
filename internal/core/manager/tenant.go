package manager

import (
	"maps"
	"math"
	"slices"
	"time"

	"laburnumdock/internal/core/jobs"
	"laburnumdock/internal/core/share"
)

// This file decides how much the tenants of a configuration may start. It answers a tenant
// that asks for more than its part: without it, the work of that tenant delays the work of
// all others, and its pools grow at their cost.
//
//   - Nothing starts that brings a tenant above its limit. What counts as running is
//     everything that has not certainly ended, from the proposal of a run to the record of
//     its end.
//   - Work that waits for a limit holds back no other work, and no host is moved for it.
//   - The capacity of a pool is divided among the tenants with work in it by weighted
//     max-min fairness. A pass first places work within these entitlements, in the usual
//     order. What is then left is lent: the other work gets it, in the same order.
//   - All hosts together are divided in the same way, and a pool grows for the work of a
//     tenant up to its part. The division of one pool cannot decide that: whatever waits in
//     a full pool is beyond some share of it.
//
// Without tenants, none of it applies.

// tenants is the leader's view of the tenants.
type tenants struct {
	// isEnabled is set if the configuration has tenants.
	isEnabled   bool
	definitions map[string]tenantDefinition
	// meanWeight is the weight of the jobs without a tenant, and of tenants without a
	// definition.
	meanWeight float64
	// inUse counts the demands of all runs, and of listed ones without a record.
	inUse share.Ledger
	// heldAt is the time at which a limit last held back work, by tenant. It has an entry
	// for exactly the tenants that count as being at their limit.
	heldAt map[string]time.Time
	// fleet is the division of all hosts in the last check of the pool sizes, or nil.
	fleet *shares
}

// tenantDefinition is what the configuration says of a tenant.
type tenantDefinition struct {
	limit  jobs.Resources
	weight float64
}

// define takes over the tenants of a configuration, which may be nil.
func (t *tenants) define(c *jobs.Config) {
	t.isEnabled, t.definitions, t.meanWeight, t.fleet = c != nil && c.Tenancy != nil, nil, 1, nil
	if !t.isEnabled || len(c.Tenancy.Tenants) == 0 {
		return
	}
	t.definitions = make(map[string]tenantDefinition, len(c.Tenancy.Tenants))
	sum, count := 0.0, 0
	for _, d := range c.Tenancy.Tenants {
		weight := d.Weight
		if weight == 0 {
			weight = 1
		}
		t.definitions[d.Name] = tenantDefinition{limit: d.MaxRunning, weight: weight}
		if !d.Retired {
			sum, count = sum+weight, count+1
		}
	}
	if count > 0 {
		t.meanWeight = sum / float64(count)
	}
}

// definition returns the definition of a tenant. The name is empty for jobs without a
// tenant.
func (t *tenants) definition(name string) tenantDefinition {
	if d, ok := t.definitions[name]; ok {
		return d
	}
	return tenantDefinition{weight: t.meanWeight}
}

// countRun adds a run to the resources in use, or removes it.
func (m *Manager) countRun(r *run, by int) {
	j, demand := r.job, r.step.Demand
	if by > 0 {
		m.tenants.inUse.Add(j.rec.Tenant, demand)
		j.inUse = j.inUse.Plus(demand)
		return
	}
	m.tenants.inUse.Remove(j.rec.Tenant, demand)
	j.inUse = j.inUse.Minus(demand)
}

// foreignTask is what a listed run that the leader has no record of uses.
type foreignTask struct {
	tenant string
	demand jobs.Resources
}

// countForeign counts a listed run that the leader has no record of, such as one that an order
// has started late. Without a record of its job, its tenant is not known.
func (m *Manager) countForeign(s *session, ref jobs.TaskRef) {
	j := m.state.Job(ref.Job)
	if _, step := m.state.Task(ref); j != nil && step != nil {
		m.tenants.inUse.Add(j.Tenant, step.Demand)
		s.foreignTasks = append(s.foreignTasks, foreignTask{j.Tenant, step.Demand})
	}
}

// forgetForeign no longer counts such runs of an executor.
func (m *Manager) forgetForeign(s *session) {
	for _, f := range s.foreignTasks {
		m.tenants.inUse.Remove(f.tenant, f.demand)
	}
	s.foreignTasks = nil
}

// mayStart reports whether the tenant of a job may start a number of tasks of a step now,
// and notes if its limit holds them back.
func (m *Manager) mayStart(j *job, step *jobs.Step, count int, now time.Time) bool {
	if !m.tenants.isEnabled || m.fitsLimit(j, step, count) {
		return true
	}
	m.noteHeld(j.rec.Tenant, now)
	return false
}

func (m *Manager) fitsLimit(j *job, step *jobs.Step, count int) bool {
	limit := m.tenants.definition(j.rec.Tenant).limit
	return m.tenants.inUse.Fits(j.rec.Tenant, limit, timesDemand(step.Demand, count))
}

// timesDemand returns the demand of a number of tasks.
func timesDemand(demand jobs.Resources, count int) jobs.Resources {
	n := int64(count)
	return jobs.Resources{CPU: n * demand.CPU, MemoryMB: n * demand.MemoryMB, Accelerators: n * demand.Accelerators}
}

// isAboveLimit reports whether the tenant of a recorded run is above its limit, so that the
// run must not be ordered: the limit was lowered after the run was proposed, or the runs
// of an earlier leader became known. A task or a gang that alone exceeds the limit may run
// alone.
func (m *Manager) isAboveLimit(r *run) bool {
	name := r.job.rec.Tenant
	if !m.tenants.isEnabled || share.IsWithin(m.tenants.definition(name).limit, m.tenants.inUse.InUse(name)) {
		return false
	}
	together := 1
	if r.step.Gang {
		together = r.job.countGang(r.key)
	}
	return m.tenants.inUse.Runs(name) > together
}

// countGang returns the number of live runs of a gang that share the run number.
func (j *job) countGang(key runKey) int {
	count := 0
	for other := range j.runs {
		if other.run == key.run && other.task.Step == key.task.Step && other.task.Occurrence == key.task.Occurrence {
			count++
		}
	}
	return count
}

// wideGangRetryAfter is the time after which a gang that exceeds the limit of its tenant may be
// submitted again. Only another configuration can make it fit.
const wideGangRetryAfter = time.Minute

// hasTooWideGang reports whether a job has a gang that exceeds the limit of its tenant,
// and so could only start beyond it.
func (m *Manager) hasTooWideGang(tenant string, spec *jobs.Spec) bool {
	if !m.tenants.isEnabled {
		return false
	}
	limit := m.tenants.definition(tenant).limit
	return slices.ContainsFunc(spec.Steps, func(s jobs.Step) bool {
		return s.Gang && s.Count > 1 && share.HowManyFit(limit, jobs.Resources{}, s.Demand, s.Count) < s.Count
	})
}

// limitQuietTime is the time for which a limit must hold back nothing before its tenant
// counts as below it. At the limit, runs end and start several times a second.
const limitQuietTime = 2 * time.Second

// noteHeld notes that the limit of a tenant holds back work.
func (m *Manager) noteHeld(tenant string, now time.Time) {
	if _, isHeld := m.tenants.heldAt[tenant]; !isHeld {
		m.logEvent(Event{Kind: EventTenantAtLimit, Tenant: tenant})
	}
	if m.tenants.heldAt == nil {
		m.tenants.heldAt = map[string]time.Time{}
	}
	m.tenants.heldAt[tenant] = now
}

// stepTenants logs which tenants are below their limits again.
func (m *Manager) stepTenants(now time.Time) {
	if len(m.tenants.heldAt) == 0 {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(m.tenants.heldAt)) {
		if now.Sub(m.tenants.heldAt[name]) >= limitQuietTime {
			delete(m.tenants.heldAt, name)
			m.logEvent(Event{Kind: EventTenantBelowLimit, Tenant: name})
		}
	}
}

// shares is the division of some capacity among the tenants with work for it, in fractions
// of the capacity.
type shares struct {
	at     time.Time
	claims []share.Claim
	// inUse holds what the tenants of the claims use, and asked what they would use without
	// limits.
	inUse []hostFractions
	asked []float64
	// entitled holds what they are entitled to.
	entitled []float64
	index    map[string]int
	capacity jobs.Resources
}

// capacity returns the sum of the capacities of the pool's executors.
func (p *pool) capacity() jobs.Resources {
	var sum jobs.Resources
	for _, s := range p.sessions {
		if !s.draining {
			sum = sum.Plus(s.rec.Capacity)
		}
	}
	return sum
}

// divide divides a capacity among the tenants with jobs in some pools. A tenant demands what
// its runs use and its waiting tasks want, as far as its limit allows that.
func (m *Manager) divide(capacity jobs.Resources, now time.Time, pools ...*pool) *shares {
	d := &shares{at: now, index: map[string]int{}, capacity: capacity}
	var wanted []hostFractions
	for _, p := range pools {
		for _, j := range p.jobs {
			name := j.rec.Tenant
			i, ok := d.index[name]
			if !ok {
				i = len(d.claims)
				d.index[name] = i
				d.claims = append(d.claims, share.Claim{Tenant: name, Weight: m.tenants.definition(name).weight})
				d.inUse, wanted = append(d.inUse, hostFractions{}), append(wanted, hostFractions{})
			}
			d.inUse[i] = d.inUse[i].AddScaled(hostFractionsOf(j.inUse, capacity), 1)
			wanted[i] = wanted[i].AddScaled(j.wanted(capacity, now), 1)
		}
		for name, refused := range p.refused {
			if i, ok := d.index[name]; ok {
				wanted[i] = wanted[i].AddScaled(hostFractionsOf(refused.demand, capacity), refused.weight(now))
			}
		}
	}
	for i := range d.claims {
		d.asked = append(d.asked, d.inUse[i].AddScaled(wanted[i], 1).Largest())
		part := m.startablePart(d.claims[i].Tenant, wanted[i], capacity)
		d.claims[i].Demand = d.inUse[i].AddScaled(wanted[i], part).Largest()
	}
	if d.entitled = share.Entitle(1, d.claims); len(d.claims) == 1 {
		// A tenant alone has everything, also what exceeds the capacity.
		d.entitled[0] = d.claims[0].Demand
	}
	return d
}

// refusedWork is what the jobs of a tenant that a pool has refused lately would have used. The
// tenant asks for it beside what was accepted: without it, a tenant that sends several times
// its share would seem to be within it as soon as most of its jobs are refused.
type refusedWork struct {
	demand jobs.Resources
	at     time.Time
}

// refusedMemory is the time constant in which refused work is forgotten.
const refusedMemory = time.Second

func (r refusedWork) weight(now time.Time) float64 {
	return math.Exp(-now.Sub(r.at).Seconds() / refusedMemory.Seconds())
}

// noteRefused adds the demand of a refused job to what its tenant asks of the pool.
func (p *pool) noteRefused(tenant string, spec *jobs.Spec, now time.Time) {
	if p.refused == nil {
		p.refused = map[string]refusedWork{}
	}
	for name, r := range p.refused {
		if r.weight(now) < forgottenUse {
			delete(p.refused, name)
		}
	}
	r := p.refused[tenant]
	keep := r.weight(now)
	demand := jobs.Resources{
		CPU: int64(keep * float64(r.demand.CPU)), MemoryMB: int64(keep * float64(r.demand.MemoryMB)), Accelerators: int64(keep * float64(r.demand.Accelerators)),
	}
	for i := range spec.Steps {
		if len(spec.Steps[i].After) == 0 {
			demand = demand.Plus(timesDemand(spec.Steps[i].Demand, spec.Steps[i].Count))
		}
	}
	p.refused[tenant] = refusedWork{demand: demand, at: now}
}

// divideFleet divides all hosts that the platform has listed, once for each check of the pool
// sizes.
func (m *Manager) divideFleet(now time.Time) *shares {
	if m.tenants.fleet == nil || !m.tenants.fleet.at.Equal(now) {
		var capacity jobs.Resources
		for _, h := range m.hosts.byName {
			capacity = capacity.Plus(h.listed.Capacity)
		}
		var pools []*pool
		for _, name := range slices.Sorted(maps.Keys(m.pools)) {
			pools = append(pools, m.pools[name])
		}
		m.tenants.fleet = m.divide(capacity, now, pools...)
	}
	return m.tenants.fleet
}

// wanted returns the demands of the tasks of a job that wait for a run and may start, as
// fractions of a capacity.
func (j *job) wanted(capacity jobs.Resources, now time.Time) hostFractions {
	var sum hostFractions
	if j.waitingTasks == 0 {
		return sum
	}
	for occ, steps := range j.rec.Steps {
		if due, isTimed := j.rec.Spec.DueAt(occ); isTimed && now.Before(due) {
			continue
		}
		for s := range steps {
			if steps[s].TasksLeft == 0 || !j.rec.IsStepReady(occ, s) {
				continue
			}
			if waiting := steps[s].TasksLeft - j.countLive(occ, s); waiting > 0 {
				sum = sum.AddScaled(hostFractionsOf(j.rec.Spec.Steps[s].Demand, capacity), float64(waiting))
			}
		}
	}
	return sum
}

// startablePart returns which part of the wanted resources the limit of a tenant allows it to
// use beside its runs.
func (m *Manager) startablePart(tenant string, wanted hostFractions, capacity jobs.Resources) float64 {
	limit, inUse := m.tenants.definition(tenant).limit, m.tenants.inUse.InUse(tenant)
	free := hostFractionsOf(limit.Minus(inUse), capacity)
	part := 1.0
	for i, limited := range [len(free)]bool{limit.CPU > 0, limit.MemoryMB > 0, limit.Accelerators > 0} {
		if limited && wanted[i] > free[i] {
			part = min(part, max(free[i], 0)/wanted[i])
		}
	}
	return part
}

// isSatisfied reports whether a tenant is entitled to all that it demands.
func (s *shares) isSatisfied(i int) bool { return s.entitled[i] >= s.claims[i].Demand }

const (
	// shareWindow is the time constant of the mean use that is compared with a share. A
	// tenant with few jobs uses nothing most of the time and more than its share for the
	// time of a job, which is fair as long as the mean is. With 1 s fewer jobs of small
	// tenants are on time, with 5 s a tenant that sends too much for 6 s delays others longer.
	shareWindow = 2 * time.Second
	// maxBurst is the fraction of a pool by which a tenant may exceed its share while its
	// mean use is below it, so that a single job does not take the whole pool.
	maxBurst = 0.1
	// forgottenUse is the mean use below which a tenant without jobs in the pool is
	// forgotten.
	forgottenUse = 0.001
)

// updateMeanUse brings the mean use of a pool by tenant up to date.
func (p *pool) updateMeanUse(d *shares, since time.Duration) {
	keep := math.Exp(-since.Seconds() / shareWindow.Seconds())
	for name, mean := range p.meanUse {
		if mean *= keep; mean < forgottenUse {
			delete(p.meanUse, name)
		} else {
			p.meanUse[name] = mean
		}
	}
	if p.meanUse == nil {
		p.meanUse = map[string]float64{}
	}
	for i := range d.claims {
		p.meanUse[d.claims[i].Tenant] += (1 - keep) * d.inUse[i].Largest()
	}
}

// passShares is the part of a scheduling pass that follows from the shares of tenants. Nil
// means that there are no tenants.
type passShares struct {
	*shares
	meanUse map[string]float64
	// lends is set while what is left after all entitlements is given out.
	lends bool
	// wasHeld is set when a step of the current job was held back by its tenant's share.
	wasHeld bool
}

// divideAmongTenants divides the pool of the pass, if there are tenants and jobs wait.
func (p *pass) divideAmongTenants(list []waitingJob) {
	if !p.m.tenants.isEnabled || len(list) == 0 {
		return
	}
	d := p.m.divide(p.pool.capacity(), p.now, p.pool)
	if p.plan == nil {
		since := time.Duration(0)
		if p.pool.shares != nil {
			since = p.now.Sub(p.pool.shares.at)
		}
		p.pool.updateMeanUse(d, since)
		p.pool.shares = d
	}
	p.shares = &passShares{shares: d, meanUse: p.pool.meanUse}
}

// placeJobs places the waiting jobs of the pool, which are given in scheduling order.
func (p *pass) placeJobs(list []waitingJob) {
	p.divideAmongTenants(list)
	if p.shares == nil {
		for _, w := range list {
			p.placeJob(w.job)
		}
		return
	}
	var beyond []*job
	for _, w := range list {
		p.shares.wasHeld = false
		p.placeJob(w.job)
		if p.shares.wasHeld {
			beyond = append(beyond, w.job)
		}
	}
	p.shares.lends = true
	for _, j := range beyond {
		p.placeJob(j)
	}
}

// isUsedUp reports whether a tenant uses all that it is entitled to and wants more.
func (s *passShares) isUsedUp(i int) bool {
	over := s.inUse[i].Largest() - s.entitled[i]
	return !s.isSatisfied(i) && over >= 0 && (over >= maxBurst || s.meanUse[s.claims[i].Tenant] >= s.entitled[i])
}

// mayStart reports whether the limit and the share of a job's tenant allow it to start a
// number of tasks of a step now. A tenant may exceed its share by the last start.
func (p *pass) mayStart(j *job, step *jobs.Step, count int) bool {
	if p.shares != nil && !p.shares.lends && p.shares.isUsedUp(p.shares.index[j.rec.Tenant]) {
		p.shares.wasHeld = true
		return false
	}
	if p.plan != nil {
		return p.plan.fitsLimit(p.m, j, step, count)
	}
	return p.m.mayStart(j, step, count, p.now)
}

// countStart adds a run that was proposed in this pass to what its tenant uses.
func (p *pass) countStart(j *job, step *jobs.Step) {
	if p.shares != nil {
		i := p.shares.index[j.rec.Tenant]
		p.shares.inUse[i] = p.shares.inUse[i].AddScaled(hostFractionsOf(step.Demand, p.shares.capacity), 1)
	}
}

// hostsIn returns the capacity of a pool in hosts of its largest kind.
func (m *Manager) hostsIn(p *pool) float64 {
	return hostFractionsOf(p.capacity(), m.hostCapacity(p))[0]
}

// tenantEntitlement returns the capacity of a pool, in hosts of its largest kind, that a
// tenant can count on: what it would be entitled to if it asked for the whole pool beside the
// present work of the others. Without tenants that is the whole pool.
func (m *Manager) tenantEntitlement(p *pool, tenant string, now time.Time) float64 {
	hosts := m.hostsIn(p)
	if !m.tenants.isEnabled {
		return hosts
	}
	if p.shares == nil || now.Sub(p.shares.at) >= passInterval {
		// The division of the last pass stays, since the mean use is as old.
		return m.entitlementOf(m.divide(p.capacity(), now, p), tenant) * hosts
	}
	return m.entitlementOf(p.shares, tenant) * hosts
}

// entitlementOf returns the fraction that a tenant would be entitled to if it asked for
// everything.
func (m *Manager) entitlementOf(d *shares, tenant string) float64 {
	claims := slices.Clone(d.claims)
	i, ok := d.index[tenant]
	if !ok {
		i = len(claims)
		claims = append(claims, share.Claim{Tenant: tenant, Weight: m.tenants.definition(tenant).weight})
	}
	claims[i].Demand = math.Inf(1)
	return share.Entitle(1, claims)[i]
}

// growthBudget bounds the waiting tasks for which a pool grows: those that their tenants may
// start now, and that are within their parts of all hosts. Without tenants it bounds nothing.
// The budget of each pool is computed by itself, since it is open where the tenant will start
// its tasks.
type growthBudget struct {
	tenants *tenants
	// fleet is nil without tenants.
	fleet *shares
	// planned are the demands that count already, beside those in use.
	planned map[string]jobs.Resources
}

func (m *Manager) growthBudget(now time.Time) growthBudget {
	if !m.tenants.isEnabled {
		return growthBudget{tenants: &m.tenants}
	}
	return growthBudget{tenants: &m.tenants, fleet: m.divideFleet(now), planned: map[string]jobs.Resources{}}
}

// fitShare returns how many of some tasks are within the part of all hosts that their tenant
// is entitled to.
func (b growthBudget) fitShare(j *job, step *jobs.Step, count int) int {
	i, ok := b.fleet.index[j.rec.Tenant]
	perTask := hostFractionsOf(step.Demand, b.fleet.capacity).Largest()
	if !ok || b.fleet.isSatisfied(i) || perTask == 0 {
		return count
	}
	used := b.fleet.inUse[i].AddScaled(hostFractionsOf(b.planned[j.rec.Tenant], b.fleet.capacity), 1).Largest()
	return min(count, int(math.Ceil(max(b.fleet.entitled[i]-used, 0)/perTask)))
}

// growsForArrivals returns a function that reports whether a pool grows ahead of the arriving
// work of a tenant. A tenant that asks for more than its limit and its part of all hosts allow
// has enough work that waits.
func (m *Manager) growsForArrivals(now time.Time) func(tenant string) bool {
	if !m.tenants.isEnabled {
		return func(string) bool { return true }
	}
	fleet := m.divideFleet(now)
	return func(tenant string) bool {
		i, ok := fleet.index[tenant]
		return !ok || fleet.entitled[i] >= fleet.asked[i]
	}
}

// take returns how many of the waiting tasks of a step count.
func (b growthBudget) take(j *job, step *jobs.Step, waiting int) int {
	if !b.tenants.isEnabled || waiting <= 0 {
		return waiting
	}
	name := j.rec.Tenant
	used := b.tenants.inUse.InUse(name).Plus(b.planned[name])
	count := share.HowManyFit(b.tenants.definition(name).limit, used, step.Demand, waiting)
	if count == 0 && b.tenants.inUse.Runs(name) == 0 && b.planned[name] == (jobs.Resources{}) {
		// A task that alone exceeds the limit starts alone.
		count = 1
	}
	count = b.fitShare(j, step, count)
	if step.Gang && count < waiting {
		count = 0
	}
	b.planned[name] = b.planned[name].Plus(timesDemand(step.Demand, count))
	return count
}

// TenantUsage is what the runs of a tenant use, and what the tenant may use.
type TenantUsage struct {
	// Name is empty for the jobs without a tenant.
	Name         string
	Weight       float64
	InUse, Limit jobs.Resources
	// Entitlement is the capacity that the tenant can count on in the pools, in hosts.
	Entitlement float64
}

// TenantUsages returns the usage of the tenants of the configuration and of the jobs without
// a tenant, or nil without tenants.
func (m *Manager) TenantUsages(now time.Time) []TenantUsage {
	if !m.tenants.isEnabled {
		return nil
	}
	names := append(slices.Sorted(maps.Keys(m.tenants.definitions)), "")
	list := make([]TenantUsage, len(names))
	for i, name := range names {
		d := m.tenants.definition(name)
		list[i] = TenantUsage{Name: name, Weight: d.weight, InUse: m.tenants.inUse.InUse(name), Limit: d.limit}
		for _, pool := range slices.Sorted(maps.Keys(m.pools)) {
			list[i].Entitlement += m.tenantEntitlement(m.pools[pool], name, now)
		}
	}
	return list
}
