package orders

import (
	"context"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/manager"
	"laburnumdock/internal/logevent"
)

// panickingPlatform is a PlatformClient that panics for every order to the address
// "bad".
type panickingPlatform struct{ fakePlatform }

func (p *panickingPlatform) Do(ctx context.Context, c manager.Call) manager.Outcome {
	if c.Address == "bad" {
		var rows []manager.RunningRow
		_ = rows[c.Run]
	}
	return p.fakePlatform.Do(ctx, c)
}

// Guards against one order whose answer ends the process, on the leader and on a
// replica that sends orders for it.
func TestPanicInOneOrderLeavesOthersAlone(t *testing.T) {
	for _, throughProxy := range []bool{false, true} {
		reg := metrics.NewRegistry()
		client := Guard(&panickingPlatform{}, reg, logevent.Discard())
		outcomes := make(chan manager.Outcome, 2)
		sender := NewDistributedSender(DistributedConfig{Local: NewLocalSender(client), MaxLocalExecutors: 1, Log: logevent.Discard(), ProxyURLs: func() []string {
			if !throughProxy {
				return nil
			}
			url, _ := startReplica(t, client)
			return []string{url}
		}})
		ctx, cancel := context.WithCancel(t.Context())
		sender.Send(ctx, 2, []manager.Call{startCall(1, "bad"), startCall(2, "a")}, func(list []manager.Outcome) {
			for _, o := range list {
				outcomes <- o
			}
		})
		verdicts := map[uint64]manager.Verdict{}
		for range 2 {
			select {
			case o := <-outcomes:
				verdicts[o.ID] = o.Verdict
			case <-time.After(waitTimeout):
				t.Fatal("no outcome")
			}
		}
		cancel()
		sender.Wait()
		require.Equal(t, map[uint64]manager.Verdict{1: manager.NoAnswer, 2: manager.OK}, verdicts)
		require.EqualValues(t, 1, metrics.GetOrRegisterCounter("order_panics", reg).Count())
	}
}
