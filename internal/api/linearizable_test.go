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

// operation is a put or get of one team.
type operation struct {
	put      bool
	expected uint64
	cores    int
}

// observation is the result of an operation as the client received it.
type observation struct {
	ok      bool
	version uint64
	cores   int
}

// registerModel is the sequential specification: a put succeeds if it expects
// the current version, and a get returns the result of the last put.
var registerModel = porcupine.Model{
	Init: func() any { return observation{} },
	Step: func(st, in, out any) (bool, any) {
		current, op, got := st.(observation), in.(operation), out.(observation)
		if !op.put {
			return got.version == current.version && got.cores == current.cores, current
		}
		if op.expected != current.version {
			return !got.ok, current
		}
		next := observation{version: got.version, cores: op.cores}
		return got.ok && got.version > current.version, next
	},
}

// Guards against two puts that both succeed with the same expected version, stale
// reads, and reads of values that were never put.
func TestPutAndGetAreLinearizable(t *testing.T) {
	s := newServer(t)
	const clients, calls = 6, 40
	begin := time.Now()
	var mu sync.Mutex
	var history []porcupine.Operation
	var group sync.WaitGroup
	for client := range clients {
		group.Go(func() {
			var last observation
			for i := range calls {
				op := operation{put: i%2 == 1, expected: last.version, cores: client*calls + i + 1}
				from := time.Since(begin).Nanoseconds()
				got := s.execute(op)
				to := time.Since(begin).Nanoseconds()
				if !op.put || got.ok {
					last = got
				}
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: client, Input: op, Output: got, Call: from, Return: to})
				mu.Unlock()
			}
		})
	}
	group.Wait()
	require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(registerModel, history, time.Minute))
}

func (s *server) execute(op operation) observation {
	if !op.put {
		r := s.do("GET", "/v1/teams/t", "")
		return decodeTeam(s.t, r.status, r.body)
	}
	r := s.do("PUT", "/v1/teams/t", fmt.Sprintf(`{"metadata":{"version":%d},"spec":{"quotaCores":%d}}`, op.expected, op.cores))
	if r.status != http.StatusOK {
		return observation{}
	}
	return decodeTeam(s.t, r.status, r.decodeChange(s.t).Object)
}

func decodeTeam(t testing.TB, status int, data []byte) observation {
	if status != http.StatusOK {
		return observation{}
	}
	var team model.Team
	require.NoError(t, json.Unmarshal(data, &team))
	return observation{ok: true, version: team.Version, cores: team.Spec.QuotaCores}
}
