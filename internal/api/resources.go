package api

import (
	"net/http"
	"strconv"

	"laburnumdock/internal/answer"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
	"laburnumdock/internal/logevent"
)

// ChangeResponse is the response to a change that succeeded.
type ChangeResponse struct {
	// Version is the version of the resource after the change, or the version
	// at which it was deleted.
	Version uint64     `json:"version"`
	Kind    model.Kind `json:"kind"`
	Name    string     `json:"name"`
	// Replayed is set when this is the first result of a change that was sent
	// again. Object is then absent if the resource has changed since.
	Replayed bool `json:"replayed,omitempty"`
	// DryRun is set when the change was evaluated but not made.
	DryRun bool         `json:"dryRun,omitempty"`
	Object model.Object `json:"object,omitempty"`
}

// list answers with the resources of a kind in the field items. A watch from the version of
// the answer continues the list without a gap.
func (a *api) list(w http.ResponseWriter, r *http.Request) {
	key, fail := resourceKey(r)
	if fail != nil {
		answer.WriteError(w, fail)
		return
	}
	if snap := a.readSnapshot(w, r); snap != nil {
		list := answer.NewListWriter(w, snap.Version, "items")
		for obj := range snap.All(key.Kind) {
			if !list.Add(obj) {
				return
			}
		}
		list.Close()
	}
}

func (a *api) get(w http.ResponseWriter, r *http.Request) {
	if _, obj := a.readObject(w, r); obj != nil {
		answer.WriteJSON(w, http.StatusOK, obj)
	}
}

// readObject returns the resource in the path and the snapshot it was read from.
// On failure it writes the error and returns nil.
func (a *api) readObject(w http.ResponseWriter, r *http.Request) (*state.Snapshot, model.Object) {
	key, err := resourceKey(r)
	if err != nil {
		answer.WriteError(w, err)
		return nil, nil
	}
	snap := a.readSnapshot(w, r)
	if snap == nil {
		return nil, nil
	}
	obj := snap.Get(key)
	if obj == nil {
		answer.WriteError(w, notFound(key))
		return nil, nil
	}
	return snap, obj
}

func notFound(key model.Key) *fault.Error {
	return fault.New(fault.NotFound, "%s %s does not exist", key.Kind, key.Name)
}

func (a *api) put(w http.ResponseWriter, r *http.Request) {
	cmd, err := a.putCommand(w, r)
	if err != nil {
		answer.WriteError(w, err)
		return
	}
	a.executeChange(w, r, cmd)
}

func (a *api) putCommand(w http.ResponseWriter, r *http.Request) (state.Command, *fault.Error) {
	key, err := resourceKey(r)
	if err != nil {
		return nil, err
	}
	body, err := a.readBody(w, r)
	if err != nil {
		return nil, err
	}
	obj, err := decodeObject(key, body)
	if err != nil {
		return nil, err
	}
	origin, err := a.origin(r, body)
	if err != nil {
		return nil, err
	}
	expected, err := expectedVersion(r, obj.Metadata().Version)
	return state.Put{Origin: origin, Object: obj, Expected: expected, Declared: true}, err
}

// expectedVersion returns the version that a change expects the resource to
// have: the given one, or any for a forced change.
func expectedVersion(r *http.Request, version uint64) (uint64, *fault.Error) {
	force, err := queryFlag(r, "force")
	if force {
		return state.AnyVersion, err
	}
	if version == state.AnyVersion {
		return 0, fault.InvalidField("metadata.version", "0 to "+strconv.FormatUint(state.AnyVersion-1, 10), "value is %d", version)
	}
	return version, err
}

func (a *api) delete(w http.ResponseWriter, r *http.Request) {
	cmd, err := a.deleteCommand(r)
	if err != nil {
		answer.WriteError(w, err)
		return
	}
	a.executeChange(w, r, cmd)
}

func (a *api) deleteCommand(r *http.Request) (state.Command, *fault.Error) {
	key, err := resourceKey(r)
	if err != nil {
		return nil, err
	}
	origin, err := a.origin(r, nil)
	if err != nil {
		return nil, err
	}
	version, err := queryNumber(r, "version", 0, state.AnyVersion-1)
	if err != nil {
		return nil, err
	}
	expected, err := expectedVersion(r, version)
	if err == nil && expected == 0 {
		err = fault.InvalidField("version", "the version of the resource", "the query has neither version nor force")
	}
	return state.Delete{Origin: origin, Key: key, Expected: expected}, err
}

// executeChange proposes a command, or evaluates it for a dry run, and writes
// the response.
func (a *api) executeChange(w http.ResponseWriter, r *http.Request, cmd state.Command) {
	dry, fail := queryFlag(r, "dryRun")
	if fail != nil {
		answer.WriteError(w, fail)
		return
	}
	if dry {
		if snap := a.readSnapshot(w, r); snap != nil {
			a.writeChange(w, r, snap.DryRun(cmd)[0], true)
		}
		return
	}
	res, err := a.Backend.Propose(r.Context(), cmd)
	if err != nil {
		answer.WriteError(w, err)
		return
	}
	a.writeChange(w, r, res, false)
}

func (a *api) writeChange(w http.ResponseWriter, r *http.Request, res state.Result, dry bool) {
	if res.Replayed {
		w.Header().Set(ReplayedHeader, "true")
	}
	if !dry {
		w.Header().Set(VersionHeader, strconv.FormatUint(res.Version, 10))
		a.logChange(r, res)
	}
	if res.Err != nil {
		answer.WriteError(w, res.Err)
		return
	}
	answer.WriteJSON(w, http.StatusOK, ChangeResponse{
		Version: res.Version, Kind: res.Key.Kind, Name: res.Key.Name, Replayed: res.Replayed, DryRun: dry, Object: res.Object,
	})
}

func (a *api) logChange(r *http.Request, res state.Result) {
	fields := logevent.Fields{
		"actor": requestActor(r), "source": r.RemoteAddr, "method": r.Method, "kind": res.Key.Kind, "resource": res.Key.Name,
		"version": res.Version, "change": r.Header.Get(ChangeIDHeader), "replayed": res.Replayed,
	}
	if res.Err == nil {
		a.Log.Log(logevent.ChangeAccepted, fields)
		return
	}
	a.Log.Err(logevent.ChangeRefused, res.Err, fields)
}
