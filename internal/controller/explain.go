package controller

import (
	"context"

	"laburnumdock/internal/core/decision"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/sched"
)

// maxExplains bounds the requests for explanations that wait for the loop.
const maxExplains = 16

// explainCall asks the control loop where the tasks of a job would be placed.
type explainCall struct {
	job   string
	reply chan<- explainReply
}

type explainReply struct {
	explanation *decision.Explanation
	err         error
}

// ExplainJob returns where the pending tasks of a job would be placed now and why. It
// changes nothing. It returns not_leader if this replica does not lead.
func (c *Controller) ExplainJob(ctx context.Context, job string) (*decision.Explanation, error) {
	reply := make(chan explainReply, 1)
	select {
	case c.explains <- explainCall{job: job, reply: reply}:
	default:
		return nil, fault.New(fault.Overloaded, "%d explanations are waiting", maxExplains)
	}
	select {
	case r := <-reply:
		return r.explanation, r.err
	case <-ctx.Done():
		return nil, fault.New(fault.Unavailable, "no answer was seen in time")
	}
}

// explain answers a request in the loop, with the reports that the next pass will use.
func (l *loop) explain(call explainCall) {
	if l.scheduler == nil || !l.cfg.Backend.IsLeader() {
		call.reply <- explainReply{err: fault.New(fault.NotLeader, "this replica does not lead")}
		return
	}
	explanation, err := l.scheduler.Explain(l.cfg.Backend.Snapshot(), sched.Input{Reports: l.taskReports}, call.job, l.now())
	if err != nil {
		call.reply <- explainReply{err: err}
		return
	}
	call.reply <- explainReply{explanation: explanation}
}
