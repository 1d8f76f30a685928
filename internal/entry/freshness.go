package entry

import (
	"context"
	"time"

	"connectrpc.com/connect"

	pb "laburnumdock/gen/laburnumdock/v1"
)

// Timing of the freshness check of the watched replica.
const (
	freshnessInterval = 2 * time.Second
	freshnessTimeout  = time.Second
)

// monitorFreshness cancels the stream of a replica that is partitioned from the others:
// such a replica keeps its connections open and sends no changes. A replica that
// confirms a read index is in contact with the leader. One that does not is abandoned
// only if another replica does, because without a leader no replica is better.
func (c *controlClient) monitorFreshness(ctx context.Context, index int, cancel context.CancelCauseFunc) {
	ticker := time.NewTicker(freshnessInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !c.confirmsReadIndex(ctx, index) && c.anotherConfirmsReadIndex(ctx, index) {
			cancel(errReplicaPartitioned)
			return
		}
	}
}

// anotherConfirmsReadIndex reports whether any other replica confirms a read index.
func (c *controlClient) anotherConfirmsReadIndex(ctx context.Context, index int) bool {
	for i := range c.clients {
		if i != index && c.confirmsReadIndex(ctx, i) {
			return true
		}
	}
	return false
}

// confirmsReadIndex reports whether a replica confirms a read index. A replica that does
// not implement ReadIndex cannot be checked and counts as confirming.
func (c *controlClient) confirmsReadIndex(ctx context.Context, index int) bool {
	ctx, cancel := context.WithTimeout(ctx, freshnessTimeout)
	defer cancel()
	_, err := c.clients[index].ReadIndex(ctx, connect.NewRequest(&pb.ReadIndexRequest{}))
	return err == nil || connect.CodeOf(err) == connect.CodeUnimplemented
}
