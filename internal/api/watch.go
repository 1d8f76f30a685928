package api

import (
	"bufio"
	"context"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"laburnumdock/internal/answer"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
	"laburnumdock/internal/logevent"
)

// LineType is the type of a line of a watch stream.
type LineType string

// The line types.
const (
	// LineEvent is a change of one resource.
	LineEvent LineType = "event"
	// LineProgress states that all events up to its version were sent. A client
	// must resume from the version of such a line and not of an event, because
	// all events of one command have the same version.
	LineProgress LineType = "progress"
	// LineError is the last line of a stream that the server ends.
	LineError LineType = "error"
)

// WatchLine is one line of a watch stream.
type WatchLine struct {
	Type    LineType     `json:"type"`
	Version uint64       `json:"version,omitempty"`
	Kind    model.Kind   `json:"kind,omitempty"`
	Name    string       `json:"name,omitempty"`
	Deleted bool         `json:"deleted,omitempty"`
	Object  model.Object `json:"object,omitempty"`
	Error   *fault.Error `json:"error,omitempty"`
	RetryMs int64        `json:"retryMs,omitempty"`
}

// watcher serves one watch stream. It has no event buffer of its own: all
// watchers read the window of events that the state retains, and one that falls
// behind the window is disconnected.
type watcher struct {
	*api
	kinds      map[model.Kind]bool
	version    uint64
	out        *bufio.Writer
	encoder    *json.Encoder
	controller *http.ResponseController
}

func (a *api) watch(w http.ResponseWriter, r *http.Request) {
	defer a.watchers.Add(-1)
	if n := a.watchers.Add(1); n > int64(a.Watch.MaxWatchers) {
		w.Header().Set(RetryHeader, strconv.FormatInt(a.retryDelayMs(), 10))
		answer.WriteError(w, fault.New(fault.Overloaded, "%d watch streams are already open", n-1))
		return
	}
	from, kinds, err := a.parseWatchRequest(r)
	if err != nil {
		if err.Kind == fault.Compacted {
			w.Header().Set(RetryHeader, strconv.FormatInt(a.retryDelayMs(), 10))
		}
		answer.WriteError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	out := bufio.NewWriterSize(w, 64<<10)
	stream := &watcher{api: a, kinds: kinds, version: from, out: out, encoder: json.NewEncoder(out), controller: http.NewResponseController(w)}
	stream.run(r.Context())
}

// parseWatchRequest returns the start version and the kinds of a watch; no kinds
// means all. It checks that the events after the start version are retained.
func (a *api) parseWatchRequest(r *http.Request) (from uint64, kinds map[model.Kind]bool, err *fault.Error) {
	query := r.URL.Query()
	if !query.Has("from") {
		return 0, nil, fault.InvalidField("from", "the version of a list or of a progress line", "the query has no start version")
	}
	if from, err = queryNumber(r, "from", 0, math.MaxUint64); err != nil {
		return 0, nil, err
	}
	kinds = make(map[model.Kind]bool)
	for name := range strings.SplitSeq(query.Get("kinds"), ",") {
		if name == "" {
			continue
		}
		if model.New(model.Kind(name)) == nil {
			return 0, nil, fault.InvalidField("kinds", "kinds of resources, separated by commas", "kind %q is not known", name)
		}
		kinds[model.Kind(name)] = true
	}
	snap, fail := a.Backend.ReadSnapshot(r.Context())
	if fail != nil {
		return 0, nil, fault.From(fail)
	}
	if from > snap.Version {
		return 0, nil, fault.InvalidField("from", "0 to "+strconv.FormatUint(snap.Version, 10), "version %d is newer than the current version", from)
	}
	_, err = snap.EventsAfter(from)
	return from, kinds, err
}

// run sends events until the client disconnects or falls behind, or the process
// stops.
func (s *watcher) run(ctx context.Context) {
	progress := time.NewTicker(s.Watch.ProgressInterval)
	defer progress.Stop()
	progressDue := true
	for {
		changed := s.Backend.Changed()
		snap := s.Backend.Snapshot()
		events, err := snap.EventsAfter(s.version)
		if err != nil {
			s.end(fault.New(fault.SlowWatcher, "the stream is at version %d, but events up to %d are no longer retained", s.version, err.Current))
			return
		}
		more, err := s.sendBatch(snap, events, progressDue)
		if err != nil {
			s.Log.Log(logevent.WatcherTooSlow, logevent.Fields{"version": s.version, "reason": err.Message})
			return
		}
		if progressDue = more; more {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-s.Stopping:
			s.end(fault.New(fault.Stopping, "the control replica is shutting down"))
			return
		case <-progress.C:
			progressDue = true
		case <-changed:
		}
	}
}

// sendBatch writes one batch of events and reports whether more are left. It
// ends the batch with a progress line if an event was written or progressDue is
// set. A batch never splits the events of one command.
func (s *watcher) sendBatch(snap *state.Snapshot, events []state.Event, progressDue bool) (more bool, err *fault.Error) {
	batch := events[:batchEnd(events, s.Watch.BatchEvents)]
	more = len(batch) < len(events)
	version := max(s.version, snap.Version)
	if more {
		version = batch[len(batch)-1].Version
	}
	deadline := time.Now().Add(s.Watch.WriteTimeout)
	if fail := s.controller.SetWriteDeadline(deadline); fail != nil {
		return false, fault.From(fail)
	}
	for _, e := range batch {
		if len(s.kinds) > 0 && !s.kinds[e.Key.Kind] {
			continue
		}
		progressDue = true
		line := WatchLine{Type: LineEvent, Version: e.Version, Kind: e.Key.Kind, Name: e.Key.Name, Deleted: e.Object == nil, Object: e.Object}
		if fail := s.encoder.Encode(line); fail != nil {
			return false, fault.From(fail)
		}
	}
	s.version = version
	if !progressDue {
		return more, nil
	}
	return more, s.flush(WatchLine{Type: LineProgress, Version: version})
}

// batchEnd returns the number of events in a batch: at most limit, plus the
// remaining events of the last command.
func batchEnd(events []state.Event, limit int) int {
	if len(events) <= limit {
		return len(events)
	}
	end := limit
	for end < len(events) && events[end].Version == events[end-1].Version {
		end++
	}
	return end
}

func (s *watcher) flush(last WatchLine) *fault.Error {
	if err := s.encoder.Encode(last); err != nil {
		return fault.From(err)
	}
	if err := s.out.Flush(); err != nil {
		return fault.From(err)
	}
	if err := s.controller.Flush(); err != nil {
		return fault.From(err)
	}
	return nil
}

// end writes an error line with the reason for which the server ends the stream.
func (s *watcher) end(reason *fault.Error) {
	if reason.Kind == fault.SlowWatcher {
		s.Log.Log(logevent.WatcherTooSlow, logevent.Fields{"version": s.version, "reason": reason.Message})
	}
	// Errors are ignored: if either call fails, the client has disconnected.
	_ = s.controller.SetWriteDeadline(time.Now().Add(s.Watch.WriteTimeout))
	_ = s.flush(WatchLine{Type: LineError, Version: s.version, Error: reason, RetryMs: s.retryDelayMs()})
}
