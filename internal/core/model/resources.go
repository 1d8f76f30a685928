package model

import "time"

// Pool is a set of hosts that carry one service.
type Pool struct {
	Meta   `json:"metadata"`
	Spec   PoolSpec   `json:"spec"`
	Status PoolStatus `json:"status"`
}

// PoolSpec is what an operator declares of a pool.
type PoolSpec struct {
	// Service is the name under which callers reach the pool. Default: the
	// pool's name.
	Service string `json:"service"`
	// Spare marks the pool as a source of hosts for other pools.
	Spare bool `json:"spare,omitempty"`
	// SpareFrom names the pool from which hosts are borrowed under lasting
	// need; empty means that the pool never borrows.
	SpareFrom string `json:"spareFrom,omitempty"`
	// MinHosts is the number of hosts below which no host is moved away.
	MinHosts int `json:"minHosts"`
	// MaxHosts is the number of hosts above which none is moved in.
	MaxHosts int `json:"maxHosts"`
	// RolloutWeight trades roll-out time (1) against spare capacity (0).
	RolloutWeight float64 `json:"rolloutWeight"`
	// SurgeFactor is the expected peak demand over the mean.
	SurgeFactor float64 `json:"surgeFactor"`
	// MinDwellSeconds is how long a moved host stays before it moves again.
	MinDwellSeconds int `json:"minDwellSeconds"`
}

// PoolStatus is what the system observes of a pool.
type PoolStatus struct {
	Hosts   int     `json:"hosts"`
	Healthy int     `json:"healthy"`
	Demand  float64 `json:"demand"`
	// Reported is when the platform last listed the whole pool. Apply refreshes
	// it without a new version, because no change of an operator is based on it.
	Reported   time.Time   `json:"reported,omitzero"`
	Conditions []Condition `json:"conditions,omitempty"`
}

// HostPhase is the place of a host in its lifecycle.
type HostPhase string

// The phases of a host.
const (
	HostActive    HostPhase = "active"
	HostDraining  HostPhase = "draining"
	HostDrained   HostPhase = "drained"
	HostRebooting HostPhase = "rebooting"
	HostReturning HostPhase = "returning"
)

// Health is what the platform last reported of a host.
type Health string

// The values of Health. Unknown counts as unavailable.
const (
	HealthUnknown   Health = "unknown"
	HealthHealthy   Health = "healthy"
	HealthUnhealthy Health = "unhealthy"
)

// Host is a machine of the platform. It belongs to exactly one pool: the one
// in its spec, which only a committed switch changes.
type Host struct {
	Meta   `json:"metadata"`
	Spec   HostSpec   `json:"spec"`
	Status HostStatus `json:"status"`
}

// HostSpec is what an operator declares of a host.
type HostSpec struct {
	Pool         string `json:"pool"`
	Zone         string `json:"zone"`
	Rack         string `json:"rack"`
	Cores        int    `json:"cores"`
	MemoryMB     int    `json:"memoryMB"`
	Accelerators int    `json:"accelerators,omitempty"`
}

// HostStatus is what the system observes and decides of a host.
type HostStatus struct {
	Phase HostPhase `json:"phase"`
	// Epoch is the fencing token: it grows with every switch of pool and every
	// return from a planned stop.
	Epoch      uint64    `json:"epoch"`
	Health     Health    `json:"health"`
	LastReport time.Time `json:"lastReport,omitzero"`
	// HealthSince is when Health last changed.
	HealthSince time.Time `json:"healthSince,omitzero"`
	// InFlight is the number of tasks and requests last reported.
	InFlight int `json:"inFlight"`
	// Stop is the planned stop in progress, or nil.
	Stop *PlannedStop `json:"stop,omitempty"`
	// PoolSince is the time of the last switch.
	PoolSince time.Time `json:"poolSince,omitzero"`
	// HomePool is the spare pool that the host is borrowed from, or empty.
	HomePool string `json:"homePool,omitempty"`
	// BootID changes with every boot; a reboot is over when it has changed.
	BootID          string    `json:"bootID,omitempty"`
	QuarantineUntil time.Time `json:"quarantineUntil,omitzero"`
}

// StopAction tells why a host is stopped.
type StopAction string

// The actions of a planned stop.
const (
	StopReboot StopAction = "reboot"
	StopDrain  StopAction = "drain"
	StopMove   StopAction = "move"
)

// PlannedStop is one entry of a pool's planned-stop ledger. The pool is
// counted as one host short from Since until the host is active again.
type PlannedStop struct {
	Action StopAction `json:"action"`
	// Wave is the wave that asked for the stop; empty for an operator.
	Wave string `json:"wave,omitempty"`
	// TargetPool is the pool to switch to, for StopMove.
	TargetPool string    `json:"targetPool,omitempty"`
	Since      time.Time `json:"since"`
	// BootID is the boot before the reboot.
	BootID string `json:"bootID,omitempty"`
	// Checkpoint asks the platform to checkpoint what still runs.
	Checkpoint bool   `json:"checkpoint,omitempty"`
	Reason     Reason `json:"reason,omitempty"`
	Message    string `json:"message,omitempty"`
}

// Available tells whether the host counts as healthy capacity of its pool.
func (h *Host) Available() bool {
	return h.Status.Phase == HostActive && h.Status.Health == HealthHealthy
}

// Budget is the availability budget of one pool.
type Budget struct {
	Meta   `json:"metadata"`
	Spec   BudgetSpec   `json:"spec"`
	Status BudgetStatus `json:"status"`
}

// BudgetSpec is what an operator declares of a budget.
type BudgetSpec struct {
	Pool string `json:"pool"`
	// MinHealthy is the number of healthy hosts that must remain.
	MinHealthy int `json:"minHealthy"`
	// MaxPlannedStops bounds the hosts of the pool in a planned stop.
	MaxPlannedStops int `json:"maxPlannedStops"`
	// SurviveRack asks that MinHealthy holds after the loss of any one rack.
	SurviveRack bool `json:"surviveRack,omitempty"`
	// SurviveZone asks that MinHealthy holds after the loss of any one zone.
	SurviveZone bool `json:"surviveZone,omitempty"`
}

// BudgetStatus is what the system observes of a budget.
type BudgetStatus struct {
	Healthy      int       `json:"healthy"`
	Needed       int       `json:"needed"`
	PlannedStops int       `json:"plannedStops"`
	Reason       Reason    `json:"reason,omitempty"`
	Message      string    `json:"message,omitempty"`
	Observed     time.Time `json:"observed,omitzero"`
}

// Wave is a maintenance wave over all hosts of some pools.
type Wave struct {
	Meta   `json:"metadata"`
	Spec   WaveSpec   `json:"spec"`
	Status WaveStatus `json:"status"`
}

// WaveSpec is what an operator declares of a wave.
type WaveSpec struct {
	Pools  []string   `json:"pools"`
	Action StopAction `json:"action"`
	// Started is set by the start call; Paused by pause and resume.
	Started bool `json:"started"`
	Paused  bool `json:"paused"`
	// Cancelled ends the wave: hosts in a planned stop return, no other host
	// is stopped. It cannot be undone.
	Cancelled bool `json:"cancelled,omitempty"`
	// MaxParallel bounds the hosts of the wave in a planned stop.
	MaxParallel int `json:"maxParallel"`
	// StragglerLimitSeconds is how long a drain waits for work in flight
	// before the work is checkpointed.
	StragglerLimitSeconds int `json:"stragglerLimitSeconds"`
	// PauseOnFailures is the number of hosts of the wave's pools that may turn
	// unhealthy within FailureWindowSeconds before the wave pauses.
	PauseOnFailures      int `json:"pauseOnFailures"`
	FailureWindowSeconds int `json:"failureWindowSeconds"`
}

// WavePhase is the progress of a wave.
type WavePhase string

// The phases of a wave.
const (
	WavePending   WavePhase = "pending"
	WaveRunning   WavePhase = "running"
	WavePaused    WavePhase = "paused"
	WaveFinished  WavePhase = "finished"
	WaveCancelled WavePhase = "cancelled"
)

// WaveStatus is the progress of a wave. Done grows and never loses a host.
type WaveStatus struct {
	Phase   WavePhase `json:"phase"`
	Total   int       `json:"total"`
	Done    []string  `json:"done,omitempty"`
	Stopped []string  `json:"stopped,omitempty"`
	// Skipped are the hosts that were lost for longer than the straggler limit
	// when the wave finished.
	Skipped  []string    `json:"skipped,omitempty"`
	Waiting  []WaitEntry `json:"waiting,omitempty"`
	Reason   Reason      `json:"reason,omitempty"`
	Message  string      `json:"message,omitempty"`
	Started  time.Time   `json:"started,omitzero"`
	Finished time.Time   `json:"finished,omitzero"`
}

// WaitEntry says why one host waits.
type WaitEntry struct {
	Host    string `json:"host"`
	Reason  Reason `json:"reason"`
	Message string `json:"message,omitempty"`
}

// Priority orders jobs. Urgent work may displace lower priorities.
type Priority int

// The priorities.
const (
	PriorityBatch  Priority = 0
	PriorityNormal Priority = 1
	PriorityUrgent Priority = 2
)

// Job is a set of equal tasks that a pool must carry.
type Job struct {
	Meta   `json:"metadata"`
	Spec   JobSpec   `json:"spec"`
	Status JobStatus `json:"status"`
}

// JobSpec is what an operator declares of a job. Sizes are per task and are
// hints: observed use corrects them.
type JobSpec struct {
	Pool         string   `json:"pool"`
	Team         string   `json:"team,omitempty"`
	Tasks        int      `json:"tasks"`
	Cores        int      `json:"cores"`
	MemoryMB     int      `json:"memoryMB"`
	Accelerators int      `json:"accelerators,omitempty"`
	Priority     Priority `json:"priority"`
	Cancelled    bool     `json:"cancelled,omitempty"`
}

// TaskState is the state of one task.
type TaskState string

// The states of a task.
const (
	TaskPending   TaskState = "pending"
	TaskStarting  TaskState = "starting"
	TaskRunning   TaskState = "running"
	TaskStopping  TaskState = "stopping"
	TaskFinished  TaskState = "finished"
	TaskFailed    TaskState = "failed"
	TaskCancelled TaskState = "cancelled"
)

// Task is one task of a job. It runs on at most one host: a new placement
// waits until the lease of the former one has run out or was given back.
type Task struct {
	Index int       `json:"index"`
	State TaskState `json:"state"`
	Host  string    `json:"host,omitempty"`
	// Epoch is the fencing token of the placement; it grows with each.
	Epoch      uint64    `json:"epoch"`
	LeaseUntil time.Time `json:"leaseUntil,omitzero"`
	Failures   int       `json:"failures,omitempty"`
	RetryAfter time.Time `json:"retryAfter,omitzero"`
	// UsedCores and UsedMemoryMB are the last reported use.
	UsedCores    int    `json:"usedCores,omitempty"`
	UsedMemoryMB int    `json:"usedMemoryMB,omitempty"`
	Reason       Reason `json:"reason,omitempty"`
	Message      string `json:"message,omitempty"`
}

// JobStatus is what the system observes of a job.
type JobStatus struct {
	Tasks   []Task `json:"tasks,omitempty"`
	Reason  Reason `json:"reason,omitempty"`
	Message string `json:"message,omitempty"`
}

// Team owns jobs and has a quota.
type Team struct {
	Meta   `json:"metadata"`
	Spec   TeamSpec   `json:"spec"`
	Status TeamStatus `json:"status"`
}

// TeamSpec is the quota of a team; 0 means none of the resource.
type TeamSpec struct {
	QuotaCores        int `json:"quotaCores"`
	QuotaMemoryMB     int `json:"quotaMemoryMB"`
	QuotaAccelerators int `json:"quotaAccelerators"`
}

// TeamStatus is the use of the quota.
type TeamStatus struct {
	UsedCores        int `json:"usedCores"`
	UsedMemoryMB     int `json:"usedMemoryMB"`
	UsedAccelerators int `json:"usedAccelerators"`
}

// Config is a named set of settings in force on every entry host.
type Config struct {
	Meta `json:"metadata"`
	Spec ConfigSpec `json:"spec"`
}

// ConfigSpec is the content of a configuration.
type ConfigSpec struct {
	Values map[string]string `json:"values"`
}
