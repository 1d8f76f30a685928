package fleet

import (
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

// Machine is one host as the platform lists it.
type Machine struct {
	state.HostObservation
	// Epoch is the highest epoch for which the platform has executed a call.
	Epoch uint64
	// Pool is the pool that the host serves since that call.
	Pool string
	// Draining is set when the platform gives the host no new work.
	Draining bool
}

// ActionKind is the kind of a platform call for a host.
type ActionKind string

// Kinds of actions.
const (
	// ActionServe returns a host to service in a pool under a new epoch.
	ActionServe ActionKind = "serve"
	// ActionDrain stops giving new work to a host.
	ActionDrain ActionKind = "drain"
	// ActionCheckpoint checkpoints the work that a draining host still runs.
	ActionCheckpoint ActionKind = "checkpoint"
	// ActionReboot reboots a host if its boot ID is still BootID.
	ActionReboot ActionKind = "reboot"
)

// Action is one platform call for a host. It is comparable, so that the calling
// code can recognise a call that is already in progress.
type Action struct {
	Kind   ActionKind
	Host   string
	Epoch  uint64
	Pool   string
	BootID string
}

// Actions compares the committed state with the hosts that the platform lists and
// returns the calls that are still needed. It depends on nothing else, so a lost
// call is repeated, also by a new leader. Each call carries the epoch of the host,
// and the platform refuses an older epoch.
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

// actionFor returns the platform call for a host, and whether the call is needed now.
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
		// No platform call is needed; the planner proposes the next step.
	}
	return a, false
}
