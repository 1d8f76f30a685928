package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"laburnumdock/internal/control/controltest"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

func startReplicas(t testing.TB, n uint64) []*controltest.Replica {
	t.Helper()
	c, err := controltest.Start(controltest.Options{Replicas: n, Dir: t.TempDir()})
	require.NoError(t, err)
	t.Cleanup(c.Close)
	return c.Replicas
}

func putReal(t testing.TB, replicas []*controltest.Replica, value string) {
	t.Helper()
	cmd := state.Put{
		Origin: state.Origin{Actor: "test", Source: "test", ChangeID: value, IssuedAt: time.Now()}, Expected: state.AnyVersion,
		Object: &model.Config{Meta: model.Meta{Kind: model.KindConfig, Name: "c"}, Spec: model.ConfigSpec{Values: map[string]string{"v": value}}},
	}
	require.Eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		res, err := replicas[0].Propose(ctx, cmd)
		return err == nil && res.Err == nil
	}, 2*patience, 20*time.Millisecond)
}

// Guards against a difference between the fake control replicas and the real
// ones, and against wrong answers while the leader crashes (R4, R5, R8).
func TestWithControlReplicas(t *testing.T) {
	replicas := startReplicas(t, 3)
	var urls []string
	for _, r := range replicas {
		urls = append(urls, r.URL)
	}
	c := newCell(t, cellConfig{hosts: 2, endpoints: 2, control: urls})
	putReal(t, replicas, "1")
	start := time.Now()
	c.waitConfig("1")
	t.Logf("configuration in force after %s", time.Since(start))

	var callers sync.WaitGroup
	var mu sync.Mutex
	answered := make(map[string]int)
	refused := make(map[string]int)
	stopped := make(chan struct{})
	for i := range 6 {
		callers.Go(func() {
			for j := 0; ; j++ {
				select {
				case <-stopped:
					return
				default:
				}
				id := newRequestID()
				ok, no := c.resend(id, fmt.Sprintf("%d %d", i, j))
				mu.Lock()
				answered[id] += ok
				refused[id] += no
				mu.Unlock()
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	followed := c.status(c.hosts[0]).Configuration.Replica
	for i, r := range replicas {
		if r.URL == followed {
			r.Kill()
			replicas = append(replicas[:i:i], replicas[i+1:]...)
			break
		}
	}
	putReal(t, replicas, "2")
	c.waitConfig("2")
	time.Sleep(500 * time.Millisecond)
	close(stopped)
	callers.Wait()
	total := 0
	for id, ok := range answered {
		runs := c.runs(id)
		assert.LessOrEqual(t, runs, 1, "R5: %s", id)
		if ok > 0 {
			total++
			assert.Equal(t, 1, runs, "an answer without a run")
		} else if refused[id] == sends {
			assert.Zero(t, runs, "R4: every send was refused as not run")
		}
	}
	t.Logf("%d requests, %d with an answer", len(answered), total)
	assert.Positive(t, total)
}

// sends is how often a caller sends one request.
const sends = 3

// resend sends one request some times to both hosts and returns the number of
// whole answers and of answers that it did not run.
func (c *cell) resend(id, body string) (answered, refused int) {
	for i := range sends {
		out, err := c.do(c.hosts[i%len(c.hosts)], call{method: http.MethodPost, body: body, once: true, requestID: id, deadline: 5 * time.Second})
		switch {
		case err != nil:
		case out.kind == "":
			answered++
			assert.Equal(c.t, body, out.reply.Echo, "R3")
		case out.ran == fault.RanNo:
			refused++
		}
	}
	return answered, refused
}
