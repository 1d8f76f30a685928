package orders

import (
	"time"

	pb "laburnumdock/gen/laburnumdock/v1"
	"laburnumdock/internal/core/jobs"
	"laburnumdock/internal/core/manager"
)

// orderToWire encodes an order that the receiver may send until sendUntil on its own
// clock.
func orderToWire(c *manager.Call, sendUntil time.Duration) *pb.Order {
	m := &pb.Order{
		Id: c.ID, Kind: uint32(c.Kind), TimeoutMs: c.Timeout.Milliseconds(), Token: c.Token, Address: c.Address, Instance: c.Instance,
		Until: c.LeaseUntil, Seen: c.RecordedEnd, WaitMs: c.MaxWait.Milliseconds(), Run: int64(c.Run), Text: c.Payload, Saved: c.Checkpoint,
		Ticket: c.Ticket, Percent: int64(c.Percent), SendUntilNs: int64(sendUntil),
	}
	if c.Task.Job != "" {
		m.Task = c.Task.String()
	}
	return m
}

func orderFromWire(m *pb.Order) (manager.Call, bool) {
	c := manager.Call{
		ID: m.GetId(), Kind: manager.CallKind(m.GetKind()), Timeout: time.Duration(m.GetTimeoutMs()) * time.Millisecond,
		Token: m.GetToken(), Address: m.GetAddress(), Instance: m.GetInstance(), LeaseUntil: m.GetUntil(), RecordedEnd: m.GetSeen(),
		MaxWait: time.Duration(m.GetWaitMs()) * time.Millisecond, Run: int(m.GetRun()), Payload: m.GetText(), Checkpoint: m.GetSaved(),
		Ticket: m.GetTicket(), Percent: int(m.GetPercent()), SendUntil: time.Duration(m.GetSendUntilNs()),
	}
	if m.GetTask() == "" {
		return c, true
	}
	var ok bool
	c.Task, ok = jobs.ParseTaskRef(m.GetTask())
	return c, ok
}

func outcomeToWire(o *manager.Outcome) *pb.OrderOutcome {
	m := &pb.OrderOutcome{Id: o.ID, Verdict: uint32(o.Verdict), Refusal: uint32(o.Refusal), ClockMs: o.Clock, Born: o.StartedAt}
	for i := range o.Running {
		r := &o.Running[i]
		m.Running = append(m.Running, &pb.RunningTask{Task: r.Task.String(), Run: int64(r.Run), Saved: r.Saved, Percent: int64(r.Percent), Load: r.Load})
	}
	for i := range o.Ended {
		e := &o.Ended[i]
		m.Ended = append(m.Ended, &pb.EndedTask{Number: e.Number, Task: e.Task.String(), Run: int64(e.Run), How: uint32(e.How), Saved: e.Saved})
	}
	return m
}

// outcomeFromWire decodes an outcome. An outcome with a malformed row gets the
// verdict NoAnswer, because a task missing from a list would count as ended.
func outcomeFromWire(m *pb.OrderOutcome) manager.Outcome {
	o := manager.Outcome{ID: m.GetId(), Verdict: manager.Verdict(m.GetVerdict()), Refusal: manager.Refusal(m.GetRefusal()), Clock: m.GetClockMs(), StartedAt: m.GetBorn()}
	for _, r := range m.GetRunning() {
		task, ok := jobs.ParseTaskRef(r.GetTask())
		if !ok {
			return manager.Outcome{ID: o.ID, Verdict: manager.NoAnswer}
		}
		o.Running = append(o.Running, manager.RunningRow{Task: task, Run: int(r.GetRun()), Saved: r.GetSaved(), Percent: int(r.GetPercent()), Load: r.GetLoad()})
	}
	for _, e := range m.GetEnded() {
		task, ok := jobs.ParseTaskRef(e.GetTask())
		if !ok {
			return manager.Outcome{ID: o.ID, Verdict: manager.NoAnswer}
		}
		o.Ended = append(o.Ended, manager.EndedRow{Number: e.GetNumber(), Task: task, Run: int(e.GetRun()), How: jobs.RunResult(e.GetHow()), Saved: e.GetSaved()})
	}
	return o
}
