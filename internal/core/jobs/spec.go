// Package jobs holds the replicated records of jobs: the accepted jobs, the
// ordered runs of each task and their results, the executors, the upkeep waves
// and the configuration. Apply is deterministic. Package manager decides which
// commands to apply.
package jobs

import (
	"strconv"
	"strings"
	"time"

	"laburnumdock/internal/core/fault"
)

// Limits of one job. They keep a single submission from filling the memory of a
// control replica.
const (
	MaxSpecBytes   = 64 << 10
	MaxSteps       = 256
	MaxTasks       = 20_000
	MaxOccurrences = 10_000
)

// Resources is the capacity of a host or the demand of a task.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU          int64 `cbor:"1,keyasint,omitempty"`
	MemoryMB     int64 `cbor:"2,keyasint,omitempty"`
	Accelerators int64 `cbor:"3,keyasint,omitempty"`
}

// Plus returns the sum of r and other.
func (r Resources) Plus(other Resources) Resources {
	return Resources{r.CPU + other.CPU, r.MemoryMB + other.MemoryMB, r.Accelerators + other.Accelerators}
}

// Minus returns the difference of r and other, which may be negative.
func (r Resources) Minus(other Resources) Resources {
	return Resources{r.CPU - other.CPU, r.MemoryMB - other.MemoryMB, r.Accelerators - other.Accelerators}
}

// Max returns the larger amount of each resource.
func (r Resources) Max(other Resources) Resources {
	return Resources{max(r.CPU, other.CPU), max(r.MemoryMB, other.MemoryMB), max(r.Accelerators, other.Accelerators)}
}

// Fits reports whether demand fits into r.
func (r Resources) Fits(demand Resources) bool {
	return demand.CPU <= r.CPU && demand.MemoryMB <= r.MemoryMB && demand.Accelerators <= r.Accelerators
}

// Step is a set of identical tasks of a job.
type Step struct {
	Count  int       `cbor:"1,keyasint"`
	Demand Resources `cbor:"2,keyasint"`
	// Estimate is the submitter's estimate of a task's duration in
	// milliseconds.
	Estimate int64 `cbor:"3,keyasint,omitempty"`
	// After lists the indexes of earlier steps whose tasks must all be done
	// first.
	After []int `cbor:"4,keyasint,omitempty"`
	// Checkpoints is set when a run can resume from the checkpoint of an
	// earlier one.
	Checkpoints bool `cbor:"5,keyasint,omitempty"`
	// Gang is set when the tasks only work together; their runs share one run
	// number.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// RackLocal is set when the tasks are slower if they run on more than one
	// rack.
	RackLocal bool `cbor:"7,keyasint,omitempty"`
	// Label is a label that the executor must have, or empty.
	Label string `cbor:"8,keyasint,omitempty"`
	// DataRack is the rack that holds the step's data; tasks run slower
	// elsewhere.
	DataRack string `cbor:"9,keyasint,omitempty"`
	// MaxPerExecutor limits the step's tasks on one executor; 0 means no limit.
	MaxPerExecutor int `cbor:"10,keyasint,omitempty"`
	// Speculative is set when a task may have several runs at the same time.
	Speculative bool `cbor:"11,keyasint,omitempty"`
	// LongRunning is set when the tasks run until the job is cancelled. They
	// are started again whatever the result of a run.
	LongRunning bool `cbor:"12,keyasint,omitempty"`
	// Image identifies the program that the tasks run.
	Image string `cbor:"13,keyasint,omitempty"`
	// TailLatencyTarget is the limit in milliseconds for the tail latency of a
	// serving task; 0 means that the task serves no requests.
	TailLatencyTarget int64 `cbor:"14,keyasint,omitempty"`
	// BestEffort is set when the CPU demand is not reserved: the tasks use the
	// CPU time that others leave.
	BestEffort bool `cbor:"15,keyasint,omitempty"`
	// MaxUnavailable is the number of tasks of a long-running step that planned
	// actions may make unavailable at the same time; 0 means no limit.
	MaxUnavailable int `cbor:"16,keyasint,omitempty"`
}

// Allocation returns the part of an executor's capacity that a run of the step
// reserves.
func (s *Step) Allocation() Resources {
	r := s.Demand
	if s.BestEffort {
		r.CPU = 0
	}
	return r
}

// Spec is the description of a job as submitted.
type Spec struct {
	// Payload is passed to the executors unchanged.
	Payload string `cbor:"1,keyasint"`
	Steps   []Step `cbor:"2,keyasint"`
	// Repeat is the number of occurrences; 0 means a single one that is due at
	// once.
	Repeat int `cbor:"3,keyasint,omitempty"`
	// FirstDue is the due time of the first occurrence in Unix milliseconds,
	// and Interval the time between two occurrences in milliseconds.
	FirstDue int64 `cbor:"4,keyasint,omitempty"`
	Interval int64 `cbor:"5,keyasint,omitempty"`
}

// Occurrences returns the number of times that the steps run.
func (s *Spec) Occurrences() int { return max(s.Repeat, 1) }

// DueAt returns the earliest start of an occurrence, and false if the job has
// no schedule.
func (s *Spec) DueAt(occurrence int) (time.Time, bool) {
	if s.Repeat == 0 {
		return time.Time{}, false
	}
	return time.UnixMilli(s.FirstDue + int64(occurrence)*s.Interval), true
}

// Check returns the reason to reject the job, or nil.
func (s *Spec) Check() *fault.Error {
	switch {
	case len(s.Payload) > MaxSpecBytes:
		return fault.InvalidField("spec", "at most 65536 bytes", "text has %d bytes", len(s.Payload))
	case len(s.Steps) == 0 || len(s.Steps) > MaxSteps:
		return fault.InvalidField("steps", "1 to 256", "job has %d steps", len(s.Steps))
	case s.Repeat < 0 || s.Repeat > MaxOccurrences:
		return fault.InvalidField("repeat", "0 to 10000", "value is %d", s.Repeat)
	case s.Interval < 0:
		return fault.InvalidField("every", "0 ms or more", "value is %d", s.Interval)
	}
	tasks := 0
	for i := range s.Steps {
		if err := s.Steps[i].check(i); err != nil {
			return err
		}
		tasks += s.Steps[i].Count
	}
	if tasks*s.Occurrences() > MaxTasks {
		return fault.InvalidField("steps", "20000 tasks", "job has %d tasks", tasks*s.Occurrences())
	}
	return nil
}

func (s *Step) check(index int) *fault.Error {
	field := "steps[" + strconv.Itoa(index) + "]"
	switch {
	case s.Count < 1 || s.Count > MaxTasks:
		return fault.InvalidField(field+".count", "1 to 20000", "value is %d", s.Count)
	case s.Demand.CPU < 0 || s.Demand.MemoryMB < 0 || s.Demand.Accelerators < 0:
		return fault.InvalidField(field+".needs", "0 or more", "demand is negative")
	case s.MaxPerExecutor < 0 || s.MaxUnavailable < 0 || s.TailLatencyTarget < 0 || s.Estimate < 0:
		return fault.InvalidField(field, "0 or more", "a number is negative")
	case len(s.After) > MaxSteps:
		return fault.InvalidField(field+".after", "at most 256 steps", "list has %d", len(s.After))
	}
	for _, after := range s.After {
		if after < 0 || after >= index {
			return fault.InvalidField(field+".after", "an earlier step", "value is %d", after)
		}
	}
	return nil
}

// TaskRef identifies one task.
type TaskRef struct {
	Job        string `cbor:"1,keyasint"`
	Occurrence int    `cbor:"2,keyasint,omitempty"`
	Step       int    `cbor:"3,keyasint,omitempty"`
	Index      int    `cbor:"4,keyasint,omitempty"`
}

// String returns the reference in the form JOB.OCCURRENCE.STEP.INDEX.
func (t TaskRef) String() string {
	return t.StepName() + "." + strconv.Itoa(t.Index)
}

// StepName returns the step's name in the form JOB.OCCURRENCE.STEP.
func (t TaskRef) StepName() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step)
}

// ParseTaskRef parses the form that TaskRef.String returns.
func ParseTaskRef(text string) (TaskRef, bool) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return TaskRef{}, false
	}
	var numbers [3]int
	for i := range numbers {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return TaskRef{}, false
		}
		numbers[i] = n
	}
	return TaskRef{Job: parts[0], Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, parts[0] != ""
}
