package control

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

// registerInput is a read, or a write of a value above 0, of one key.
type registerInput struct {
	key, value int
}

// registers is the sequential meaning of the changes and reads of one key.
var registers = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[int][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(registerInput).key
			byKey[key] = append(byKey[key], op)
		}
		return slices.Collect(maps.Values(byKey))
	},
	Init: func() any { return 0 },
	Step: func(held, input, output any) (bool, any) {
		in := input.(registerInput)
		if in.value == 0 {
			return output.(int) == held.(int), held
		}
		return true, in.value
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprint(input, output) },
}

// history collects the operations of several clients.
type history struct {
	mu  sync.Mutex
	ops []porcupine.Operation
	// kinds counts the errors by kind.
	kinds map[fault.Kind]int
}

func (h *history) add(op porcupine.Operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, op)
}

func (h *history) count(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.kinds[fault.KindOf(err)]++
}

const forever = int64(1 << 62)

// client changes and reads at random replicas until ctx ends.
func (h *history) client(ctx context.Context, id int, rng *rand.Rand, pick func(*rand.Rand) *running) {
	for i := 1; ctx.Err() == nil; i++ {
		run := pick(rng)
		if run == nil {
			time.Sleep(time.Millisecond)
			continue
		}
		in := registerInput{key: rng.IntN(4)}
		if rng.IntN(2) == 0 {
			in.value = id*100_000 + i
		}
		h.call(ctx, id, run, in)
	}
}

func (h *history) call(ctx context.Context, id int, run *running, in registerInput) {
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	op := porcupine.Operation{ClientId: id, Input: in, Call: time.Now().UnixNano()}
	var err error
	if in.value == 0 {
		var snap *state.Snapshot
		if snap, err = run.ReadSnapshot(ctx); err == nil {
			held := 0
			if team, ok := snap.Get(teamKey(in.key)).(*model.Team); ok {
				held = team.Spec.QuotaCores
			}
			op.Output = held
		}
	} else {
		put := putTeam(in.key)
		put.Object.(*model.Team).Spec.QuotaCores = in.value
		var res state.Result
		if res, err = run.Propose(ctx, put); err == nil && res.Err != nil {
			err = res.Err
		}
	}
	op.Return = time.Now().UnixNano()
	h.count(err)
	switch {
	case err == nil:
		h.add(op)
	case in.value > 0 && fault.KindOf(err) == fault.OutcomeUnknown:
		// It may take effect at any time, or never.
		op.Return = forever
		h.add(op)
	}
	// Any other error says that the change did not take effect, so that a read
	// which shows its value is a violation.
}

// Guards against a lost or repeated change, a stale read, and a change that was
// reported as not accepted and took effect, while replicas are killed,
// restarted and partitioned.
func TestLinearizableUnderFaults(t *testing.T) {
	c := newCluster(t, 1, 2, 3)
	c.leader()
	var mu sync.Mutex
	pick := func(rng *rand.Rand) *running {
		mu.Lock()
		defer mu.Unlock()
		return c.replicas[uint64(rng.IntN(3))+1]
	}
	h := &history{kinds: map[fault.Kind]int{}}
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	for id := range 5 {
		clients.Go(func() { h.client(ctx, id+1, rand.New(rand.NewPCG(uint64(id), 3)), pick) })
	}
	rng := rand.New(rand.NewPCG(5, 5))
	for range 8 {
		time.Sleep(time.Duration(300+rng.IntN(300)) * time.Millisecond)
		mu.Lock()
		victim := c.replicas[uint64(rng.IntN(3))+1]
		mu.Unlock()
		if rng.IntN(3) == 0 {
			setPartition(c, victim, true)
			time.Sleep(time.Duration(500+rng.IntN(1500)) * time.Millisecond)
			setPartition(c, victim, false)
			continue
		}
		mu.Lock()
		delete(c.replicas, victim.cfg.ID)
		mu.Unlock()
		// Clients use the replica while it stops or dies.
		c.endRun(victim, [...]error{ErrAbandon, context.Canceled}[rng.IntN(2)])
		time.Sleep(time.Duration(200+rng.IntN(800)) * time.Millisecond)
		mu.Lock()
		c.restart(victim.cfg.ID)
		mu.Unlock()
	}
	cancel()
	clients.Wait()
	t.Logf("%d operations, answers by kind %v", len(h.ops), h.kinds)
	require.Greater(t, len(h.ops), 100)
	require.Zero(t, h.kinds[fault.Invalid])
	// The search is bounded only by the test's own timeout.
	require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(registers, h.ops, 0))
	for _, run := range c.replicas {
		_, err := run.ReadSnapshot(within(t))
		require.NoError(t, err)
	}
}

// Guards against a linearizability check that accepts a stale read or a change
// that was reported as not accepted.
func TestRegisterModelFindsViolations(t *testing.T) {
	write := porcupine.Operation{Input: registerInput{key: 1, value: 7}, Call: 1, Return: 2}
	read := func(value int) porcupine.Operation {
		return porcupine.Operation{ClientId: 1, Input: registerInput{key: 1}, Output: value, Call: 3, Return: 4}
	}
	require.True(t, porcupine.CheckOperations(registers, []porcupine.Operation{write, read(7)}))
	require.False(t, porcupine.CheckOperations(registers, []porcupine.Operation{write, read(0)}))
	require.False(t, porcupine.CheckOperations(registers, []porcupine.Operation{read(9)}))
	write.Return = forever
	require.True(t, porcupine.CheckOperations(registers, []porcupine.Operation{write, read(0)}))
	require.True(t, porcupine.CheckOperations(registers, []porcupine.Operation{write, read(7)}))
}
