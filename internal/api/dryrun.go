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

// maxDryRunObjects is the maximum number of resources in one dry run.
const maxDryRunObjects = 20_000

// DryRunRequest is the body of a dry run of several puts, in order. Each is
// evaluated on the results of those before it, so that a manifest is checked as
// a whole.
type DryRunRequest struct {
	Objects []json.RawMessage `json:"objects"`
}

// DryRunResult is the result of one put of a dry run.
type DryRunResult struct {
	Kind  model.Kind   `json:"kind"`
	Name  string       `json:"name"`
	Error *fault.Error `json:"error,omitempty"`
	// Created is set when the put would create the resource.
	Created bool `json:"created,omitempty"`
	// Unchanged is set when the put would change nothing.
	Unchanged bool `json:"unchanged,omitempty"`
}

// DryRunResponse is the response to a dry run, with one result for each put.
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
	snap := a.readSnapshot(w, r)
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
	var request DryRunRequest
	if err := decodeBody(body, &request); err != nil {
		return nil, err
	}
	if len(request.Objects) > maxDryRunObjects {
		return nil, fault.InvalidField("objects", fmt.Sprintf("0 to %d resources", maxDryRunObjects), "request has %d", len(request.Objects))
	}
	commands := make([]state.Command, 0, len(request.Objects))
	for i, data := range request.Objects {
		obj, err := decodeDryRunObject(data)
		if err != nil {
			err.Field = fmt.Sprintf("objects[%d].%s", i, err.Field)
			return nil, err
		}
		commands = append(commands, state.Put{Origin: state.Origin{Actor: requestActor(r), Time: a.Backend.Now()}, Object: obj, Expected: state.AnyVersion, Declared: true})
	}
	return commands, nil
}

// decodeDryRunObject decodes a resource whose kind is in its metadata.
func decodeDryRunObject(data []byte) (model.Object, *fault.Error) {
	var envelope struct{ Metadata model.Meta }
	if err := json.Unmarshal(data, &envelope); err != nil {
		return nil, decodeError(err)
	}
	key := envelope.Metadata.Key()
	if model.New(key.Kind) == nil {
		return nil, fault.InvalidField("metadata.kind", "a kind of resource", "kind %q is not known", key.Kind)
	}
	return decodeObject(key, data)
}
