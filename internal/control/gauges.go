package control

import metrics "github.com/rcrowley/go-metrics"

// gauges are the metrics of a replica.
type gauges struct {
	term, leaderID, commitIndex, appliedIndex, toleratedLosses metrics.Gauge
	logSyncs, logEntries                                       metrics.Gauge
	// storageFailed is 1 while the storage has failed, and storageFailures counts
	// its failures.
	storageFailed   metrics.Gauge
	storageFailures metrics.Counter
}

func newGauges(reg metrics.Registry) *gauges {
	gauge := func(name string) metrics.Gauge { return metrics.GetOrRegisterGauge("control_"+name, reg) }
	return &gauges{
		term: gauge("term"), leaderID: gauge("leader_id"), commitIndex: gauge("commit_index"), appliedIndex: gauge("applied_index"),
		toleratedLosses: gauge("tolerated_losses"), logSyncs: gauge("log_syncs"), logEntries: gauge("log_entries"),
		storageFailed: gauge("storage_failed"), storageFailures: metrics.GetOrRegisterCounter("control_storage_failures", reg),
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
	failed := int64(0)
	if s.StorageError != nil {
		failed = 1
	}
	g.storageFailed.Update(failed)
}
