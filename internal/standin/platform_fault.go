package standin

import "time"

// The methods below inject faults into the simulated platform, for tests and the
// demo.

// updateHosts calls change on the hosts that match.
func (p *Platform) updateHosts(match func(*simulatedHost) bool, change func(*simulatedHost)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance()
	for _, h := range p.hosts {
		if match(h) {
			change(h)
		}
	}
}

// SetHostFailed marks a host as failed or healthy.
func (p *Platform) SetHostFailed(host string, failed bool) {
	p.updateHosts(func(h *simulatedHost) bool { return h.Host == host }, func(h *simulatedHost) { h.failed = failed })
}

// SetRackFailed marks all hosts of a rack as failed or healthy.
func (p *Platform) SetRackFailed(zone, rack string, failed bool) {
	p.updateHosts(func(h *simulatedHost) bool { return h.Zone == zone && h.Rack == rack }, func(h *simulatedHost) { h.failed = failed })
}

// SetZoneFailed marks all hosts of an availability zone as failed or healthy.
func (p *Platform) SetZoneFailed(zone string, failed bool) {
	p.updateHosts(func(h *simulatedHost) bool { return h.Zone == zone }, func(h *simulatedHost) { h.failed = failed })
}

// SetTasksFailing sets whether every task on a host fails.
func (p *Platform) SetTasksFailing(host string, failing bool) {
	p.updateHosts(func(h *simulatedHost) bool { return h.Host == host }, func(h *simulatedHost) { h.failsTasks = failing })
}

// SetUsageFactor sets the ratio of reported usage to declared size on all hosts.
func (p *Platform) SetUsageFactor(factor float64) {
	p.updateHosts(func(*simulatedHost) bool { return true }, func(h *simulatedHost) { h.usageFactor = factor })
}

// SetReportLag sets the age of the listings that the platform returns.
func (p *Platform) SetReportLag(lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cfg.ReportLag = lag
}

// SetDown sets whether the platform fails every call as unavailable.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// AvailableHosts returns the number of hosts in each pool that are up and accept
// new work now, without the lag of a listing.
func (p *Platform) AvailableHosts() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance()
	counts := make(map[string]int)
	for _, h := range p.hosts {
		if !h.failed && h.rebootEnds.IsZero() && !h.draining && h.epoch > 0 {
			counts[h.Pool]++
		}
	}
	return counts
}
