package api

import (
	"net/http"
	"strconv"

	"laburnumdock/internal/answer"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

// maxVerbTries bounds how often a verb is built again for a newer version.
// The planner changes hosts and waves all the time, so one conflict is common.
const maxVerbTries = 8

// VerbBody is the body of a verb. All fields are optional, but for Pool in a
// move.
type VerbBody struct {
	// Pool is the target of a move.
	Pool string `json:"pool,omitempty"`
	// Version is the version that the verb is based on; 0 means the current.
	Version uint64 `json:"version,omitempty"`
}

// verb returns the command of a verb for a resource, which is based on a
// version. It refuses nothing: a verb that is sent again must reach the change
// ID table, whatever has become of the resource meanwhile.
type verb func(o state.Origin, stored model.Object, expected uint64, b VerbBody) state.Command

// spec returns a verb that changes the spec of a resource.
func spec[T model.Object](change func(T)) verb {
	return func(o state.Origin, stored model.Object, expected uint64, _ VerbBody) state.Command {
		obj := stored.Clone()
		change(obj.(T))
		return state.Put{Origin: o, Object: obj, Expected: expected}
	}
}

// stop returns a verb that starts a planned stop of a host.
func stop(action model.StopAction) verb {
	return func(o state.Origin, stored model.Object, expected uint64, b VerbBody) state.Command {
		stop := &model.PlannedStop{Action: action, TargetPool: b.Pool, Since: o.Time}
		return state.HostStep{Origin: o, Host: stored.Metadata().Name, Expected: expected, To: model.HostDraining, Stop: stop}
	}
}

func cancelStop(o state.Origin, stored model.Object, expected uint64, _ VerbBody) state.Command {
	return state.HostStep{Origin: o, Host: stored.Metadata().Name, Expected: expected, To: model.HostActive, Cancel: true}
}

var waveVerbs = map[string]verb{
	"start":  spec(func(w *model.Wave) { w.Spec.Started = true }),
	"pause":  spec(func(w *model.Wave) { w.Spec.Paused = true }),
	"resume": spec(func(w *model.Wave) { w.Spec.Paused = false }),
	"cancel": spec(func(w *model.Wave) { w.Spec.Cancelled = true }),
}

var jobVerbs = map[string]verb{
	"cancel": spec(func(j *model.Job) { j.Spec.Cancelled = true }),
}

var hostVerbs = map[string]verb{
	"drain":  stop(model.StopDrain),
	"reboot": stop(model.StopReboot),
	"move":   stop(model.StopMove),
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

func (a *api) runVerb(w http.ResponseWriter, r *http.Request, kind model.Kind, verbs map[string]verb) {
	run, ok := verbs[r.PathValue("verb")]
	if !ok {
		a.unknownRoute(w, r)
		return
	}
	body, err := a.readVerb(w, r)
	if err != nil {
		answer.WriteError(w, err)
		return
	}
	key := model.Key{Kind: kind, Name: r.PathValue("name")}
	res, err := a.tryVerb(r, key, run, body)
	if err != nil {
		answer.WriteError(w, err)
		return
	}
	a.writeChange(w, r, res, body.dry)
}

// verbRequest is a verb as the client sent it.
type verbRequest struct {
	VerbBody
	origin state.Origin
	dry    bool
}

func (a *api) readVerb(w http.ResponseWriter, r *http.Request) (verbRequest, *fault.Error) {
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
		return v, fault.InvalidField("pool", "the target pool, for a move alone", "target pool is %q", v.Pool)
	}
	v.origin, err = a.origin(r, body)
	return v, err
}

// tryVerb builds the command of a verb for the current version, and again if
// the resource changed meanwhile. Each try has its own change ID, derived from
// the client's: a client that sends the verb again passes the same tries and
// arrives at the one that took effect.
func (a *api) tryVerb(r *http.Request, key model.Key, run verb, v verbRequest) (state.Result, *fault.Error) {
	id := v.origin.ChangeID
	var res state.Result
	for try := 1; try <= maxVerbTries; try++ {
		snap, err := a.Backend.ReadSnapshot(r.Context())
		if err != nil {
			return res, fault.From(err)
		}
		cmd, fail := buildVerb(snap, key, run, v)
		if fail != nil {
			return res, fail
		}
		if v.dry {
			return snap.DryRun(cmd)[0], nil
		}
		if res, err = a.Backend.Propose(r.Context(), cmd); err != nil {
			return res, fault.From(err)
		}
		if v.Version != 0 || !isOutdated(res.Err) {
			return res, nil
		}
		if id != "" {
			v.origin.ChangeID = id + "~" + strconv.Itoa(try+1)
		}
	}
	return res, nil
}

// isOutdated tells whether a command lost against a change of its resource,
// and was not refused for what the resource is: the state names the current
// version in the first case alone.
func isOutdated(err *fault.Error) bool {
	return err != nil && err.Kind == fault.Conflict && err.Current != 0
}

func buildVerb(snap *state.Snapshot, key model.Key, run verb, v verbRequest) (state.Command, *fault.Error) {
	stored := snap.Get(key)
	if stored == nil {
		return nil, missing(key)
	}
	if v.Pool != "" && snap.Get(model.Key{Kind: model.KindPool, Name: v.Pool}) == nil {
		return nil, fault.InvalidField("pool", "an existing pool", "pool %s does not exist", v.Pool)
	}
	expected := stored.Metadata().Version
	if v.Version != 0 {
		expected = v.Version
	}
	return run(v.origin, stored, expected, v.VerbBody), nil
}
