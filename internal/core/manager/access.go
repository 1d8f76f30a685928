package manager

import "laburnumdock/internal/core/jobs"

// caller is who makes an admitted call, and to which queue.
type caller struct {
	queue *jobs.Queue
	// tenant is the name of the tenant whose key the call has, or empty.
	tenant string
	// isOpen is set if the configuration has no tenants: every call may use every job.
	isOpen bool
}

// owner is whom a job belongs to.
type owner struct {
	queue string
	// tenant is the name of the tenant that submitted the job, or empty.
	tenant string
}

// The reasons of EventKeyRefused.
const (
	reasonNoKey      = "no_key"
	reasonUnknownKey = "unknown_key"
)

// authenticate returns the name of the tenant that a call belongs to, or "" for a call
// without one, and whether the call is allowed.
func authenticate(config *jobs.Config, queue *jobs.Queue, key *jobs.KeyDigest) (string, bool) {
	if config.Tenancy == nil {
		return "", true
	}
	if key != nil {
		if t := config.Tenancy.TenantByKey(*key); t != nil {
			return t.Name, true
		}
	}
	return "", queue.Public
}

func (m *Manager) refuseKey(req Request, queue *jobs.Queue) {
	reason := reasonNoKey
	if req.Key != nil {
		reason = reasonUnknownKey
	}
	m.reply(Reply{ID: req.ID, Kind: ReplyUnauthorized})
	m.logEvent(Event{Kind: EventKeyRefused, Queue: queue.Name, Pool: queue.Pool, Reason: reason})
}

// ownerOf returns the owner of a job that is recorded or about to be, and false if there is
// no such job.
func (m *Manager) ownerOf(id string) (owner, bool) {
	if rec := m.state.Job(id); rec != nil {
		return owner{queue: rec.Queue, tenant: rec.Tenant}, true
	}
	if s, ok := m.submitting[id]; ok {
		return owner{queue: s.queue.Name, tenant: s.tenant}, true
	}
	return owner{}, false
}

// maySee reports whether a call may read and cancel a job. A call to a public queue may do
// so with every job of that queue, and with no other job by that alone: the path selects the
// queue, and the ID any job. A job without a tenant, from before the first configuration
// with tenants, belongs to nobody in particular; the call must have a valid key.
func (m *Manager) maySee(c caller, o owner) bool {
	switch {
	case c.isOpen || c.queue.Public && m.isOfQueue(o.queue, c.queue):
		return true
	case c.tenant == "":
		return false
	default:
		return o.tenant == "" || o.tenant == c.tenant
	}
}

// maySubmit reports whether a submission may be a repetition of the one of the owner. On a
// public queue one of the two may lack a key, which may have been withdrawn between them.
func (m *Manager) maySubmit(c caller, o owner) bool {
	isOther := !c.isOpen && c.tenant != "" && o.tenant != "" && c.tenant != o.tenant
	return m.maySee(c, o) && !isOther
}

// isOfQueue reports whether a job of the queue with the name counts as one of the given
// queue, also if that had another name when the job was accepted.
func (m *Manager) isOfQueue(name string, queue *jobs.Queue) bool {
	if name == queue.Name {
		return true
	}
	earlier := m.state.Config().Queue(name)
	return earlier != nil && earlier.IsRetired() && earlier.HasRouteOf(queue)
}

// neededTenants returns the tenants that have jobs or may still get some before the next
// configuration is applied: until then a submission is accepted with the keys of the one
// that is in force.
func (m *Manager) neededTenants() map[string]bool {
	needed := map[string]bool{}
	for _, c := range []*jobs.Config{m.state.Config(), m.newestConfig()} {
		if c == nil || c.Tenancy == nil {
			continue
		}
		for _, t := range c.Tenancy.Tenants {
			if !t.Retired {
				needed[t.Name] = true
			}
		}
	}
	for _, s := range m.submitting {
		needed[s.tenant] = true
	}
	for _, j := range m.jobs {
		if !j.rec.Phase.IsFinal() {
			needed[j.rec.Tenant] = true
		}
	}
	return needed
}
