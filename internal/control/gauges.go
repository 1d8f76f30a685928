package control

import metrics "github.com/rcrowley/go-metrics"

// gauges are the metrics of a replica.
type gauges struct {
	term, leaderID, commitIndex, appliedIndex, toleratedLosses metrics.Gauge
	logSyncs, logEntries                                       metrics.Gauge
}

func newGauges(reg metrics.Registry) *gauges {
	gauge := func(name string) metrics.Gauge { return metrics.GetOrRegisterGauge("control_"+name, reg) }
	return &gauges{
		term: gauge("term"), leaderID: gauge("leader_id"), commitIndex: gauge("commit_index"), appliedIndex: gauge("applied_index"),
		toleratedLosses: gauge("tolerated_losses"), logSyncs: gauge("log_syncs"), logEntries: gauge("log_entries"),
	}
}

func (g *gauges) update(s Status) {
	g.term.Update(int64(s.Term))
	g.leaderID.Update(int64(s.Leader))
	g.commitIndex.Update(int64(s.Commit))
	g.appliedIndex.Update(int64(s.Applied))
	g.toleratedLosses.Update(int64(s.ToleratedLosses))
	g.logSyncs.Update(int64(s.Storage.Syncs))
	g.logEntries.Update(int64(s.Storage.Entries))
}
