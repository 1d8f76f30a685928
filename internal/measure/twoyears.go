package measure

// The size in two years, by the design page, section 2, and its division into
// cells, section 9.
const (
	twoYearHosts      = 16_000
	twoYearPools      = 238
	twoYearRegions    = 9
	twoYearChangesDay = 76_000
	secondsPerDay     = 86_400
	// peakFactor is assumed: changes of configuration arrive in working hours
	// and in bursts of tools.
	peakFactor = 10
	// voters and global voters by section 9; relays are what is left.
	regionVoters = 3
	globalVoters = 5
	relays       = 5
	// regionEntryHosts are assumed to be the hosts of the region's voters.
	regionEntryHosts = 3
	// announcementsPerSecond of one endpoint, and listings of the platform.
	announcementsPerSecond = 2
	listingsPerSecond      = 1
	reportInterval         = 2
	markInterval           = 3
	exchangesPerSecond     = 4
	// collectorFactor is by how much the heap exceeds the live heap before a
	// collection, with the default setting of the runtime.
	collectorFactor = 2
	// Limits of what the state keeps.
	keptChangeIDs = 100_000
	keptAudit     = 50_000
	keptEvents    = 10_000
)

// slopes looks measured figures up; the first that is missing stays in err.
type slopes struct {
	r   *Report
	err error
}

func (s *slopes) get(key string) float64 {
	v, err := s.r.Value("capacity." + key)
	if err != nil && s.err == nil {
		s.err = err
	}
	return v
}

// line is a measured cost at a size; a negative intercept counts as none.
func (s *slopes) line(key string, size float64) float64 {
	return max(0, s.get(key+".intercept")) + s.get(key+".slope")*size
}

// TwoYears computes the size of two years from the measured slopes.
func projectTwoYears(r *Report) error {
	s := &slopes{r: r}
	perRegionHosts := float64(twoYearHosts) / twoYearRegions
	perRegionPools := float64(twoYearPools) / twoYearRegions
	mean := float64(twoYearChangesDay) / secondsPerDay
	peak := mean * peakFactor
	r.Add("two_years.changes.mean", "1/s", mean)
	r.Add("two_years.changes.peak", "1/s", peak)
	r.AddTarget("two_years.hosts", limitHosts, twoYearRegions*regionVoters+globalVoters+relays)
	s.replica(perRegionHosts, perRegionPools, peak)
	s.entryHost(perRegionHosts, peak)
	s.single()
	return s.err
}

// replica is the leader of a region. It has all watchers of its region, and
// half of what the three replicas do together, because it takes part in each of
// their two conversations.
func (s *slopes) replica(hosts, pools, peak float64) {
	r := s.r
	key := "two_years.region_leader."
	state := s.get("memory.host.slope")*hosts + s.get("memory.planner_host.slope")*hosts + s.get("memory.pool.slope")*pools +
		s.get("memory.change_id.slope")*keptChangeIDs + s.get("memory.audit_entry.slope")*keptAudit + s.get("memory.host.slope")*keptEvents
	r.Add(key+"state", "MB", state/(1<<20))
	r.AddTarget(key+"memory", limitMemory, s.get("memory.process")+collectorFactor*state/(1<<20))

	consensus := s.line("replicas.change.wire", peak)
	watch := s.get("watch.wire.slope") * peak * regionEntryHosts
	listing := s.line("message.platform_listing_per_host.bytes", hosts) * listingsPerSecond
	reports := s.line("message.report_per_endpoint.bytes", hosts) / reportInterval * regionEntryHosts
	marks := s.line("message.marks_per_pool.bytes", pools) / markInterval * (regionVoters - 1)
	r.Add(key+"wire.consensus", "KB/s", consensus/1024)
	r.Add(key+"wire.watch", "KB/s", watch/1024)
	r.Add(key+"wire.platform_listing", "KB/s", listing/1024)
	r.Add(key+"wire.reports_if_all_endpoints_change", "KB/s", reports/1024)
	r.Add(key+"wire.marks", "KB/s", marks/1024)
	r.AddTarget(key+"wire.without_listing_and_reports", limitWire, (consensus+watch+marks)/1024)
	r.AddTarget(key+"wire", limitWire, (consensus+watch+listing+reports+marks)/1024)

	idle := s.get("replicas.change.processor.intercept") / 2
	changes := s.get("replicas.change.processor.slope") * peak / 2
	watchers := s.get("watch.processor.slope") * peak * regionEntryHosts
	decode := s.line("message.platform_listing_per_host.decode", hosts) / 1e3 * listingsPerSecond
	gather := s.line("message.report_per_endpoint.decode", hosts) / 1e3 / reportInterval * regionEntryHosts
	r.Add(key+"processor.idle", "ms/s", idle)
	r.Add(key+"processor.changes", "ms/s", changes)
	r.Add(key+"processor.watch", "ms/s", watchers)
	r.Add(key+"processor.platform_listing", "ms/s", decode)
	r.Add(key+"processor.reports", "ms/s", gather)
	r.AddTarget(key+"processor", limitCore, (idle+changes+watchers+decode+gather)/10)
}

// entryHost hears each endpoint of its region, and the deltas of its peers.
func (s *slopes) entryHost(endpoints, peak float64) {
	r := s.r
	key := "two_years.entry_host."
	state := s.line("memory.endpoint", endpoints)
	r.AddTarget(key+"memory", limitMemory, s.get("memory.process")+collectorFactor*state/(1<<20))
	rate := endpoints * announcementsPerSecond
	announced := s.get("entry.announcement.wire.slope") * rate
	// Every exchange carries the endpoints that were heard since the last one,
	// to and from each peer.
	exchanged := s.line("message.exchange_per_announcement.bytes", rate/exchangesPerSecond) * exchangesPerSecond * (regionEntryHosts - 1) * 2
	watched := s.get("watch.wire.slope") * peak
	r.Add(key+"wire.announcements", "KB/s", announced/1024)
	r.Add(key+"wire.exchange", "KB/s", exchanged/1024)
	r.Add(key+"wire.watch", "KB/s", watched/1024)
	r.AddTarget(key+"wire", limitWire, (announced+exchanged+watched)/1024)
	idle := s.get("entry.announcement.processor.intercept")
	handled := s.get("entry.announcement.processor.slope") * rate
	r.Add(key+"processor.idle", "ms/s", idle)
	r.Add(key+"processor.announcements", "ms/s", handled)
	r.AddTarget(key+"processor", limitCore, (idle+handled)/10)
}

// single is one group for all, which today's code would be.
func (s *slopes) single() {
	r := s.r
	key := "two_years.one_cell_leader."
	state := s.get("memory.host.slope")*twoYearHosts + s.get("memory.planner_host.slope")*twoYearHosts + s.get("memory.pool.slope")*twoYearPools +
		s.get("memory.change_id.slope")*keptChangeIDs + s.get("memory.audit_entry.slope")*keptAudit + s.get("memory.host.slope")*keptEvents
	r.AddTarget(key+"memory", limitMemory, s.get("memory.process")+collectorFactor*state/(1<<20))
	r.AddTarget(key+"wire.platform_listing", limitWire, s.line("message.platform_listing_per_host.bytes", twoYearHosts)*listingsPerSecond/1024)
	r.AddTarget(key+"processor.platform_listing", limitCore, s.line("message.platform_listing_per_host.decode", twoYearHosts)/1e3*listingsPerSecond/10)
}
