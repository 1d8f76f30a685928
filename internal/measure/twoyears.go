package measure

// The fleet size projected in two years (section 2 of the design page) and its
// division into cells (section 9).
const (
	twoYearHosts         = 16_000
	twoYearPools         = 238
	twoYearRegions       = 9
	twoYearChangesPerDay = 76_000
	secondsPerDay        = 86_400
	// peakFactor is the assumed ratio of peak to mean rate: changes of
	// configuration arrive in working hours and in bursts from tools.
	peakFactor = 10
	// The numbers of voters follow section 9; relays is the number of hosts that
	// remain of the 37 in limitHosts.
	regionVoters = 3
	globalVoters = 5
	relays       = 5
	// regionEntryHosts assumes that entry hosts run on the hosts of the region's
	// voters.
	regionEntryHosts = 3
	// announcementsPerSecond is the rate of one endpoint, listingsPerSecond that
	// of the platform's host listing.
	announcementsPerSecond = 2
	listingsPerSecond      = 1
	reportIntervalSeconds  = 2
	markIntervalSeconds    = 3
	exchangesPerSecond     = 4
	// gcHeapFactor is the ratio of the heap before a garbage collection to the
	// live heap, with the default setting of the Go runtime.
	gcHeapFactor = 2
	// Retention limits of the replicated state.
	retainedChangeIDs    = 100_000
	retainedAuditEntries = 50_000
	retainedEvents       = 10_000
)

// projection computes costs at a projected size from measured figures. It keeps
// the error of the first missing figure in err.
type projection struct {
	report *Report
	err    error
}

// measured returns the value of a measured capacity figure.
func (p *projection) measured(key string) float64 {
	v, err := p.report.Value("capacity." + key)
	if err != nil && p.err == nil {
		p.err = err
	}
	return v
}

// costAt returns a measured cost at a size; a negative intercept counts as 0.
func (p *projection) costAt(key string, size float64) float64 {
	return max(0, p.measured(key+".intercept")) + p.measured(key+".slope")*size
}

// projectTwoYears computes the load on hosts at the projected size in two years
// from the measured slopes and intercepts.
func projectTwoYears(r *Report) error {
	p := &projection{report: r}
	perRegionHosts := float64(twoYearHosts) / twoYearRegions
	perRegionPools := float64(twoYearPools) / twoYearRegions
	mean := float64(twoYearChangesPerDay) / secondsPerDay
	peak := mean * peakFactor
	r.Add("two_years.changes.mean", "1/s", mean)
	r.Add("two_years.changes.peak", "1/s", peak)
	r.AddTarget("two_years.hosts", limitHosts, twoYearRegions*regionVoters+globalVoters+relays)
	p.addRegionLeader(perRegionHosts, perRegionPools, peak)
	p.addEntryHost(perRegionHosts, peak)
	p.addSingleCellLeader()
	return p.err
}

// addRegionLeader adds the figures of the leader of a region. It serves all
// watchers of its region, and bears half of the processor time of the three
// replicas, because it takes part in both leader-follower exchanges. Each retained
// event is counted with the memory of a host.
func (p *projection) addRegionLeader(hosts, pools, peak float64) {
	r := p.report
	key := "two_years.region_leader."
	stateBytes := p.measured("memory.host.slope")*hosts + p.measured("memory.planner_host.slope")*hosts + p.measured("memory.pool.slope")*pools +
		p.measured("memory.change_id.slope")*retainedChangeIDs + p.measured("memory.audit_entry.slope")*retainedAuditEntries + p.measured("memory.host.slope")*retainedEvents
	r.Add(key+"state", "MB", stateBytes/(1<<20))
	r.AddTarget(key+"memory", limitMemory, p.measured("memory.process")+gcHeapFactor*stateBytes/(1<<20))

	consensus := p.costAt("replicas.change.wire", peak)
	watch := p.measured("watch.wire.slope") * peak * regionEntryHosts
	listing := p.costAt("message.platform_listing_per_host.bytes", hosts) * listingsPerSecond
	reports := p.costAt("message.report_per_endpoint.bytes", hosts) / reportIntervalSeconds * regionEntryHosts
	marks := p.costAt("message.marks_per_pool.bytes", pools) / markIntervalSeconds * (regionVoters - 1)
	r.Add(key+"wire.consensus", "KB/s", consensus/1024)
	r.Add(key+"wire.watch", "KB/s", watch/1024)
	r.Add(key+"wire.platform_listing", "KB/s", listing/1024)
	r.Add(key+"wire.reports_if_all_endpoints_change", "KB/s", reports/1024)
	r.Add(key+"wire.marks", "KB/s", marks/1024)
	r.AddTarget(key+"wire.without_listing_and_reports", limitWire, (consensus+watch+marks)/1024)
	r.AddTarget(key+"wire", limitWire, (consensus+watch+listing+reports+marks)/1024)

	idle := p.measured("replicas.change.processor.intercept") / 2
	changeCost := p.measured("replicas.change.processor.slope") * peak / 2
	watcherCost := p.measured("watch.processor.slope") * peak * regionEntryHosts
	listingDecoding := p.costAt("message.platform_listing_per_host.decode", hosts) / 1e3 * listingsPerSecond
	reportDecoding := p.costAt("message.report_per_endpoint.decode", hosts) / 1e3 / reportIntervalSeconds * regionEntryHosts
	r.Add(key+"processor.idle", "ms/s", idle)
	r.Add(key+"processor.changes", "ms/s", changeCost)
	r.Add(key+"processor.watch", "ms/s", watcherCost)
	r.Add(key+"processor.platform_listing", "ms/s", listingDecoding)
	r.Add(key+"processor.reports", "ms/s", reportDecoding)
	// 10 ms/s is 1% of a core.
	r.AddTarget(key+"processor", limitProcessor, (idle+changeCost+watcherCost+listingDecoding+reportDecoding)/10)
}

// addEntryHost adds the figures of an entry host, which receives the
// announcements of each endpoint of its region and the deltas of its peers.
func (p *projection) addEntryHost(endpoints, peak float64) {
	r := p.report
	key := "two_years.entry_host."
	stateBytes := p.costAt("memory.endpoint", endpoints)
	r.AddTarget(key+"memory", limitMemory, p.measured("memory.process")+gcHeapFactor*stateBytes/(1<<20))
	rate := endpoints * announcementsPerSecond
	announcementWire := p.measured("entry.announcement.wire.slope") * rate
	// Every exchange carries the announcements received since the last one, to
	// and from each peer.
	exchangeWire := p.costAt("message.exchange_per_announcement.bytes", rate/exchangesPerSecond) * exchangesPerSecond * (regionEntryHosts - 1) * 2
	watchWire := p.measured("watch.wire.slope") * peak
	r.Add(key+"wire.announcements", "KB/s", announcementWire/1024)
	r.Add(key+"wire.exchange", "KB/s", exchangeWire/1024)
	r.Add(key+"wire.watch", "KB/s", watchWire/1024)
	r.AddTarget(key+"wire", limitWire, (announcementWire+exchangeWire+watchWire)/1024)
	idle := p.measured("entry.announcement.processor.intercept")
	announcementProcessor := p.measured("entry.announcement.processor.slope") * rate
	r.Add(key+"processor.idle", "ms/s", idle)
	r.Add(key+"processor.announcements", "ms/s", announcementProcessor)
	r.AddTarget(key+"processor", limitProcessor, (idle+announcementProcessor)/10)
}

// addSingleCellLeader adds the figures of the leader of one cell for all hosts,
// which is what the present code supports.
func (p *projection) addSingleCellLeader() {
	r := p.report
	key := "two_years.one_cell_leader."
	stateBytes := p.measured("memory.host.slope")*twoYearHosts + p.measured("memory.planner_host.slope")*twoYearHosts + p.measured("memory.pool.slope")*twoYearPools +
		p.measured("memory.change_id.slope")*retainedChangeIDs + p.measured("memory.audit_entry.slope")*retainedAuditEntries + p.measured("memory.host.slope")*retainedEvents
	r.AddTarget(key+"memory", limitMemory, p.measured("memory.process")+gcHeapFactor*stateBytes/(1<<20))
	r.AddTarget(key+"wire.platform_listing", limitWire, p.costAt("message.platform_listing_per_host.bytes", twoYearHosts)*listingsPerSecond/1024)
	r.AddTarget(key+"processor.platform_listing", limitProcessor, p.costAt("message.platform_listing_per_host.decode", twoYearHosts)/1e3*listingsPerSecond/10)
}
