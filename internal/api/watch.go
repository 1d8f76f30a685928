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

// LineType tells what a line of a watch stream is.
type LineType string

// The types of lines.
const (
	// LineEvent is a change of one resource.
	LineEvent LineType = "event"
	// LineProgress says that all events up to its version were sent. A client
	// resumes from the version of the last such line alone, because all events
	// of one command have the same version.
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

// watcher is one watch stream. Its buffer is the window of events that all
// share: a watcher that falls behind the window is cut off.
type watcher struct {
	*api
	kinds   map[model.Kind]bool
	version uint64
	out     *bufio.Writer
	lines   *json.Encoder
	control *http.ResponseController
}

func (a *api) watch(w http.ResponseWriter, r *http.Request) {
	defer a.watchers.Add(-1)
	if n := a.watchers.Add(1); n > int64(a.Watch.MaxWatchers) {
		w.Header().Set(RetryHeader, strconv.FormatInt(a.retryAfter(), 10))
		answer.WriteError(w, fault.New(fault.Overloaded, "%d watch streams are open already", n-1))
		return
	}
	from, kinds, err := a.watchStart(r)
	if err != nil {
		if err.Kind == fault.Compacted {
			w.Header().Set(RetryHeader, strconv.FormatInt(a.retryAfter(), 10))
		}
		answer.WriteError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	out := bufio.NewWriterSize(w, 64<<10)
	stream := &watcher{api: a, kinds: kinds, version: from, out: out, lines: json.NewEncoder(out), control: http.NewResponseController(w)}
	stream.run(r.Context())
}

// watchStart checks a watch before its stream starts.
func (a *api) watchStart(r *http.Request) (from uint64, kinds map[model.Kind]bool, err *fault.Error) {
	query := r.URL.Query()
	if !query.Has("from") {
		return 0, nil, fault.InvalidField("from", "the version of a list or of a progress line", "the query has no version to start from")
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
		return 0, nil, fault.InvalidField("from", "0 to "+strconv.FormatUint(snap.Version, 10), "version %d is not there yet", from)
	}
	_, err = snap.EventsAfter(from)
	return from, kinds, err
}

// run sends events until the client goes, falls behind or the process stops.
func (s *watcher) run(ctx context.Context) {
	progress := time.NewTicker(s.Watch.ProgressInterval)
	defer progress.Stop()
	due := true
	for {
		changed := s.Backend.Changed()
		snap := s.Backend.Snapshot()
		events, err := snap.EventsAfter(s.version)
		if err != nil {
			s.end(fault.New(fault.SlowWatcher, "the stream is at version %d, events up to %d are gone", s.version, err.Current))
			return
		}
		more, err := s.send(snap, events, due)
		if err != nil {
			s.Log.Log(logevent.WatcherTooSlow, logevent.Fields{"version": s.version, "reason": err.Message})
			return
		}
		if due = more; more {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-s.Stopping:
			s.end(fault.New(fault.Stopping, "the control replica shuts down"))
			return
		case <-progress.C:
			due = true
		case <-changed:
		}
	}
}

// send writes one batch and tells whether there is more. A batch never ends
// inside the events of one command.
func (s *watcher) send(snap *state.Snapshot, events []state.Event, due bool) (more bool, err *fault.Error) {
	batch := events[:batchEnd(events, s.Watch.BatchEvents)]
	more = len(batch) < len(events)
	version := max(s.version, snap.Version)
	if more {
		version = batch[len(batch)-1].Version
	}
	deadline := time.Now().Add(s.Watch.WriteTimeout)
	if fail := s.control.SetWriteDeadline(deadline); fail != nil {
		return false, fault.From(fail)
	}
	for _, e := range batch {
		if len(s.kinds) > 0 && !s.kinds[e.Key.Kind] {
			continue
		}
		due = true
		line := WatchLine{Type: LineEvent, Version: e.Version, Kind: e.Key.Kind, Name: e.Key.Name, Deleted: e.Object == nil, Object: e.Object}
		if fail := s.lines.Encode(line); fail != nil {
			return false, fault.From(fail)
		}
	}
	s.version = version
	if !due {
		return more, nil
	}
	return more, s.flush(WatchLine{Type: LineProgress, Version: version})
}

// batchEnd returns the number of events of a batch of about limit events.
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
	if err := s.lines.Encode(last); err != nil {
		return fault.From(err)
	}
	if err := s.out.Flush(); err != nil {
		return fault.From(err)
	}
	if err := s.control.Flush(); err != nil {
		return fault.From(err)
	}
	return nil
}

// end writes the reason for which the server ends the stream.
func (s *watcher) end(reason *fault.Error) {
	if reason.Kind == fault.SlowWatcher {
		s.Log.Log(logevent.WatcherTooSlow, logevent.Fields{"version": s.version, "reason": reason.Message})
	}
	// The client is gone if either fails.
	_ = s.control.SetWriteDeadline(time.Now().Add(s.Watch.WriteTimeout))
	_ = s.flush(WatchLine{Type: LineError, Version: s.version, Error: reason, RetryMs: s.retryAfter()})
}
