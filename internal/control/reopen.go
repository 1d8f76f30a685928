package control

import (
	"context"
	"time"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/raft"
	"laburnumdock/internal/logevent"
	"laburnumdock/internal/wal"
)

// reopenInterval is the time between two attempts to reopen the storage. It is short
// against an election timeout, so that a replica resumes before the next
// host can be expected to fail, and an attempt on a full disk costs only the write of
// one small file.
const reopenInterval = 200 * time.Millisecond

const (
	// maxReopenInterval bounds the time before the first attempt. It is below the time
	// for which a full disk usually lasts.
	maxReopenInterval = 3 * time.Second
	// stableTime is the time after which a reopened storage counts as working.
	stableTime = 2 * time.Second
)

// nextReopenDelay returns the time before the first attempt to reopen the storage. It
// doubles while the storage fails soon after it was reopened: the disk then takes the
// small file of an attempt, but not the records, and each attempt reads the whole log
// and may make the leader send a snapshot.
func nextReopenDelay(previous, sinceReopened time.Duration) time.Duration {
	if previous == 0 || sinceReopened >= stableTime {
		return reopenInterval
	}
	return min(2*previous, maxReopenInterval)
}

// outage describes a failure of the storage.
type outage struct {
	startedAt time.Time
	// retryAt is the time of the next attempt to reopen the storage.
	retryAt time.Time
	// leader is the leader by the messages that arrived during the outage, and term
	// its term. They are not stored, and only tell where to forward requests.
	leader, term uint64
}

// fail halts the replica after a failure and fails everything that is pending.
// Appended entries may or may not survive. After a failure of the storage the replica
// resumes once the storage has been reopened.
func (l *loop) fail(err error) {
	if l.failed != nil {
		return
	}
	now := time.Now()
	l.failed = err
	l.reopenDelay = nextReopenDelay(l.reopenDelay, now.Sub(l.reopenedAt))
	l.outage = outage{startedAt: now, retryAt: now.Add(l.reopenDelay), term: l.node.Term()}
	l.r.store.Fail(err)
	l.r.cfg.Log.Err(logevent.StorageFailed, err, nil)
	l.r.gauges.storageFailures.Inc(1)
	l.node.Halt()
	l.pending.fail(^uint64(0), fault.New(fault.OutcomeUnknown, "the replica's storage failed before the change was committed: %v", err))
	for token, reply := range l.reads {
		delete(l.reads, token)
		reply <- outcome{err: l.refusal()}
	}
}

// refusal returns the error with which a halted replica refuses requests:
// a refused request had no effect.
func (l *loop) refusal() error {
	if fault.KindOf(l.failed) == fault.Stopping {
		return l.failed
	}
	return fault.New(fault.Unavailable, "replica %d is halted: %v", l.r.cfg.ID, l.failed)
}

// observeLeader learns the leader during an outage from the messages that are refused.
func (l *loop) observeLeader(messages []raft.Message) {
	for _, m := range messages {
		switch m.Type {
		case raft.MsgAppend, raft.MsgHeartbeat, raft.MsgSnapshot:
			if m.Term >= l.outage.term {
				l.outage.leader, l.outage.term = m.From, m.Term
			}
		default:
		}
	}
}

// leader returns the ID of the leader, or 0 if none is known.
func (l *loop) leader() uint64 {
	if l.failed != nil {
		return l.outage.leader
	}
	return l.node.Leader()
}

// reopenStorageIfDue tries to reopen the storage after a failure. It does not after a
// failure of another kind, such as an entry that cannot be decoded, which would only
// repeat. A snapshot that is still being written would be removed as unfinished.
func (l *loop) reopenStorageIfDue() {
	isDue := fault.KindOf(l.failed) == fault.StorageFailed && !time.Now().Before(l.outage.retryAt)
	if !isDue || l.stopping || l.savingSnapshot {
		return
	}
	rec, err := l.r.store.Reopen()
	if err == nil {
		err = l.resume(rec)
	}
	if err == nil {
		return
	}
	l.outage.retryAt = time.Now().Add(reopenInterval)
	l.r.store.Fail(err)
	if err.Error() != l.failed.Error() {
		l.failed = err
		l.r.cfg.Log.Err(logevent.StorageFailed, err, nil)
	}
}

// resume continues with the reopened storage and a new Raft node, as after a restart.
// The applied state stays: only entries that were durable here have been applied, so
// that readers never see an older state.
func (l *loop) resume(rec *wal.Recovered) error {
	s := newRecoveredState(rec)
	last := s.snapshot.Index + uint64(len(s.entries))
	if last < l.applied {
		return fault.New(fault.StorageFailed, "the log ends with entry %d, although entry %d was stored and applied", last, l.applied)
	}
	node, err := l.r.cfg.newNode(s)
	if err != nil {
		return err
	}
	if s.snapshot.Index > l.applied {
		img, err := decodeImage(rec.Snapshot.Data)
		if err != nil {
			return err
		}
		l.state, l.applied = img.state, s.snapshot.Index
		l.setAddresses(img.addresses)
		l.publishView()
	}
	l.setEntryAddresses(s.entries)
	l.node, l.hardState, l.snapshotIndex = node, s.hardState, s.snapshot.Index
	fields := logevent.Fields{"age_ms": time.Since(l.outage.startedAt).Milliseconds(), "entries": len(s.entries), "term": s.hardState.Term}
	l.failed, l.outage, l.statusDue, l.reopenedAt = nil, outage{}, true, time.Now()
	l.r.cfg.Log.Log(logevent.StorageRecovered, fields)
	logTornRecord(l.r.cfg, rec)
	return nil
}

// RetryWhileRefused calls attempt until its error is not a refusal by the disk, and
// returns that error, or that of ctx if it ends before. A process that starts while
// its disk is full thus waits for it.
func RetryWhileRefused(ctx context.Context, log *logevent.Logger, attempt func() error) error {
	var startedAt time.Time
	for {
		err := attempt()
		if !wal.IsRefusal(err) {
			if err == nil && !startedAt.IsZero() {
				log.Log(logevent.StorageRecovered, logevent.Fields{"age_ms": time.Since(startedAt).Milliseconds()})
			}
			return err
		}
		if startedAt.IsZero() {
			startedAt = time.Now()
			log.Err(logevent.StorageFailed, err, nil)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(reopenInterval):
		}
	}
}
