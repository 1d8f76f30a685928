package standin

import "time"

// The switches below are the faults of the stand-in platform, for tests and the
// demo.

func (p *Platform) each(match func(*standinHost) bool, change func(*standinHost)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.pass()
	for _, h := range p.hosts {
		if match(h) {
			change(h)
		}
	}
}

// FailHost makes a host fail, or heals it.
func (p *Platform) SetHostFailed(host string, failed bool) {
	p.each(func(h *standinHost) bool { return h.Host == host }, func(h *standinHost) { h.failed = failed })
}

// FailRack makes all hosts of a rack fail, or heals them.
func (p *Platform) SetRackFailed(zone, rack string, failed bool) {
	p.each(func(h *standinHost) bool { return h.Zone == zone && h.Rack == rack }, func(h *standinHost) { h.failed = failed })
}

// FailZone makes all hosts of an availability zone fail, or heals them.
func (p *Platform) SetZoneFailed(zone string, failed bool) {
	p.each(func(h *standinHost) bool { return h.Zone == zone }, func(h *standinHost) { h.failed = failed })
}

// FailTasks has a host fail every task that it starts.
func (p *Platform) SetTasksFailing(host string, bad bool) {
	p.each(func(h *standinHost) bool { return h.Host == host }, func(h *standinHost) { h.bad = bad })
}

// SetUse has all hosts report this multiple of the declared sizes as use.
func (p *Platform) SetUsageFactor(factor float64) {
	p.each(func(*standinHost) bool { return true }, func(h *standinHost) { h.useFactor = factor })
}

// SetReportLag sets how old listings are.
func (p *Platform) SetReportLag(lag time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.cfg.ReportLag = lag
}

// SetDown has the platform refuse every call.
func (p *Platform) SetDown(down bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.down = down
}

// Available returns the number of hosts in each pool that are up and take new
// work now, without the lag of a listing.
func (p *Platform) AvailableHosts() map[string]int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.pass()
	counts := make(map[string]int)
	for _, h := range p.hosts {
		if !h.failed && h.backAt.IsZero() && !h.draining && h.epoch > 0 {
			counts[h.Pool]++
		}
	}
	return counts
}
