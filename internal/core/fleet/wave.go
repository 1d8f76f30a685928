package fleet

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

// Limits of waves.
const (
	// MaxWaiting is the maximum number of waiting hosts in the status of a wave.
	MaxWaiting = 32
	// WaveStatusInterval is the minimum time between two status updates of a wave
	// that differ only in their lists.
	WaveStatusInterval = 2 * time.Second
	// failurePauseWindows is the number of failure windows for which a paused wave
	// waits for failed hosts. After that, hosts that never recover no longer keep
	// the wave paused, but still count against the budgets.
	failurePauseWindows = 10
)

// waveSummary is the remaining work of one wave in one pool.
type waveSummary struct {
	// remaining is the number of hosts that the wave has not completed.
	remaining int
	// inStop are the hosts in a planned stop of the wave.
	inStop []string
	// skipped are the remaining hosts that have not been known to be healthy for
	// longer than the straggler limit.
	skipped []string
	// failures is the number of failed hosts that failed within the failure window,
	// unresolved that within failurePauseWindows such windows.
	failures, unresolved int
}

// activeWaves returns the active waves that cover the pool, by start time. Waves
// without a start time come last.
func (pl *Planner) activeWaves(p *poolIndex) []*waveIndex {
	var list []*waveIndex
	for _, name := range pl.waveNames {
		w := pl.waves[name]
		if w.isActive() && slices.Contains(w.wave.Spec.Pools, p.name) {
			list = append(list, w)
		}
	}
	slices.SortStableFunc(list, func(a, b *waveIndex) int {
		x, y := a.wave.Status.Started, b.wave.Status.Started
		return cmp.Or(cmp.Compare(boolInt(x.IsZero()), boolInt(y.IsZero())), x.Compare(y), strings.Compare(a.wave.Name, b.wave.Name))
	})
	return list
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// isActive reports whether the wave is started and neither cancelled nor finished.
func (w *waveIndex) isActive() bool {
	return w.wave.Spec.Started && !w.wave.Spec.Cancelled && w.wave.Status.Phase != model.WaveFinished
}

// isCancelling reports whether the wave was cancelled and its cancellation has not
// completed.
func (w *waveIndex) isCancelling() bool {
	return w.wave.Spec.Cancelled && w.wave.Status.Phase != model.WaveCancelled
}

// covers reports whether the wave still has to complete the host. A host that was
// created after the start of the wave is excluded. A host that joins a pool by a
// move is included, because it may still need the maintenance.
func (w *waveIndex) covers(h *model.Host) bool {
	started := w.wave.Status.Started
	return !w.done[h.Name] && (started.IsZero() || !h.Created.After(started))
}

func (w *waveIndex) stragglerLimit() time.Duration {
	return time.Duration(w.wave.Spec.StragglerLimitSeconds) * time.Second
}

func (w *waveIndex) failureWindow() time.Duration {
	return time.Duration(w.wave.Spec.FailureWindowSeconds) * time.Second
}

// summariseWaves computes the summaries of all active waves of the pool.
func (pl *Planner) summariseWaves(p *poolIndex, reported time.Time) {
	clear(p.waves)
	for _, w := range pl.activeWaves(p) {
		sum := &waveSummary{}
		for _, entry := range p.sortedHosts() {
			pl.summariseHost(p, w, sum, entry.host, reported)
		}
		p.waves[w.wave.Name] = sum
		w.changed = true
	}
}

// summariseHost adds a host to the summary of a wave.
func (pl *Planner) summariseHost(p *poolIndex, w *waveIndex, sum *waveSummary, h *model.Host, reported time.Time) {
	pl.countFailure(p, w, sum, h)
	if !w.covers(h) {
		return
	}
	sum.remaining++
	if h.Status.Stop != nil {
		if h.Status.Stop.Wave == w.wave.Name {
			sum.inStop = append(sum.inStop, h.Name)
		}
		return
	}
	since := unhealthySince(h, reported, pl.now)
	if since.IsZero() && h.Status.Health == model.HealthHealthy {
		return
	}
	limit := latest(since, w.wave.Status.Started).Add(w.stragglerLimit())
	if pl.now.After(limit) {
		sum.skipped = append(sum.skipped, h.Name)
	} else {
		p.nextPlan = earliest(p.nextPlan, limit.Add(time.Millisecond))
	}
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// countFailure counts a host that has failed outside a planned stop.
func (pl *Planner) countFailure(p *poolIndex, w *waveIndex, sum *waveSummary, h *model.Host) {
	since := h.Status.HealthSince
	if h.Status.Stop != nil || h.Status.Health == model.HealthHealthy || since.IsZero() {
		return
	}
	age := pl.now.Sub(since)
	if age < w.failureWindow() {
		sum.failures++
		p.nextPlan = earliest(p.nextPlan, since.Add(w.failureWindow()))
	}
	if pause := failurePauseWindows * w.failureWindow(); age < pause {
		sum.unresolved++
		p.nextPlan = earliest(p.nextPlan, since.Add(pause))
	}
}

// stepWaves proposes the phase changes of waves: start, pause, resume and the end of
// a cancellation.
func (pl *Planner) stepWaves() {
	for _, name := range pl.waveNames {
		w := pl.waves[name]
		if w.isCancelling() && w.stops == 0 {
			status := w.wave.Status
			status.Phase, status.Reason, status.Message = model.WaveCancelled, model.ReasonNone, "cancelled by an operator"
			status.Stopped, status.Waiting = nil, nil
			pl.proposeWaveStatus(w, status)
		}
		if !w.isActive() {
			continue
		}
		phase, reason, message := pl.wavePhase(w)
		status := w.wave.Status
		if phase == status.Phase && reason == status.Reason {
			continue
		}
		status.Phase, status.Reason, status.Message = phase, reason, message
		pl.proposeWaveStatus(w, status)
	}
}

// proposeWaveStatus proposes a new status of a wave.
func (pl *Planner) proposeWaveStatus(w *waveIndex, status model.WaveStatus) {
	// Apply keeps Done, so the command need not carry the long list.
	status.Done = nil
	pl.propose(state.WaveStep{Origin: pl.origin(), Wave: w.wave.Name, Expected: w.wave.Version, Status: status})
	w.statusProposed = pl.now
	w.changed = false
}

// wavePhase returns the phase that an active wave must have, with its reason.
func (pl *Planner) wavePhase(w *waveIndex) (model.WavePhase, model.Reason, string) {
	if w.wave.Spec.Paused {
		return model.WavePaused, model.ReasonPaused, "paused by an operator"
	}
	failures, unresolved := 0, 0
	for _, name := range w.wave.Spec.Pools {
		if sum := pl.pool(name).waves[w.wave.Name]; sum != nil {
			failures += sum.failures
			unresolved += sum.unresolved
		}
	}
	need := w.wave.Spec.PauseOnFailures
	waiting := w.wave.Status.Phase == model.WavePaused && w.wave.Status.Reason == model.ReasonCorrelatedFailure
	if failures >= need || waiting && unresolved >= need {
		message := fmt.Sprintf("%d hosts failed within %s, the wave resumes when fewer than %d are failed", max(failures, unresolved), w.failureWindow(), need)
		return model.WavePaused, model.ReasonCorrelatedFailure, message
	}
	return model.WaveRunning, model.ReasonNone, ""
}

// planWaves plans stops for the first wave of the pool that can proceed and has hosts
// left. The other waves wait for it.
func (pl *Planner) planWaves(p *poolIndex, reported time.Time) {
	var current *waveIndex
	for _, w := range pl.activeWaves(p) {
		reason := w.blockReason()
		if reason == model.ReasonNone && current != nil {
			reason = model.ReasonOtherWave
		}
		if w.wave.Status.Phase == model.WavePending {
			continue
		}
		if reason == model.ReasonNone && p.waves[w.wave.Name].remaining > 0 {
			current = w
		}
		pl.planWave(p, w, reason, reported)
	}
}

// blockReason returns why the wave as a whole may stop no host, or ReasonNone.
func (w *waveIndex) blockReason() model.Reason {
	if w.wave.Spec.Paused {
		return model.ReasonPaused
	}
	if w.wave.Status.Phase == model.WavePaused {
		return w.wave.Status.Reason
	}
	return model.ReasonNone
}

// planWave plans the stops of a wave in one pool by zone and rack. A zone waits until
// the zones before it are finished, so that faulty maintenance affects only one
// zone.
func (pl *Planner) planWave(p *poolIndex, w *waveIndex, blocked model.Reason, reported time.Time) {
	budgets := p.sortedBudgets()
	zone := ""
	for _, entry := range p.sortedHosts() {
		h := entry.host
		if !w.covers(h) || h.Status.Stop != nil && h.Status.Stop.Wave == w.wave.Name {
			if h.Status.Stop != nil && zone == "" && w.covers(h) {
				zone = h.Spec.Zone
			}
			continue
		}
		reason, message := blocked, ""
		switch {
		case h.Status.Stop != nil:
			reason, message = model.ReasonOtherWave, "host is in another planned stop"
		case !unhealthySince(h, reported, pl.now).IsZero() || h.Status.Health != model.HealthHealthy:
			reason = model.ReasonHealthUnknown
		default:
			if zone == "" {
				zone = h.Spec.Zone
			}
			if reason == model.ReasonNone {
				reason, message = pl.planWaveHost(p, w, h, zone, budgets)
			}
		}
		if reason != model.ReasonNone {
			pl.addWait(p, Wait{Host: h.Name, Wave: w.wave.Name, Reason: reason, Message: message})
		}
	}
}

// planWaveHost plans the stop of a healthy host, or returns why the host waits.
func (pl *Planner) planWaveHost(p *poolIndex, w *waveIndex, h *model.Host, zone string, budgets []*model.Budget) (model.Reason, string) {
	if h.Spec.Zone != zone {
		return model.ReasonEarlierZone, "zone " + zone + " is not done"
	}
	if w.stops+w.planned >= w.wave.Spec.MaxParallel {
		p.atParallelLimit = true
		return model.ReasonParallelLimit, ""
	}
	if err := p.capacity.CheckStop(h, true, budgets); err != nil {
		return reasonOf(err), err.Message
	}
	if !pl.reserveAllowsStop(p) {
		return model.ReasonSurgeReserve, ""
	}
	pl.planStop(p, h, model.PlannedStop{Action: w.wave.Spec.Action, Wave: w.wave.Name})
	w.planned++
	return model.ReasonNone, ""
}

// reasonOf returns the reason that a refused stop carries.
func reasonOf(err *fault.Error) model.Reason { return model.Reason(err.Reason) }

// Reserve returns the number of hosts that must stay available during a wave, for a
// mean demand in hosts: mean * (1 + (1 - rolloutWeight) * (surgeFactor - 1)),
// rounded up. With weight 1 the capacity covers only the mean and a surge waits in
// the queue; with weight 0 it covers the expected peak.
func Reserve(mean float64, spec model.PoolSpec) int {
	return int(math.Ceil(mean * (1 + (1-spec.RolloutWeight)*(spec.SurgeFactor-1))))
}

// reserveAllowsStop reports whether a wave may stop one more host of the pool. A pool
// whose expected peak exceeds its capacity may still have one host stopped at a
// time while the mean is covered; otherwise its wave would never finish.
func (pl *Planner) reserveAllowsStop(p *poolIndex) bool {
	if p.pool == nil {
		return false
	}
	mean := pl.demand.Mean(p.pool.Spec.Service) / float64(pl.slots)
	left := p.capacity.Available - 1
	if left >= Reserve(mean, p.pool.Spec) {
		return true
	}
	return p.capacity.PlannedStops == 0 && float64(left) >= mean
}

// planPoolsAtParallelLimit plans the pools that wait for the parallel limit of a wave
// once a stop in another pool has ended, until the limit is reached again.
func (pl *Planner) planPoolsAtParallelLimit() {
	for _, name := range pl.waveNames {
		w := pl.waves[name]
		if !w.isActive() || w.blockReason() != model.ReasonNone || !w.changed {
			continue
		}
		for _, pool := range w.wave.Spec.Pools {
			if w.stops+w.planned >= w.wave.Spec.MaxParallel {
				break
			}
			if p := pl.pool(pool); p.atParallelLimit && p.round != pl.round {
				pl.recountPool(p)
				pl.planPool(p)
			}
		}
	}
}

// proposeWaveProgress proposes the progress of waves and finishes those that are
// complete.
func (pl *Planner) proposeWaveProgress() {
	for _, name := range pl.waveNames {
		w := pl.waves[name]
		if !w.isActive() || !w.changed || w.wave.Status.Phase == model.WavePending {
			continue
		}
		status, finished := pl.waveStatus(w)
		if !finished && pl.now.Sub(w.statusProposed) < WaveStatusInterval {
			pl.result.Next = earliest(pl.result.Next, w.statusProposed.Add(WaveStatusInterval))
			continue
		}
		w.changed = false
		if finished || !sameWaveStatus(status, w.wave.Status) {
			pl.proposeWaveStatus(w, status)
		}
	}
}

// waveStatus returns the status of a wave and whether it is finished.
func (pl *Planner) waveStatus(w *waveIndex) (model.WaveStatus, bool) {
	status := w.wave.Status
	status.Stopped, status.Skipped, status.Waiting = nil, nil, nil
	remaining, complete := 0, true
	for _, name := range w.wave.Spec.Pools {
		sum := pl.pool(name).waves[w.wave.Name]
		if sum == nil {
			complete = false
			continue
		}
		remaining += sum.remaining
		status.Stopped = append(status.Stopped, sum.inStop...)
		status.Skipped = append(status.Skipped, sum.skipped...)
	}
	status.Total = len(w.wave.Status.Done) + remaining
	status.Waiting = pl.waitEntries(w)
	finished := complete && w.stops+w.planned == 0 && remaining == len(status.Skipped) && status.Phase == model.WaveRunning && !w.wave.Spec.Paused
	if finished {
		status.Phase = model.WaveFinished
		status.Waiting = nil
	}
	return status, finished
}

// waitEntries returns the waiting hosts of a wave, at most MaxWaiting. Hosts in a
// planned stop come first, because the others wait for them.
func (pl *Planner) waitEntries(w *waveIndex) []model.WaitEntry {
	var inStop, others []model.WaitEntry
	for _, name := range w.wave.Spec.Pools {
		for _, wait := range pl.pool(name).waits {
			if wait.Wave != w.wave.Name || len(others) >= MaxWaiting && !pl.isInStop(wait.Host) {
				continue
			}
			entry := model.WaitEntry{Host: wait.Host, Reason: wait.Reason, Message: wait.Message}
			if pl.isInStop(wait.Host) {
				inStop = append(inStop, entry)
			} else {
				others = append(others, entry)
			}
		}
	}
	list := append(inStop, others...)
	return list[:min(len(list), MaxWaiting)]
}

func (pl *Planner) isInStop(host string) bool {
	h := pl.hosts[host]
	return h != nil && h.Status.Stop != nil
}

// sameWaveStatus reports whether two statuses have the same total and lists.
func sameWaveStatus(a, b model.WaveStatus) bool {
	return a.Total == b.Total && slices.Equal(a.Stopped, b.Stopped) && slices.Equal(a.Skipped, b.Skipped) && slices.Equal(a.Waiting, b.Waiting)
}
