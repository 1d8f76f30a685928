// Package orders sends the leader's orders outside the control loop: from the
// leader's own process, or through the other replicas of the cell, which return
// the outcomes. It decides only which replica sends an order.
package orders

import (
	"context"
	"sync"
	"time"

	"laburnumdock/internal/boottime"
	"laburnumdock/internal/core/manager"
	"laburnumdock/internal/core/permit"
)

// PlatformClient sends orders to executors, the platform and the advisor. Any
// goroutine may use it.
type PlatformClient interface {
	// Do sends one order and returns its outcome, which states what is known of
	// its effect. It sends nothing once the order's permission has ended.
	Do(ctx context.Context, c manager.Call) manager.Outcome
}

// LocalSender sends all orders from this process, each in a goroutine of its own.
type LocalSender struct {
	client PlatformClient
	group  sync.WaitGroup
}

// NewLocalSender returns a LocalSender that sends orders with client.
func NewLocalSender(client PlatformClient) *LocalSender { return &LocalSender{client: client} }

// Send implements lead.OrderSender.
func (l *LocalSender) Send(ctx context.Context, _ int, calls []manager.Call, deliver func([]manager.Outcome)) {
	for _, c := range calls {
		l.group.Go(func() { deliver([]manager.Outcome{do(ctx, l.client, c)}) })
	}
}

// Wait waits until no order is in flight. The context of all orders must have
// ended.
func (l *LocalSender) Wait() { l.group.Wait() }

// do sends one order within its timeout, unless its permission has ended: the
// process may have been suspended, or this goroutine delayed, since it was given.
func do(ctx context.Context, client PlatformClient, c manager.Call) manager.Outcome {
	if !permit.IsValid(c.SendUntil, boottime.Now()) {
		return newOutcome(&c, manager.NotPermitted)
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	sent := time.Now()
	o := client.Do(ctx, c)
	o.ID, o.Kind, o.SentAt, o.AnsweredAt = c.ID, c.Kind, sent, time.Now()
	return o
}

// newOutcome returns an outcome without an answer.
func newOutcome(c *manager.Call, v manager.Verdict) manager.Outcome {
	now := time.Now()
	return manager.Outcome{ID: c.ID, Kind: c.Kind, Verdict: v, SentAt: now, AnsweredAt: now}
}
