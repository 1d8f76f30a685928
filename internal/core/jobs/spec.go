// Package jobs holds the replicated records of jobs: what was accepted, which
// runs of a task were ordered, how they ended, and what executors, upkeep waves
// and configuration exist. Apply is deterministic. The decisions that lead to
// commands are made by package manager.
package jobs

import (
	"strconv"
	"strings"
	"time"

	"laburnumdock/internal/core/fault"
)

// Bounds of a job. They keep one submission from filling the memory of a
// control replica.
const (
	MaxSpecBytes   = 64 << 10
	MaxSteps       = 256
	MaxTasks       = 20_000
	MaxOccurrences = 10_000
)

// Resources is room on a host or the demand of a task.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU          int64 `cbor:"1,keyasint,omitempty"`
	MemoryMB     int64 `cbor:"2,keyasint,omitempty"`
	Accelerators int64 `cbor:"3,keyasint,omitempty"`
}

// Plus returns the sum.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Minus returns the difference, which may be negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Fits tells whether a demand fits into the room.
func (r Resources) Fits(demand Resources) bool {
	return demand.CPU <= r.CPU && demand.MemoryMB <= r.MemoryMB && demand.Accelerators <= r.Accelerators
}

// Step is a set of equal tasks of a job.
type Step struct {
	Count int       `cbor:"1,keyasint"`
	Demand Resources `cbor:"2,keyasint"`
	// Estimate is the submitter's guess of a task's duration in milliseconds.
	Estimate int64 `cbor:"3,keyasint,omitempty"`
	// After are the earlier steps whose tasks must all be done first.
	After []int `cbor:"4,keyasint,omitempty"`
	// Checkpoints tells that a run can continue from what an earlier one saved.
	Checkpoints bool `cbor:"5,keyasint,omitempty"`
	// Gang tasks work only together and share the number of their run.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// OneRack tasks are slower when they run on more than one rack.
	RackLocal bool `cbor:"7,keyasint,omitempty"`
	// Label is a label that the executor must have.
	Label string `cbor:"8,keyasint,omitempty"`
	// DataRack is the rack on which the step is not slowed down.
	DataRack string `cbor:"9,keyasint,omitempty"`
	// PerExecutor is the largest number of the step's tasks on one executor;
	// 0 means any number.
	MaxPerExecutor int `cbor:"10,keyasint,omitempty"`
	// Copies tells that several runs of a task may go on at the same time.
	Speculative bool `cbor:"11,keyasint,omitempty"`
	// Lasting tasks run until the job is cancelled and are started again
	// however they end.
	LongRunning bool `cbor:"12,keyasint,omitempty"`
	// Image names what the tasks run.
	Image string `cbor:"13,keyasint,omitempty"`
	// TailTarget is the response time in milliseconds that the tail of a
	// serving task must stay below; 0 means that the task serves nobody.
	TailLatencyTarget int64 `cbor:"14,keyasint,omitempty"`
	// Fills tells that the processor demand is not counted: the tasks use what
	// others leave.
	BestEffort bool `cbor:"15,keyasint,omitempty"`
	// MissAllowed is the number of tasks of a lasting step that planned actions
	// may keep away at the same time; 0 means that no limit is stated.
	MaxUnavailable int `cbor:"16,keyasint,omitempty"`
}

// Room is what a run of the step takes from an executor's capacity.
func (s *Step) Allocation() Resources {
	r := s.Demand
	if s.BestEffort {
		r.CPU = 0
	}
	return r
}

// Spec is a job as submitted.
type Spec struct {
	// Text is passed to the executors as it is.
	Payload  string `cbor:"1,keyasint"`
	Steps []Step `cbor:"2,keyasint"`
	// Repeat is the number of occurrences; 0 means one that is due at once.
	Repeat int `cbor:"3,keyasint,omitempty"`
	// FirstAt and Every are the due time of the first occurrence and the
	// distance of the others, in Unix milliseconds and milliseconds.
	FirstDue int64 `cbor:"4,keyasint,omitempty"`
	Interval   int64 `cbor:"5,keyasint,omitempty"`
}

// Occurrences is the number of times that the steps run.
func (s *Spec) Occurrences() int { return max(s.Repeat, 1) }

// DueAt is when an occurrence may start; it is false for a job without times.
func (s *Spec) DueAt(occurrence int) (time.Time, bool) {
	if s.Repeat == 0 {
		return time.Time{}, false
	}
	return time.UnixMilli(s.FirstDue + int64(occurrence)*s.Interval), true
}

// Check returns why a job cannot be accepted, or nil.
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

func (s *Step) check(place int) *fault.Error {
	field := "steps[" + strconv.Itoa(place) + "]"
	switch {
	case s.Count < 1 || s.Count > MaxTasks:
		return fault.InvalidField(field+".count", "1 to 20000", "value is %d", s.Count)
	case s.Demand.CPU < 0 || s.Demand.MemoryMB < 0 || s.Demand.Accelerators < 0:
		return fault.InvalidField(field+".needs", "0 or more", "demand is negative")
	case s.MaxPerExecutor < 0 || s.MaxUnavailable < 0 || s.TailLatencyTarget < 0 || s.Estimate < 0:
		return fault.InvalidField(field, "0 or more", "a number is negative")
	}
	for _, after := range s.After {
		if after < 0 || after >= place {
			return fault.InvalidField(field+".after", "an earlier step", "value is %d", after)
		}
	}
	return nil
}

// TaskRef names one task.
type TaskRef struct {
	Job        string `cbor:"1,keyasint"`
	Occurrence int    `cbor:"2,keyasint,omitempty"`
	Step       int    `cbor:"3,keyasint,omitempty"`
	Index      int    `cbor:"4,keyasint,omitempty"`
}

// String returns JOB.OCCURRENCE.STEP.INDEX.
func (t TaskRef) String() string {
	return t.StepName() + "." + strconv.Itoa(t.Index)
}

// StepName returns JOB.OCCURRENCE.STEP.
func (t TaskRef) StepName() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step)
}

// ParseTask is the inverse of String.
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
