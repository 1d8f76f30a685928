// Package platform is the client of the platform that owns the hosts. It lists
// them and carries out committed actions on them.
package platform

import (
	"context"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/dghubble/sling"
	"github.com/rotisserie/eris"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/fleet"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/sched"
	"laburnumdock/internal/core/state"
)

// CallTimeout bounds one call. It is shorter than sched.LeaseMargin, so that a
// lease granted by a delayed call still ends in time.
const CallTimeout = 2 * time.Second

// Host is one host in a listing.
type Host struct {
	Host     string       `json:"host"`
	Health   model.Health `json:"health"`
	InFlight int          `json:"inFlight"`
	BootID   string       `json:"bootID"`
	// AgeMs is the age of the sample. An age needs no common clock.
	AgeMs    int64  `json:"ageMs"`
	Epoch    uint64 `json:"epoch"`
	Pool     string `json:"pool"`
	Draining bool   `json:"draining"`
}

// Task is one placement of a task in a listing.
type Task struct {
	Host         string        `json:"host"`
	Job          string        `json:"job"`
	Index        int           `json:"index"`
	Epoch        uint64        `json:"epoch"`
	Outcome      sched.Outcome `json:"outcome"`
	UsedCores    int           `json:"usedCores"`
	UsedMemoryMB int           `json:"usedMemoryMB"`
	LeaseLeftMs  int64         `json:"leaseLeftMs"`
}

// Listing is the platform's list of all hosts and tasks.
type Listing struct {
	Hosts []Host `json:"hosts"`
	Tasks []Task `json:"tasks"`
}

// HostCall is the body of a call for a host.
type HostCall struct {
	Epoch  uint64 `json:"epoch"`
	Pool   string `json:"pool,omitempty"`
	BootID string `json:"bootID,omitempty"`
}

// TaskCall is the body of a call for a task.
type TaskCall struct {
	Job          string `json:"job"`
	Index        int    `json:"index"`
	Epoch        uint64 `json:"epoch"`
	LeaseMs      int64  `json:"leaseMs,omitempty"`
	Cores        int    `json:"cores,omitempty"`
	MemoryMB     int    `json:"memoryMB,omitempty"`
	Accelerators int    `json:"accelerators,omitempty"`
}

// Failure is the body of an error response.
type Failure struct {
	Message string `json:"message"`
}

// Client calls one platform. It is safe for concurrent use.
type Client struct {
	base *sling.Sling
	http *http.Client
}

// New returns a client for the platform at the URL base.
func New(base string) *Client {
	client := &http.Client{Timeout: CallTimeout}
	return &Client{base: sling.New().Client(client).Base(strings.TrimSuffix(base, "/") + "/"), http: client}
}

// List returns all hosts and tasks.
func (c *Client) List(ctx context.Context) (Listing, error) {
	var listing Listing
	err := c.call(ctx, c.base.New().Get("v1/hosts"), &listing)
	return listing, err
}

// ActOnHost carries out an action on a host. The call is idempotent.
func (c *Client) ActOnHost(ctx context.Context, a fleet.Action) error {
	path := "v1/hosts/" + url.PathEscape(a.Host) + "/" + string(a.Kind)
	return c.call(ctx, c.base.New().Post(path).BodyJSON(HostCall{Epoch: a.Epoch, Pool: a.Pool, BootID: a.BootID}), nil)
}

// ActOnTask starts, renews or stops a task. The lease is relative to now, the time
// of the decision. The call is idempotent.
func (c *Client) ActOnTask(ctx context.Context, a sched.Action, now time.Time) error {
	path := "v1/hosts/" + url.PathEscape(a.Host) + "/tasks"
	body := TaskCall{Job: a.Job, Index: a.Index, Epoch: a.Epoch}
	if a.Stop {
		path += "/stop"
	} else {
		body.LeaseMs = a.Until.Sub(now).Milliseconds()
		body.Cores, body.MemoryMB, body.Accelerators = a.Cores, a.MemoryMB, a.Accelerators
	}
	return c.call(ctx, c.base.New().Post(path).BodyJSON(body), nil)
}

func (c *Client) call(ctx context.Context, s *sling.Sling, success any) error {
	req, err := s.Request()
	if err != nil {
		return eris.Wrap(err, "build platform request")
	}
	var failure Failure
	res, err := s.Do(req.WithContext(ctx), success, &failure)
	if err != nil {
		return fault.New(fault.Unavailable, "platform: %s", err.Error())
	}
	switch {
	case res.StatusCode == http.StatusConflict:
		return fault.New(fault.Fenced, "platform: %s", failure.Message)
	case res.StatusCode == http.StatusNotFound:
		return fault.New(fault.NotFound, "platform: %s", failure.Message)
	case res.StatusCode >= http.StatusMultipleChoices:
		return fault.New(fault.Unavailable, "platform answered %d: %s", res.StatusCode, failure.Message)
	}
	return nil
}

// Machines returns the hosts of a listing that was requested at requestedAt.
func (l Listing) Machines(requestedAt time.Time) []fleet.Machine {
	machines := make([]fleet.Machine, len(l.Hosts))
	for i, h := range l.Hosts {
		machines[i] = fleet.Machine{
			HostObservation: state.HostObservation{
				Host: h.Host, Health: h.Health, InFlight: h.InFlight, BootID: h.BootID,
				Observed: requestedAt.Add(-time.Duration(max(h.AgeMs, 0)) * time.Millisecond),
			},
			Epoch: h.Epoch, Pool: h.Pool, Draining: h.Draining,
		}
	}
	return machines
}

// ListedTasks returns the tasks of a listing.
func (l Listing) ListedTasks() []sched.ListedTask {
	list := make([]sched.ListedTask, len(l.Tasks))
	for i, t := range l.Tasks {
		list[i] = sched.ListedTask{
			Report: sched.Report{
				Job: t.Job, Index: t.Index, Epoch: t.Epoch, Host: t.Host, Outcome: t.Outcome,
				UsedCores: t.UsedCores, UsedMemoryMB: t.UsedMemoryMB,
			},
			LeaseRemaining: time.Duration(t.LeaseLeftMs) * time.Millisecond,
		}
	}
	return list
}
