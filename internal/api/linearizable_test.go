package api_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/model"
)

// call is a put or get of one team; result is what the client saw of it.
type call struct {
	put      bool
	expected uint64
	cores    int
}

type seen struct {
	ok      bool
	version uint64
	cores   int
}

// registry is the sequential behaviour: a put wins if it expects the version
// that is there, a get returns what the last put left.
var registry = porcupine.Model{
	Init: func() any { return seen{} },
	Step: func(st, in, out any) (bool, any) {
		now, c, o := st.(seen), in.(call), out.(seen)
		if !c.put {
			return o.version == now.version && o.cores == now.cores, now
		}
		if c.expected != now.version {
			return !o.ok, now
		}
		next := seen{version: o.version, cores: c.cores}
		return o.ok && o.version > now.version, next
	},
}

// Guards against two puts that both win with one expected version, reads that
// go back, and reads of what was never put.
func TestPutAndGetAreLinearizable(t *testing.T) {
	s := newServer(t)
	const clients, calls = 6, 40
	begin := time.Now()
	var mu sync.Mutex
	var history []porcupine.Operation
	var group sync.WaitGroup
	for client := range clients {
		group.Go(func() {
			var last seen
			for i := range calls {
				c := call{put: i%2 == 1, expected: last.version, cores: client*calls + i + 1}
				from := time.Since(begin).Nanoseconds()
				got := s.team(c)
				to := time.Since(begin).Nanoseconds()
				if !c.put || got.ok {
					last = got
				}
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: client, Input: c, Output: got, Call: from, Return: to})
				mu.Unlock()
			}
		})
	}
	group.Wait()
	require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(registry, history, time.Minute))
}

func (s *server) team(c call) seen {
	if !c.put {
		r := s.do("GET", "/v1/teams/t", "")
		return teamOf(s.t, r.status, r.body)
	}
	r := s.do("PUT", "/v1/teams/t", fmt.Sprintf(`{"metadata":{"version":%d},"spec":{"quotaCores":%d}}`, c.expected, c.cores))
	if r.status != http.StatusOK {
		return seen{}
	}
	return teamOf(s.t, r.status, r.change(s.t).Object)
}

func teamOf(t testing.TB, status int, data []byte) seen {
	if status != http.StatusOK {
		return seen{}
	}
	var team model.Team
	require.NoError(t, json.Unmarshal(data, &team))
	return seen{ok: true, version: team.Version, cores: team.Spec.QuotaCores}
}
