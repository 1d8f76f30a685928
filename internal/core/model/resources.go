package model

import "time"

// Pool is a set of hosts that run one service.
type Pool struct {
	Meta   `json:"metadata"`
	Spec   PoolSpec   `json:"spec"`
	Status PoolStatus `json:"status"`
}

// PoolSpec is the declared configuration of a pool.
type PoolSpec struct {
	// Service is the name by which callers reach the pool. It defaults to the
	// name of the pool.
	Service string `json:"service"`
	// Spare is set when other pools may borrow hosts from this pool.
	Spare bool `json:"spare,omitempty"`
	// SpareFrom is the pool from which hosts are borrowed when the need for
	// them lasts. If it is empty, the pool never borrows.
	SpareFrom string `json:"spareFrom,omitempty"`
	// MinHosts is the number of hosts below which no host is moved out.
	MinHosts int `json:"minHosts"`
	// MaxHosts is the number of hosts above which no host is moved in; 0 means
	// no limit.
	MaxHosts int `json:"maxHosts"`
	// RolloutWeight weighs rollout time (1) against spare capacity (0).
	RolloutWeight float64 `json:"rolloutWeight"`
	// SurgeFactor is the ratio of the expected peak demand to the mean demand.
	SurgeFactor float64 `json:"surgeFactor"`
	// MinDwellSeconds is the minimum time between two moves of a host.
	MinDwellSeconds int `json:"minDwellSeconds"`
}

// PoolStatus is the observed state of a pool.
type PoolStatus struct {
	Hosts   int     `json:"hosts"`
	Healthy int     `json:"healthy"`
	Demand  float64 `json:"demand"`
	// Reported is the time at which the platform last listed the whole pool.
	// Apply updates it without a new version, because no operator's change is
	// based on it.
	Reported   time.Time   `json:"reported,omitzero"`
	Conditions []Condition `json:"conditions,omitempty"`
}

// HostPhase is the phase of a host in its lifecycle.
type HostPhase string

// The phases of a host. Every phase except HostActive belongs to a planned
// stop.
const (
	// HostActive is the phase of a host in service.
	HostActive HostPhase = "active"
	// HostDraining is the phase of a host that finishes its work in flight.
	HostDraining HostPhase = "draining"
	// HostDrained is the phase of a host without work in flight.
	HostDrained   HostPhase = "drained"
	HostRebooting HostPhase = "rebooting"
	// HostReturning is the phase of a host that has rebooted and is not yet
	// reported healthy.
	HostReturning HostPhase = "returning"
)

// Health is the last reported health of a host.
type Health string

// The values of Health. A host of unknown health counts as unavailable.
const (
	HealthUnknown   Health = "unknown"
	HealthHealthy   Health = "healthy"
	HealthUnhealthy Health = "unhealthy"
)

// Host is a machine of the platform. It belongs to exactly one pool, the one in
// its spec, which only a completed move changes.
type Host struct {
	Meta   `json:"metadata"`
	Spec   HostSpec   `json:"spec"`
	Status HostStatus `json:"status"`
}

// HostSpec is the declared configuration of a host.
type HostSpec struct {
	Pool         string `json:"pool"`
	Zone         string `json:"zone"`
	Rack         string `json:"rack"`
	Cores        int    `json:"cores"`
	MemoryMB     int    `json:"memoryMB"`
	Accelerators int    `json:"accelerators,omitempty"`
}

// HostStatus is the observed state of a host and the progress of its planned
// stop.
type HostStatus struct {
	Phase HostPhase `json:"phase"`
	// Epoch is the fencing token of the host. It increases with every end of a
	// planned stop, moves included.
	Epoch      uint64    `json:"epoch"`
	Health     Health    `json:"health"`
	LastReport time.Time `json:"lastReport,omitzero"`
	// HealthSince is the time at which Health last changed.
	HealthSince time.Time `json:"healthSince,omitzero"`
	// InFlight is the last reported number of tasks and requests in flight.
	InFlight int `json:"inFlight"`
	// Stop is the planned stop in progress, or nil.
	Stop *PlannedStop `json:"stop,omitempty"`
	// PoolSince is the time of the last move to another pool.
	PoolSince time.Time `json:"poolSince,omitzero"`
	// HomePool is the spare pool from which the host is borrowed, or empty.
	HomePool string `json:"homePool,omitempty"`
	// BootID changes with every boot. A reboot is complete when it has changed.
	BootID string `json:"bootID,omitempty"`
	// QuarantineUntil is the time until which no new task is placed on the host.
	QuarantineUntil time.Time `json:"quarantineUntil,omitzero"`
}

// StopAction is the purpose of a planned stop.
type StopAction string

// The actions of a planned stop.
const (
	StopReboot StopAction = "reboot"
	StopDrain  StopAction = "drain"
	// StopMove drains the host and moves it to another pool.
	StopMove StopAction = "move"
)

// PlannedStop is a planned stop of one host. Its pool counts as one host short
// from Since until the host is active again.
type PlannedStop struct {
	Action StopAction `json:"action"`
	// Wave is the wave that requested the stop, or empty if an operator did.
	Wave string `json:"wave,omitempty"`
	// TargetPool is the pool to which a StopMove moves the host.
	TargetPool string    `json:"targetPool,omitempty"`
	Since      time.Time `json:"since"`
	// BootID is the boot ID from before the reboot.
	BootID string `json:"bootID,omitempty"`
	// Checkpoint requests that the platform checkpoint the work still running.
	Checkpoint bool   `json:"checkpoint,omitempty"`
	Reason     Reason `json:"reason,omitempty"`
	Message    string `json:"message,omitempty"`
}

// Available reports whether the host is active and healthy, regardless of the
// age of the health report.
func (h *Host) Available() bool {
	return h.Status.Phase == HostActive && h.Status.Health == HealthHealthy
}

// Budget is the availability budget of one pool.
type Budget struct {
	Meta   `json:"metadata"`
	Spec   BudgetSpec   `json:"spec"`
	Status BudgetStatus `json:"status"`
}

// BudgetSpec is the declared configuration of a budget.
type BudgetSpec struct {
	Pool string `json:"pool"`
	// MinHealthy is the number of healthy hosts that must remain.
	MinHealthy int `json:"minHealthy"`
	// MaxPlannedStops is the maximum number of hosts of the pool in a planned
	// stop.
	MaxPlannedStops int `json:"maxPlannedStops"`
	// SurviveRack is set when MinHealthy must also hold after the loss of any
	// one rack.
	SurviveRack bool `json:"surviveRack,omitempty"`
	// SurviveZone is set when MinHealthy must also hold after the loss of any
	// one zone.
	SurviveZone bool `json:"surviveZone,omitempty"`
}

// BudgetStatus is the observed state of a budget.
type BudgetStatus struct {
	Healthy int `json:"healthy"`
	// Needed is MinHealthy of the spec at the time of the observation.
	Needed       int       `json:"needed"`
	PlannedStops int       `json:"plannedStops"`
	Reason       Reason    `json:"reason,omitempty"`
	Message      string    `json:"message,omitempty"`
	Observed     time.Time `json:"observed,omitzero"`
}

// Wave is a maintenance wave: a planned stop of each host of some pools.
type Wave struct {
	Meta   `json:"metadata"`
	Spec   WaveSpec   `json:"spec"`
	Status WaveStatus `json:"status"`
}

// WaveSpec is the declared configuration of a wave.
type WaveSpec struct {
	Pools  []string   `json:"pools"`
	Action StopAction `json:"action"`
	// Started is set by the start operation.
	Started bool `json:"started"`
	// Paused is set by the pause operation and cleared by resume.
	Paused bool `json:"paused"`
	// Cancelled ends the wave: hosts in a planned stop return to service and no
	// other host is stopped. It cannot be undone.
	Cancelled bool `json:"cancelled,omitempty"`
	// MaxParallel is the maximum number of hosts of the wave in a planned stop.
	MaxParallel int `json:"maxParallel"`
	// StragglerLimitSeconds is how long a drain waits for work in flight
	// before the work is checkpointed.
	StragglerLimitSeconds int `json:"stragglerLimitSeconds"`
	// PauseOnFailures is the number of hosts of the wave's pools that may
	// become unhealthy within FailureWindowSeconds before the wave pauses.
	PauseOnFailures      int `json:"pauseOnFailures"`
	FailureWindowSeconds int `json:"failureWindowSeconds"`
}

// WavePhase is the phase of a wave.
type WavePhase string

// The phases of a wave.
const (
	WavePending   WavePhase = "pending"
	WaveRunning   WavePhase = "running"
	WavePaused    WavePhase = "paused"
	WaveFinished  WavePhase = "finished"
	WaveCancelled WavePhase = "cancelled"
)

// WaveStatus is the progress of a wave. Hosts are added to Done and never
// removed from it.
type WaveStatus struct {
	Phase WavePhase `json:"phase"`
	// Total is the number of hosts of the wave.
	Total int `json:"total"`
	// Done holds the hosts that the wave has processed.
	Done []string `json:"done,omitempty"`
	// Stopped holds the hosts in a planned stop of the wave.
	Stopped []string `json:"stopped,omitempty"`
	// Skipped holds the hosts that had been lost for longer than the straggler
	// limit when the wave finished.
	Skipped  []string    `json:"skipped,omitempty"`
	Waiting  []WaitEntry `json:"waiting,omitempty"`
	Reason   Reason      `json:"reason,omitempty"`
	Message  string      `json:"message,omitempty"`
	Started  time.Time   `json:"started,omitzero"`
	Finished time.Time   `json:"finished,omitzero"`
}

// WaitEntry is a host that waits in a wave, with the reason.
type WaitEntry struct {
	Host    string `json:"host"`
	Reason  Reason `json:"reason"`
	Message string `json:"message,omitempty"`
}

// Priority is the scheduling priority of a job. Urgent jobs may preempt jobs
// of lower priority.
type Priority int

// The priorities.
const (
	PriorityBatch  Priority = 0
	PriorityNormal Priority = 1
	PriorityUrgent Priority = 2
)

// Job is a set of identical tasks that run on a pool.
type Job struct {
	Meta   `json:"metadata"`
	Spec   JobSpec   `json:"spec"`
	Status JobStatus `json:"status"`
}

// JobSpec is the declared configuration of a job. Resource sizes are per task
// and are estimates, which observed usage corrects.
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
// waits until the lease of the previous one has expired or was released.
type Task struct {
	Index int       `json:"index"`
	State TaskState `json:"state"`
	Host  string    `json:"host,omitempty"`
	// Epoch is the fencing token of the placement. It increases with each
	// placement.
	Epoch      uint64    `json:"epoch"`
	LeaseUntil time.Time `json:"leaseUntil,omitzero"`
	Failures   int       `json:"failures,omitempty"`
	RetryAfter time.Time `json:"retryAfter,omitzero"`
	// UsedCores and UsedMemoryMB are the last reported resource usage.
	UsedCores    int    `json:"usedCores,omitempty"`
	UsedMemoryMB int    `json:"usedMemoryMB,omitempty"`
	Reason       Reason `json:"reason,omitempty"`
	Message      string `json:"message,omitempty"`
}

// JobStatus is the observed state of a job.
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

// TeamSpec is the quota of a team. 0 means that the team may use none of the
// resource.
type TeamSpec struct {
	QuotaCores        int `json:"quotaCores"`
	QuotaMemoryMB     int `json:"quotaMemoryMB"`
	QuotaAccelerators int `json:"quotaAccelerators"`
}

// TeamStatus is the resource usage that counts against the quota.
type TeamStatus struct {
	UsedCores        int `json:"usedCores"`
	UsedMemoryMB     int `json:"usedMemoryMB"`
	UsedAccelerators int `json:"usedAccelerators"`
}

// Config is a named set of settings that applies to every entry host.
type Config struct {
	Meta `json:"metadata"`
	Spec ConfigSpec `json:"spec"`
}

// ConfigSpec holds the settings of a Config.
type ConfigSpec struct {
	Values map[string]string `json:"values"`
}
