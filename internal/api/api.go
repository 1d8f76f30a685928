// Package api is the operators' resource API: JSON over HTTP.
package api

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"laburnumdock/internal/answer"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

// Backend is the control replica as the API sees it.
type Backend interface {
	Propose(ctx context.Context, cmd state.Command) (state.Result, error)
	ReadSnapshot(ctx context.Context) (*state.Snapshot, error)
	Snapshot() *state.Snapshot
	Changed() <-chan struct{}
	Now() time.Time
}

// Config is what the API needs.
type Config struct {
	Backend      Backend
	MaxBodyBytes int64
}

// Handler returns the routes of the API.
func Handler(cfg Config) http.Handler {
	a := &api{cfg}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/{kind}", a.list)
	mux.HandleFunc("GET /v1/{kind}/{name}", a.get)
	mux.HandleFunc("PUT /v1/{kind}/{name}", a.put)
	mux.HandleFunc("DELETE /v1/{kind}/{name}", a.delete)
	return mux
}

type api struct{ Config }

// List is the answer to a list. Watching continues from Version.
type List struct {
	Version uint64         `json:"version"`
	Items   []model.Object `json:"items"`
}

func (a *api) list(w http.ResponseWriter, r *http.Request) {
	kind := model.Kind(r.PathValue("kind"))
	if model.New(kind) == nil {
		answer.WriteError(w, fault.New(fault.NotFound, "resource kind %s does not exist", kind))
		return
	}
	snap, err := a.Backend.ReadSnapshot(r.Context())
	if err != nil {
		answer.WriteError(w, err)
		return
	}
	answer.WriteJSON(w, http.StatusOK, List{Version: snap.Version, Items: snap.List(kind)})
}

func keyOf(r *http.Request) model.Key {
	return model.Key{Kind: model.Kind(r.PathValue("kind")), Name: r.PathValue("name")}
}

func (a *api) get(w http.ResponseWriter, r *http.Request) {
	snap, err := a.Backend.ReadSnapshot(r.Context())
	if err != nil {
		answer.WriteError(w, err)
		return
	}
	key := keyOf(r)
	obj := snap.Get(key)
	if obj == nil {
		answer.WriteError(w, fault.New(fault.NotFound, "%s %s does not exist", key.Kind, key.Name))
		return
	}
	answer.WriteJSON(w, http.StatusOK, obj)
}

func (a *api) put(w http.ResponseWriter, r *http.Request) {
	obj, err := a.readObject(w, r)
	if err != nil {
		answer.WriteError(w, err)
		return
	}
	origin, err := a.origin(r)
	if err != nil {
		answer.WriteError(w, err)
		return
	}
	expected := obj.Head().Version
	if r.URL.Query().Get("force") == "true" {
		expected = state.AnyVersion
	}
	a.propose(w, r, state.Put{Origin: origin, Object: obj, Expected: expected})
}

func (a *api) delete(w http.ResponseWriter, r *http.Request) {
	origin, err := a.origin(r)
	if err != nil {
		answer.WriteError(w, err)
		return
	}
	expected, err := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		answer.WriteError(w, fault.Field("version", "the version of the resource", "query parameter is missing or not a number"))
		return
	}
	a.propose(w, r, state.Delete{Origin: origin, Key: keyOf(r), Expected: expected})
}

func (a *api) propose(w http.ResponseWriter, r *http.Request, cmd state.Command) {
	res, err := a.Backend.Propose(r.Context(), cmd)
	if err != nil {
		answer.WriteError(w, err)
		return
	}
	if res.Err != nil {
		answer.WriteError(w, res.Err)
		return
	}
	answer.WriteJSON(w, http.StatusOK, res.Object)
}

// readObject reads the resource of a put and refuses unknown fields.
func (a *api) readObject(w http.ResponseWriter, r *http.Request) (model.Object, error) {
	key := keyOf(r)
	obj := model.New(key.Kind)
	if obj == nil {
		return nil, fault.New(fault.NotFound, "resource kind %s does not exist", key.Kind)
	}
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, a.MaxBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(obj); err != nil {
		return nil, bodyError(err, a.MaxBodyBytes)
	}
	if dec.More() {
		return nil, fault.Field("body", "one JSON object", "there is more after the resource")
	}
	head := obj.Head()
	if head.Name == "" {
		head.Name = key.Name
	}
	if head.Key() != key {
		return nil, fault.Field("metadata", "the kind and name of the path", "body is about %s %s", head.Kind, head.Name)
	}
	return obj, nil
}

func bodyError(err error, limit int64) error {
	if _, ok := errors.AsType[*http.MaxBytesError](err); ok {
		return &fault.Error{Kind: fault.TooLarge, Field: "body", Limit: strconv.FormatInt(limit, 10) + " bytes", Message: "body is too large"}
	}
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
		return fault.Field("body", "one JSON object", "body ends early")
	}
	return fault.Field("body", "one JSON object of known fields", "%s", err.Error())
}

// Headers of changes.
const (
	ChangeIDHeader = "Laburnum-Change-Id"
	IssuedAtHeader = "Laburnum-Issued-At"
	ActorHeader    = "Laburnum-Actor"
)

func (a *api) origin(r *http.Request) (state.Origin, error) {
	o := state.Origin{Actor: r.Header.Get(ActorHeader), Source: r.RemoteAddr, Time: a.Backend.Now(), ChangeID: r.Header.Get(ChangeIDHeader)}
	if o.ChangeID == "" {
		return o, nil
	}
	issued, err := time.Parse(time.RFC3339Nano, r.Header.Get(IssuedAtHeader))
	if err != nil {
		return o, fault.Field(IssuedAtHeader, "RFC 3339 time", "a change ID needs the time at which it was issued")
	}
	o.IssuedAt = issued
	return o, nil
}
