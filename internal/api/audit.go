package api

import (
	"math"
	"net/http"

	"laburnumdock/internal/answer"
	"laburnumdock/internal/core/explain"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

// Page sizes of the audit trail, in entries.
const (
	defaultAuditLimit = 100
	maxAuditLimit     = 10_000
)

// AuditPage is one page of the audit trail. The next page starts after the
// version of the last entry.
type AuditPage struct {
	Version uint64             `json:"version"`
	Entries []state.AuditEntry `json:"entries"`
	// More reports whether there are entries after the last one.
	More bool `json:"more"`
}

func (a *api) audit(w http.ResponseWriter, r *http.Request) {
	q, err := auditQuery(r)
	if err != nil {
		answer.WriteError(w, err)
		return
	}
	if snap := a.readSnapshot(w, r); snap != nil {
		list := answer.NewListWriter(w, snap.Version, "entries")
		more := snap.VisitAudit(q, func(e state.AuditEntry) bool { return list.Add(e) })
		list.CloseWith("more", more)
	}
}

func auditQuery(r *http.Request) (state.AuditQuery, *fault.Error) {
	q := state.AuditQuery{Kind: model.Kind(r.URL.Query().Get("kind")), Name: r.URL.Query().Get("name")}
	if q.Kind != "" && model.New(q.Kind) == nil {
		return q, fault.InvalidField("kind", "a kind of resource", "kind %q is not known", q.Kind)
	}
	since, err := queryNumber(r, "since", 0, math.MaxUint64)
	if err != nil {
		return q, err
	}
	limit, err := queryNumber(r, "limit", defaultAuditLimit, maxAuditLimit)
	q.Since, q.Limit = since, int(limit)
	if err == nil && limit == 0 {
		err = fault.InvalidField("limit", "1 to 10000 entries", "value is 0")
	}
	return q, err
}

// Description is a resource with the reasons for which it waits.
type Description struct {
	Version uint64         `json:"version"`
	Object  model.Object   `json:"object"`
	Waits   []explain.Wait `json:"waits"`
}

func (a *api) describe(w http.ResponseWriter, r *http.Request) {
	snap, obj := a.readObject(w, r)
	if obj == nil {
		return
	}
	waits := explain.Waits(snap, obj.Metadata().Key())
	answer.WriteJSON(w, http.StatusOK, Description{Version: snap.Version, Object: obj, Waits: waits})
}

// explainJob answers where the tasks of a job would be placed now and why.
func (a *api) explainJob(w http.ResponseWriter, r *http.Request) {
	if a.Explainer == nil {
		answer.WriteError(w, fault.New(fault.Unavailable, "this replica places no tasks, because its settings name no platform"))
		return
	}
	explanation, err := a.Explainer.ExplainJob(r.Context(), r.PathValue("name"))
	if err != nil {
		answer.WriteError(w, err)
		return
	}
	answer.WriteJSON(w, http.StatusOK, explanation)
}
