package control

import (
	"time"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/state"
)

// withOriginTime returns cmd with now as the time of its origin.
func withOriginTime(cmd state.Command, now time.Time) (state.Command, error) {
	switch c := cmd.(type) {
	case state.Put:
		c.Origin.Time = now
		return c, nil
	case state.Delete:
		c.Origin.Time = now
		return c, nil
	case state.HostReport:
		c.Origin.Time = now
		return c, nil
	case state.HostStep:
		c.Origin.Time = now
		return c, nil
	case state.WaveStep:
		c.Origin.Time = now
		return c, nil
	case state.TaskStep:
		c.Origin.Time = now
		return c, nil
	case state.StatusStep:
		c.Origin.Time = now
		return c, nil
	case state.RecordRequests:
		c.Origin.Time = now
		return c, nil
	case state.JobsStep:
		c.Origin.Time = now
		return c, nil
	case state.Tick:
		c.Origin.Time = now
		return c, nil
	}
	return nil, fault.New(fault.Invalid, "unknown command type %T", cmd)
}
