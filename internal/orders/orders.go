// Package orders carries out the leader's orders beside the control loop: from
// the leader's own host, or spread over the other replicas of the cell, which
// pass the answers back. It decides nothing but who makes a call.
package orders

import (
	"context"
	"sync"
	"time"

	"laburnumdock/internal/core/manager"
)

// Caller carries out one order and says what is known of its effect. It is
// called by many goroutines.
type PlatformClient interface {
	Do(ctx context.Context, c manager.Call) manager.Outcome
}

// Local makes all calls from this process, each in a goroutine of its own.
type LocalSender struct {
	caller PlatformClient
	group  sync.WaitGroup
}

// NewLocal returns a carrier that makes calls with a caller.
func NewLocalSender(caller PlatformClient) *LocalSender { return &LocalSender{caller: caller} }

// CarryOut implements lead.Carrier.
func (l *LocalSender) Send(ctx context.Context, _ int, calls []manager.Call, done func([]manager.Outcome)) {
	for _, c := range calls {
		l.group.Go(func() { done([]manager.Outcome{do(ctx, l.caller, c)}) })
	}
}

// Wait waits for the orders on their way, whose context must have ended.
func (l *LocalSender) Wait() { l.group.Wait() }

// do carries out one order within its time.
func do(ctx context.Context, caller PlatformClient, c manager.Call) manager.Outcome {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	sent := time.Now()
	o := caller.Do(ctx, c)
	o.ID, o.Kind, o.SentAt, o.AnsweredAt = c.ID, c.Kind, sent, time.Now()
	return o
}
