// Package orders sends the leader's orders outside the control loop: from the
// leader's own process, or through the other replicas of the cell, which return
// the outcomes. It decides only which replica sends an order.
package orders

import (
	"context"
	"sync"
	"time"

	"laburnumdock/internal/core/manager"
)

// PlatformClient sends orders to executors, the platform and the advisor. Any
// goroutine may use it.
type PlatformClient interface {
	// Do sends one order and returns its outcome, which states what is known of
	// its effect.
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

// do sends one order within its timeout.
func do(ctx context.Context, client PlatformClient, c manager.Call) manager.Outcome {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	sent := time.Now()
	o := client.Do(ctx, c)
	o.ID, o.Kind, o.SentAt, o.AnsweredAt = c.ID, c.Kind, sent, time.Now()
	return o
}
