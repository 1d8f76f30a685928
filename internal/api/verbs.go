package api

import (
	"net/http"
	"strconv"

	"laburnumdock/internal/answer"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

// maxVerbAttempts bounds how often a verb is proposed, each time for the current
// version. The planner changes hosts and waves continually, so a single conflict
// is common.
const maxVerbAttempts = 8

// VerbBody is the request body of a verb. All fields are optional, except Pool
// for a move.
type VerbBody struct {
	// Pool is the target of a move.
	Pool string `json:"pool,omitempty"`
	// Version is the expected version of the resource; 0 means the current one.
	Version uint64 `json:"version,omitempty"`
}

// verbBuilder returns the command of a verb for a stored resource and an
// expected version. It does not validate: a verb that is sent again must reach
// the table of change IDs even if the resource has changed since.
type verbBuilder func(o state.Origin, stored model.Object, expected uint64, b VerbBody) state.Command

// updateSpec returns the builder of a verb that changes the spec of a resource.
func updateSpec[T model.Object](change func(T)) verbBuilder {
	return func(o state.Origin, stored model.Object, expected uint64, _ VerbBody) state.Command {
		obj := stored.Clone()
		change(obj.(T))
		return state.Put{Origin: o, Object: obj, Expected: expected}
	}
}

// beginStop returns the builder of a verb that starts a planned stop of a host.
func beginStop(action model.StopAction) verbBuilder {
	return func(o state.Origin, stored model.Object, expected uint64, b VerbBody) state.Command {
		stop := &model.PlannedStop{Action: action, TargetPool: b.Pool, Since: o.Time}
		return state.HostStep{Origin: o, Host: stored.Metadata().Name, Expected: expected, To: model.HostDraining, Stop: stop}
	}
}

func cancelStop(o state.Origin, stored model.Object, expected uint64, _ VerbBody) state.Command {
	return state.HostStep{Origin: o, Host: stored.Metadata().Name, Expected: expected, To: model.HostActive, Cancel: true}
}

var waveVerbs = map[string]verbBuilder{
	"start":  updateSpec(func(w *model.Wave) { w.Spec.Started = true }),
	"pause":  updateSpec(func(w *model.Wave) { w.Spec.Paused = true }),
	"resume": updateSpec(func(w *model.Wave) { w.Spec.Paused = false }),
	"cancel": updateSpec(func(w *model.Wave) { w.Spec.Cancelled = true }),
}

var jobVerbs = map[string]verbBuilder{
	"cancel": updateSpec(func(j *model.Job) { j.Spec.Cancelled = true }),
}

var hostVerbs = map[string]verbBuilder{
	"drain":  beginStop(model.StopDrain),
	"reboot": beginStop(model.StopReboot),
	"move":   beginStop(model.StopMove),
	"cancel": cancelStop,
}

func (a *api) hostVerb(w http.ResponseWriter, r *http.Request) {
	a.runVerb(w, r, model.KindHost, hostVerbs)
}

func (a *api) waveVerb(w http.ResponseWriter, r *http.Request) {
	a.runVerb(w, r, model.KindWave, waveVerbs)
}

func (a *api) jobVerb(w http.ResponseWriter, r *http.Request) {
	a.runVerb(w, r, model.KindJob, jobVerbs)
}

func (a *api) runVerb(w http.ResponseWriter, r *http.Request, kind model.Kind, verbs map[string]verbBuilder) {
	build, ok := verbs[r.PathValue("verb")]
	if !ok {
		a.unknownRoute(w, r)
		return
	}
	body, err := a.readVerbRequest(w, r)
	if err != nil {
		answer.WriteError(w, err)
		return
	}
	key := model.Key{Kind: kind, Name: r.PathValue("name")}
	res, err := a.proposeVerb(r, key, build, body)
	if err != nil {
		answer.WriteError(w, err)
		return
	}
	a.writeChange(w, r, res, body.dry)
}

// verbRequest is the decoded request of a verb.
type verbRequest struct {
	VerbBody
	origin state.Origin
	dry    bool
}

func (a *api) readVerbRequest(w http.ResponseWriter, r *http.Request) (verbRequest, *fault.Error) {
	var v verbRequest
	body, err := a.readBody(w, r)
	if err != nil {
		return v, err
	}
	if len(body) > 0 {
		if err := decodeBody(body, &v.VerbBody); err != nil {
			return v, err
		}
	}
	if v.dry, err = queryFlag(r, "dryRun"); err != nil {
		return v, err
	}
	if isMove := r.PathValue("verb") == "move"; isMove != (v.Pool != "") {
		return v, fault.InvalidField("pool", "the target pool, for a move only", "target pool is %q", v.Pool)
	}
	v.origin, err = a.origin(r, body)
	return v, err
}

// proposeVerb proposes a verb for the current version of the resource, and again
// if the resource changed in between. Each attempt has its own change ID, derived
// from the client's: a client that sends the verb again repeats the same attempts
// and reaches the one that took effect.
func (a *api) proposeVerb(r *http.Request, key model.Key, build verbBuilder, v verbRequest) (state.Result, *fault.Error) {
	id := v.origin.ChangeID
	var res state.Result
	for attempt := 1; attempt <= maxVerbAttempts; attempt++ {
		snap, err := a.Backend.ReadSnapshot(r.Context())
		if err != nil {
			return res, fault.From(err)
		}
		cmd, fail := verbCommand(snap, key, build, v)
		if fail != nil {
			return res, fail
		}
		if v.dry {
			return snap.DryRun(cmd)[0], nil
		}
		if res, err = a.Backend.Propose(r.Context(), cmd); err != nil {
			return res, fault.From(err)
		}
		if v.Version != 0 || !isVersionConflict(res.Err) {
			return res, nil
		}
		if id != "" {
			v.origin.ChangeID = id + "~" + strconv.Itoa(attempt+1)
		}
	}
	return res, nil
}

// isVersionConflict reports whether a command failed because its resource has
// another version, and not because of the contents of the resource. Only in the
// first case does the error carry the current version.
func isVersionConflict(err *fault.Error) bool {
	return err != nil && err.Kind == fault.Conflict && err.Current != 0
}

func verbCommand(snap *state.Snapshot, key model.Key, build verbBuilder, v verbRequest) (state.Command, *fault.Error) {
	stored := snap.Get(key)
	if stored == nil {
		return nil, notFound(key)
	}
	if v.Pool != "" && snap.Get(model.Key{Kind: model.KindPool, Name: v.Pool}) == nil {
		return nil, fault.InvalidField("pool", "an existing pool", "pool %s does not exist", v.Pool)
	}
	expected := stored.Metadata().Version
	if v.Version != 0 {
		expected = v.Version
	}
	return build(v.origin, stored, expected, v.VerbBody), nil
}
