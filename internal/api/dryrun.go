package api

import (
	"encoding/json"
	"fmt"
	"net/http"

	"laburnumdock/internal/answer"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

// maxDryRun bounds the resources of one dry run.
const maxDryRun = 20_000

// DryRunBody is the body of a dry run of several puts, in their order. Each
// sees the ones before it, so that a manifest can be judged as a whole.
type DryRunRequest struct {
	Objects []json.RawMessage `json:"objects"`
}

// DryRunResult is the outcome of one put of a dry run.
type DryRunResult struct {
	Kind  model.Kind   `json:"kind"`
	Name  string       `json:"name"`
	Error *fault.Error `json:"error,omitempty"`
	// Created and Unchanged tell what the put would do.
	Created   bool `json:"created,omitempty"`
	Unchanged bool `json:"unchanged,omitempty"`
}

// DryRun is the answer to a dry run.
type DryRunResponse struct {
	Version uint64         `json:"version"`
	Results []DryRunResult `json:"results"`
}

func (a *api) dryRun(w http.ResponseWriter, r *http.Request) {
	commands, err := a.dryRunCommands(w, r)
	if err != nil {
		answer.WriteError(w, err)
		return
	}
	snap := a.read(w, r)
	if snap == nil {
		return
	}
	out := DryRunResponse{Version: snap.Version}
	for i, res := range snap.DryRun(commands...) {
		key := commands[i].(state.Put).Object.Metadata().Key()
		result := DryRunResult{Kind: key.Kind, Name: key.Name, Error: res.Err}
		if res.Err == nil {
			result.Created = res.Object.Metadata().Generation == 1 && res.Version > snap.Version
			result.Unchanged = res.Version <= snap.Version
		}
		out.Results = append(out.Results, result)
	}
	answer.WriteJSON(w, http.StatusOK, out)
}

func (a *api) dryRunCommands(w http.ResponseWriter, r *http.Request) ([]state.Command, *fault.Error) {
	body, err := a.readBody(w, r)
	if err != nil {
		return nil, err
	}
	var dry DryRunRequest
	if err := decodeBody(body, &dry); err != nil {
		return nil, err
	}
	if len(dry.Objects) > maxDryRun {
		return nil, fault.InvalidField("objects", fmt.Sprintf("0 to %d resources", maxDryRun), "there are %d", len(dry.Objects))
	}
	commands := make([]state.Command, 0, len(dry.Objects))
	for i, data := range dry.Objects {
		obj, err := decodeNamed(data)
		if err != nil {
			err.Field = fmt.Sprintf("objects[%d].%s", i, err.Field)
			return nil, err
		}
		commands = append(commands, state.Put{Origin: state.Origin{Actor: actorOf(r), Time: a.Backend.Now()}, Object: obj, Expected: state.AnyVersion, Declared: true})
	}
	return commands, nil
}

// decodeNamed decodes a resource that names its own kind.
func decodeNamed(data []byte) (model.Object, *fault.Error) {
	var head struct{ Metadata model.Meta }
	if err := json.Unmarshal(data, &head); err != nil {
		return nil, decodeError(err)
	}
	key := head.Metadata.Key()
	if model.New(key.Kind) == nil {
		return nil, fault.InvalidField("metadata.kind", "a kind of resource", "kind %q is not known", key.Kind)
	}
	return decodeObject(key, data)
}
