package orders

import (
	"context"
	"fmt"
	"runtime/debug"

	metrics "github.com/rcrowley/go-metrics"

	"laburnumdock/internal/core/manager"
	"laburnumdock/internal/logevent"
)

// guardedClient is a PlatformClient that survives a panic while it handles one order.
type guardedClient struct {
	client PlatformClient
	panics metrics.Counter
	log    *logevent.Logger
}

// Guard returns a PlatformClient whose orders get the verdict NoAnswer if client
// panics. Orders have goroutines of their own, in which a panic ends the process, and
// the answer to one order must not end all others. There is no such guard in the
// control loop: a panic there may leave the leader's state half changed, so the
// process ends, and the next leader starts from the records.
func Guard(client PlatformClient, reg metrics.Registry, log *logevent.Logger) PlatformClient {
	return &guardedClient{client: client, panics: metrics.GetOrRegisterCounter("order_panics", reg), log: log}
}

// Do implements PlatformClient.
func (g *guardedClient) Do(ctx context.Context, c manager.Call) (o manager.Outcome) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		g.panics.Inc(1)
		g.log.Log(logevent.OrderPanicked, logevent.Fields{"order": c.Kind.String(), "executor": c.Instance, "panic": fmt.Sprint(cause), "stack": string(debug.Stack())})
		// The order may have been sent.
		o = manager.Outcome{Verdict: manager.NoAnswer}
	}()
	return g.client.Do(ctx, c)
}
