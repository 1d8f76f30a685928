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
	// MaxWaiting bounds the list of waiting hosts in the status of a wave.
	MaxWaiting = 32
	// WaveStatusInterval is the least time between two statuses of a wave that
	// differ in their lists alone.
	WaveStatusInterval = 2 * time.Second
	// failureHoldWindows is for how many failure windows a paused wave waits
	// for failed hosts. Hosts that never heal do not hold it for ever; they
	// still count against the budgets.
	failureHoldWindows = 10
)

// waveSummary is what one wave has left in one pool.
type waveSummary struct {
	// remaining counts the hosts that have not been through the wave.
	remaining int
	stopped   []string
	// lost are the remaining hosts that were lost for longer than the limit.
	lost []string
	// failures turned unhealthy within the window, open within the hold time.
	failures, open int
}

// activeWaves returns the started waves that cover the pool, the one that
// started first in front.
func (pl *Planner) activeWaves(p *poolIndex) []*waveIndex {
	var list []*waveIndex
	for _, name := range pl.waveNames {
		w := pl.waves[name]
		if w.active() && slices.Contains(w.wave.Spec.Pools, p.name) {
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

func (w *waveIndex) active() bool {
	return w.wave.Spec.Started && !w.wave.Spec.Cancelled && w.wave.Status.Phase != model.WaveFinished
}

// cancelling tells that the wave is cancelled and not over yet.
func (w *waveIndex) cancelling() bool {
	return w.wave.Spec.Cancelled && w.wave.Status.Phase != model.WaveCancelled
}

// covers tells whether the wave still has to stop the host. A host that was
// installed after the start of the wave is left out; one that joins a pool by
// a move is included, because it may need the maintenance like any other.
func (w *waveIndex) covers(h *model.Host) bool {
	started := w.wave.Status.Started
	return !w.done[h.Name] && (started.IsZero() || !h.Created.After(started))
}

func (w *waveIndex) limit() time.Duration {
	return time.Duration(w.wave.Spec.StragglerLimitSeconds) * time.Second
}

func (w *waveIndex) window() time.Duration {
	return time.Duration(w.wave.Spec.FailureWindowSeconds) * time.Second
}

// summarise counts what each wave has left in the pool.
func (pl *Planner) summarise(p *poolIndex, reported time.Time) {
	clear(p.waves)
	for _, w := range pl.activeWaves(p) {
		sum := &waveSummary{}
		for _, s := range p.ordered() {
			pl.summariseHost(p, w, sum, s.host, reported)
		}
		p.waves[w.wave.Name] = sum
		w.changed = true
	}
}

func (pl *Planner) summariseHost(p *poolIndex, w *waveIndex, sum *waveSummary, h *model.Host, reported time.Time) {
	pl.countFailure(p, w, sum, h)
	if !w.covers(h) {
		return
	}
	sum.remaining++
	if h.Status.Stop != nil {
		if h.Status.Stop.Wave == w.wave.Name {
			sum.stopped = append(sum.stopped, h.Name)
		}
		return
	}
	since := lostSince(h, reported, pl.now)
	if since.IsZero() && h.Status.Health == model.HealthHealthy {
		return
	}
	limit := laterOf(since, w.wave.Status.Started).Add(w.limit())
	if pl.now.After(limit) {
		sum.lost = append(sum.lost, h.Name)
	} else {
		p.due = earliest(p.due, limit.Add(time.Millisecond))
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// countFailure counts a host that failed outside a planned stop.
func (pl *Planner) countFailure(p *poolIndex, w *waveIndex, sum *waveSummary, h *model.Host) {
	since := h.Status.HealthSince
	if h.Status.Stop != nil || h.Status.Health == model.HealthHealthy || since.IsZero() {
		return
	}
	age := pl.now.Sub(since)
	if age < w.window() {
		sum.failures++
		p.due = earliest(p.due, since.Add(w.window()))
	}
	if hold := failureHoldWindows * w.window(); age < hold {
		sum.open++
		p.due = earliest(p.due, since.Add(hold))
	}
}

// stepWaves starts, pauses and resumes waves.
func (pl *Planner) stepWaves() {
	for _, name := range pl.waveNames {
		w := pl.waves[name]
		if w.cancelling() && w.stops == 0 {
			status := w.wave.Status
			status.Phase, status.Reason, status.Message = model.WaveCancelled, model.ReasonNone, "cancelled by an operator"
			status.Stopped, status.Waiting = nil, nil
			pl.proposeWave(w, status)
		}
		if !w.active() {
			continue
		}
		phase, reason, message := pl.wavePhase(w)
		status := w.wave.Status
		if phase == status.Phase && reason == status.Reason {
			continue
		}
		status.Phase, status.Reason, status.Message = phase, reason, message
		pl.proposeWave(w, status)
	}
}

func (pl *Planner) proposeWave(w *waveIndex, status model.WaveStatus) {
	// Done stays with Apply; the command does not carry the long list.
	status.Done = nil
	pl.propose(state.WaveStep{Origin: pl.origin(), Wave: w.wave.Name, Expected: w.wave.Version, Status: status})
	w.told = pl.now
	w.changed = false
}

func (pl *Planner) wavePhase(w *waveIndex) (model.WavePhase, model.Reason, string) {
	if w.wave.Spec.Paused {
		return model.WavePaused, model.ReasonPaused, "paused by an operator"
	}
	failures, open := 0, 0
	for _, name := range w.wave.Spec.Pools {
		if sum := pl.pool(name).waves[w.wave.Name]; sum != nil {
			failures += sum.failures
			open += sum.open
		}
	}
	need := w.wave.Spec.PauseOnFailures
	waiting := w.wave.Status.Phase == model.WavePaused && w.wave.Status.Reason == model.ReasonCorrelatedFailure
	if failures >= need || waiting && open >= need {
		message := fmt.Sprintf("%d hosts failed within %s, the wave resumes when fewer than %d are failed", max(failures, open), w.window(), need)
		return model.WavePaused, model.ReasonCorrelatedFailure, message
	}
	return model.WaveRunning, model.ReasonNone, ""
}

// planWaves lets the first wave of the pool stop hosts; the others wait for it.
func (pl *Planner) planWaves(p *poolIndex, reported time.Time) {
	var holder *waveIndex
	for _, w := range pl.activeWaves(p) {
		reason := w.heldReason()
		if reason == model.ReasonNone && holder != nil {
			reason = model.ReasonOtherWave
		}
		if w.wave.Status.Phase == model.WavePending {
			continue
		}
		if reason == model.ReasonNone && p.waves[w.wave.Name].remaining > 0 {
			holder = w
		}
		pl.planWave(p, w, reason, reported)
	}
}

// heldReason returns why the wave as a whole stops no host.
func (w *waveIndex) heldReason() model.Reason {
	if w.wave.Spec.Paused {
		return model.ReasonPaused
	}
	if w.wave.Status.Phase == model.WavePaused {
		return w.wave.Status.Reason
	}
	return model.ReasonNone
}

// planWave plans stops of one pool in the order of zone and rack. A later zone
// waits until the earlier one is done, so that a fault of the maintenance
// itself meets one zone.
func (pl *Planner) planWave(p *poolIndex, w *waveIndex, held model.Reason, reported time.Time) {
	budgets := p.sortedBudgets()
	zone := ""
	for _, s := range p.ordered() {
		h := s.host
		if !w.covers(h) || h.Status.Stop != nil && h.Status.Stop.Wave == w.wave.Name {
			if h.Status.Stop != nil && zone == "" && w.covers(h) {
				zone = h.Spec.Zone
			}
			continue
		}
		reason, message := held, ""
		switch {
		case h.Status.Stop != nil:
			reason, message = model.ReasonOtherWave, "host is in another planned stop"
		case !lostSince(h, reported, pl.now).IsZero() || h.Status.Health != model.HealthHealthy:
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
			pl.wait(p, Wait{Host: h.Name, Wave: w.wave.Name, Reason: reason, Message: message})
		}
	}
}

// planWaveHost plans the stop of a healthy host, or returns what keeps it.
func (pl *Planner) planWaveHost(p *poolIndex, w *waveIndex, h *model.Host, zone string, budgets []*model.Budget) (model.Reason, string) {
	if h.Spec.Zone != zone {
		return model.ReasonEarlierZone, "zone " + zone + " is not done"
	}
	if w.stops+w.planned >= w.wave.Spec.MaxParallel {
		p.parallel = true
		return model.ReasonParallelLimit, ""
	}
	if err := p.capacity.CheckStop(h, true, budgets); err != nil {
		return reasonOf(err), err.Message
	}
	if !pl.reserveAllows(p) {
		return model.ReasonSurgeReserve, ""
	}
	pl.takeStop(p, h, model.PlannedStop{Action: w.wave.Spec.Action, Wave: w.wave.Name})
	w.planned++
	return model.ReasonNone, ""
}

func reasonOf(err *fault.Error) model.Reason { return model.Reason(err.Reason) }

// Reserve returns how many hosts must stay available during a wave, for a mean
// demand in hosts: mean * (1 + (1 - rolloutWeight) * (surgeFactor - 1)), rounded
// up. At weight 1 only the mean is kept and a surge waits in the queue; at
// weight 0 the whole expected peak is kept.
func Reserve(mean float64, spec model.PoolSpec) int {
	return int(math.Ceil(mean * (1 + (1-spec.RolloutWeight)*(spec.SurgeFactor-1))))
}

// reserveAllows tells whether one more host may leave for a wave. A pool whose
// peak exceeds what it holds still lets one host go at a time while the mean is
// covered, or its wave would never finish.
func (pl *Planner) reserveAllows(p *poolIndex) bool {
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

// planParallel lets pools go on that wait for the limit of a wave, after a stop
// of another pool has ended. It plans as many pools as the limit has room for.
func (pl *Planner) planParallel() {
	for _, name := range pl.waveNames {
		w := pl.waves[name]
		if !w.active() || w.heldReason() != model.ReasonNone || !w.changed {
			continue
		}
		for _, pool := range w.wave.Spec.Pools {
			if w.stops+w.planned >= w.wave.Spec.MaxParallel {
				break
			}
			if p := pl.pool(pool); p.parallel && p.round != pl.round {
				pl.measure(p)
				pl.planPool(p)
			}
		}
	}
}

// tellWaves writes the progress of waves and ends those that are done.
func (pl *Planner) tellWaves() {
	for _, name := range pl.waveNames {
		w := pl.waves[name]
		if !w.active() || !w.changed || w.wave.Status.Phase == model.WavePending {
			continue
		}
		status, finished := pl.waveStatus(w)
		if !finished && pl.now.Sub(w.told) < WaveStatusInterval {
			pl.result.Next = earliest(pl.result.Next, w.told.Add(WaveStatusInterval))
			continue
		}
		w.changed = false
		if finished || !sameWaveStatus(status, w.wave.Status) {
			pl.proposeWave(w, status)
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
		status.Stopped = append(status.Stopped, sum.stopped...)
		status.Skipped = append(status.Skipped, sum.lost...)
	}
	status.Total = len(w.wave.Status.Done) + remaining
	status.Waiting = pl.waiting(w)
	finished := complete && w.stops+w.planned == 0 && remaining == len(status.Skipped) && status.Phase == model.WaveRunning && !w.wave.Spec.Paused
	if finished {
		status.Phase = model.WaveFinished
		status.Waiting = nil
	}
	return status, finished
}

// waiting lists hosts within a stop first: they hold the others.
func (pl *Planner) waiting(w *waveIndex) []model.WaitEntry {
	var inStop, others []model.WaitEntry
	for _, name := range w.wave.Spec.Pools {
		for _, wait := range pl.pool(name).waits {
			if wait.Wave != w.wave.Name || len(others) >= MaxWaiting && !pl.stopped(wait.Host) {
				continue
			}
			entry := model.WaitEntry{Host: wait.Host, Reason: wait.Reason, Message: wait.Message}
			if pl.stopped(wait.Host) {
				inStop = append(inStop, entry)
			} else {
				others = append(others, entry)
			}
		}
	}
	list := append(inStop, others...)
	return list[:min(len(list), MaxWaiting)]
}

func (pl *Planner) stopped(host string) bool {
	h := pl.hosts[host]
	return h != nil && h.Status.Stop != nil
}

func sameWaveStatus(a, b model.WaveStatus) bool {
	return a.Total == b.Total && slices.Equal(a.Stopped, b.Stopped) && slices.Equal(a.Skipped, b.Skipped) && slices.Equal(a.Waiting, b.Waiting)
}
