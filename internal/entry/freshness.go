package entry

import (
	"context"
	"time"

	"connectrpc.com/connect"

	pb "laburnumdock/gen/laburnumdock/v1"
)

// Times of the check of the followed replica.
const (
	freshInterval = 2 * time.Second
	freshTimeout  = time.Second
)

// watchFreshness ends a stream of a replica that is cut off from the others:
// such a replica keeps its connections and sends no change. A replica that has
// a read index confirmed is in contact with the leader. One that has not is
// left only if another has, because without a leader all are the same.
func (c *controlClient) watchFreshness(ctx context.Context, index int, cancel context.CancelCauseFunc) {
	ticker := time.NewTicker(freshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !c.confirmed(ctx, index) && c.otherConfirmed(ctx, index) {
			cancel(errCutOff)
			return
		}
	}
}

func (c *controlClient) otherConfirmed(ctx context.Context, index int) bool {
	for i := range c.clients {
		if i != index && c.confirmed(ctx, i) {
			return true
		}
	}
	return false
}

// confirmed tells whether a replica has a read index confirmed. One that does
// not offer it cannot be told apart, so it passes.
func (c *controlClient) confirmed(ctx context.Context, index int) bool {
	ctx, cancel := context.WithTimeout(ctx, freshTimeout)
	defer cancel()
	_, err := c.clients[index].ReadIndex(ctx, connect.NewRequest(&pb.ReadIndexRequest{}))
	return err == nil || connect.CodeOf(err) == connect.CodeUnimplemented
}
