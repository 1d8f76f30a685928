package control

import metrics "github.com/rcrowley/go-metrics"

// meters are the metrics of a replica.
type meters struct {
	term, leader, commit, applied, tolerates metrics.Gauge
	syncs, entries                           metrics.Gauge
}

func newMeters(reg metrics.Registry) *meters {
	gauge := func(name string) metrics.Gauge { return metrics.GetOrRegisterGauge("control_"+name, reg) }
	return &meters{
		term: gauge("term"), leader: gauge("leader_id"), commit: gauge("commit_index"), applied: gauge("applied_index"),
		tolerates: gauge("tolerated_losses"), syncs: gauge("log_syncs"), entries: gauge("log_entries"),
	}
}

func (m *meters) update(s Status) {
	m.term.Update(int64(s.Term))
	m.leader.Update(int64(s.Leader))
	m.commit.Update(int64(s.Commit))
	m.applied.Update(int64(s.Applied))
	m.tolerates.Update(int64(s.ToleratedLosses))
	m.syncs.Update(int64(s.Storage.Syncs))
	m.entries.Update(int64(s.Storage.Entries))
}
