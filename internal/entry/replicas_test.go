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

// startReplicas starts n control replicas.
func startReplicas(t testing.TB, n uint64) []*controltest.Replica {
	t.Helper()
	c, err := controltest.Start(controltest.Options{Replicas: n, Dir: t.TempDir()})
	require.NoError(t, err)
	t.Cleanup(c.Close)
	return c.Replicas
}

// proposeConfig sets the value "v" of the config "c" on real replicas.
func proposeConfig(t testing.TB, replicas []*controltest.Replica, value string) {
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
	}, 2*waitTimeout, 20*time.Millisecond)
}

// Guards against a difference between the fake control replicas and the real ones, and
// against wrong replies while a replica crashes: a request that runs twice, or one that
// ran and is reported as not run (requirements R4, R5 and R8).
func TestWithControlReplicas(t *testing.T) {
	replicas := startReplicas(t, 3)
	var urls []string
	for _, r := range replicas {
		urls = append(urls, r.URL)
	}
	f := newFixture(t, fixtureConfig{hosts: 2, endpoints: 2, controlReplicas: urls})
	proposeConfig(t, replicas, "1")
	start := time.Now()
	f.waitConfig("1")
	t.Logf("configuration applied after %s", time.Since(start))

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
				ok, no := f.sendRepeatedly(id, fmt.Sprintf("%d %d", i, j))
				mu.Lock()
				answered[id] += ok
				refused[id] += no
				mu.Unlock()
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	watched := f.status(f.hosts[0]).Configuration.Replica
	for i, r := range replicas {
		if r.URL == watched {
			r.Kill()
			replicas = append(replicas[:i:i], replicas[i+1:]...)
			break
		}
	}
	proposeConfig(t, replicas, "2")
	f.waitConfig("2")
	time.Sleep(500 * time.Millisecond)
	close(stopped)
	callers.Wait()
	total := 0
	for id, ok := range answered {
		runs := f.runs(id)
		assert.LessOrEqual(t, runs, 1, "requirement R5: request %s ran more than once", id)
		if ok > 0 {
			total++
			assert.Equal(t, 1, runs, "an answer without a run")
		} else if refused[id] == sendsPerRequest {
			assert.Zero(t, runs, "requirement R4: every send was refused as not run")
		}
	}
	t.Logf("%d requests, %d with an answer", len(answered), total)
	assert.Positive(t, total)
}

// sendsPerRequest is how often a caller sends the same request.
const sendsPerRequest = 3

// sendRepeatedly sends the same request several times, to the hosts in turn. It returns
// the number of complete answers and of replies that the request did not run.
func (f *fixture) sendRepeatedly(id, body string) (answered, refused int) {
	for i := range sendsPerRequest {
		out, err := f.do(f.hosts[i%len(f.hosts)], callerRequest{method: http.MethodPost, body: body, nonRepeatable: true, requestID: id, deadline: 5 * time.Second})
		switch {
		case err != nil:
		case out.kind == "":
			answered++
			assert.Equal(f.t, body, out.reply.Echo, "requirement R3: answer to another request")
		case out.ran == fault.RanNo:
			refused++
		}
	}
	return answered, refused
}
