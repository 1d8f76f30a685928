package fleet

import (
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

// Machine is one host as the platform lists it.
type Machine struct {
	state.HostObservation
	// Epoch is the highest epoch that the platform has acted on, Pool the pool
	// that the host serves since then.
	Epoch    uint64
	Pool     string
	Draining bool
}

// ActionKind is what the platform is asked to do with a host.
type ActionKind string

// The kinds of actions.
const (
	// ActionServe returns a host to service in a pool under a new epoch.
	ActionServe ActionKind = "serve"
	// ActionDrain has a host take no new work.
	ActionDrain ActionKind = "drain"
	// ActionCheckpoint checkpoints what a draining host still runs.
	ActionCheckpoint ActionKind = "checkpoint"
	// ActionReboot reboots a host that still has the boot BootID.
	ActionReboot ActionKind = "reboot"
)

// Action is one call of the platform. It is comparable, so that a call that is
// under way is recognised.
type Action struct {
	Kind   ActionKind
	Host   string
	Epoch  uint64
	Pool   string
	BootID string
}

// Actions compares what has been committed with what the platform lists, and
// returns what the platform has still to do. It depends on nothing else, so a
// call that was lost is made again, by whichever replica leads. Each call
// carries the epoch of the host, and the platform refuses an older one.
func Actions(snap *state.Snapshot, machines []Machine) []Action {
	var actions []Action
	for _, m := range machines {
		h, ok := snap.Get(model.Key{Kind: model.KindHost, Name: m.Host}).(*model.Host)
		if !ok || m.Epoch > h.Status.Epoch {
			continue
		}
		if a, ok := actionFor(h, m); ok {
			actions = append(actions, a)
		}
	}
	return actions
}

func actionFor(h *model.Host, m Machine) (Action, bool) {
	a := Action{Host: h.Name, Epoch: h.Status.Epoch}
	switch h.Status.Phase {
	case model.HostActive:
		a.Kind, a.Pool = ActionServe, h.Spec.Pool
		return a, m.Draining || m.Epoch != h.Status.Epoch || m.Pool != h.Spec.Pool
	case model.HostDraining:
		if !m.Draining || m.Epoch != h.Status.Epoch {
			a.Kind = ActionDrain
			return a, true
		}
		a.Kind = ActionCheckpoint
		return a, h.Status.Stop.Checkpoint && m.InFlight > 0
	case model.HostRebooting:
		a.Kind, a.BootID = ActionReboot, h.Status.Stop.BootID
		return a, m.BootID == h.Status.Stop.BootID
	case model.HostDrained, model.HostReturning:
		// The next step is the planner's.
	}
	return a, false
}
