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
	"laburnumdock/internal/wal/waltest"
)

// registerInput is the input of an operation on one key: a read if value is 0,
// otherwise a write of value.
type registerInput struct {
	key, value int
}

// registerModel is the sequential specification of the reads and writes, in which
// each key is a register.
var registerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[int][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(registerInput).key
			byKey[key] = append(byKey[key], op)
		}
		return slices.Collect(maps.Values(byKey))
	},
	Init: func() any { return 0 },
	Step: func(value, input, output any) (bool, any) {
		in := input.(registerInput)
		if in.value == 0 {
			return output.(int) == value.(int), value
		}
		return true, in.value
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprint(input, output) },
}

// history records the operations of several clients.
type history struct {
	mu  sync.Mutex
	ops []porcupine.Operation
	// errorKinds is the number of operations by error kind.
	errorKinds map[fault.Kind]int
}

func (h *history) add(op porcupine.Operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, op)
}

func (h *history) count(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.errorKinds[fault.KindOf(err)]++
}

const neverReturned = int64(1 << 62)

// client reads and writes at random replicas until ctx ends.
func (h *history) client(ctx context.Context, id int, rng *rand.Rand, pick func(*rand.Rand) *runningReplica) {
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

// call carries out an operation and records it unless it had no effect.
func (h *history) call(ctx context.Context, id int, run *runningReplica, in registerInput) {
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	op := porcupine.Operation{ClientId: id, Input: in, Call: time.Now().UnixNano()}
	var err error
	if in.value == 0 {
		var snap *state.Snapshot
		if snap, err = run.ReadSnapshot(ctx); err == nil {
			value := 0
			if team, ok := snap.Get(teamKey(in.key)).(*model.Team); ok {
				value = team.Spec.QuotaCores
			}
			op.Output = value
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
		// The write may take effect at any later time, or never.
		op.Return = neverReturned
		h.add(op)
	}
	// After any other error the write must not take effect. It is not recorded, so
	// a read that returns its value is a violation.
}

// Guards against lost and repeated changes, stale reads, and changes that take
// effect after an error that excludes it, while replicas are killed, restarted and
// partitioned.
func TestLinearizableUnderFaults(t *testing.T) {
	c := newCluster(t, 1, 2, 3)
	c.leader()
	var mu sync.Mutex
	pick := func(rng *rand.Rand) *runningReplica {
		mu.Lock()
		defer mu.Unlock()
		return c.replicas[uint64(rng.IntN(3))+1]
	}
	h := &history{errorKinds: map[fault.Kind]int{}}
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
		// Clients may still use the replica while it is stopped or killed.
		c.endRun(victim, [...]error{ErrAbandon, context.Canceled}[rng.IntN(2)])
		time.Sleep(time.Duration(200+rng.IntN(800)) * time.Millisecond)
		mu.Lock()
		c.restart(victim.cfg.ID)
		mu.Unlock()
	}
	cancel()
	clients.Wait()
	t.Logf("%d operations, answers by kind %v", len(h.ops), h.errorKinds)
	require.Greater(t, len(h.ops), 100)
	require.Zero(t, h.errorKinds[fault.Invalid])
	// The search has no timeout other than that of the test.
	require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(registerModel, h.ops, 0))
	for _, run := range c.replicas {
		_, err := run.ReadSnapshot(testContext(t))
		require.NoError(t, err)
	}
}

// Guards against acknowledged changes that are lost, stale reads and changes that take
// effect after an error that excludes it, while the disks of random replicas refuse
// random operations for a while, also of several at once, and some of these replicas
// are killed meanwhile.
func TestLinearizableWithFailingDisks(t *testing.T) {
	c, disks := newClusterOnFaultyDisks(t, func(cfg *Config) { cfg.SnapshotEntries, cfg.KeepEntries = 50, 10 }, 1, 2, 3)
	c.leader()
	var mu sync.Mutex
	pick := func(rng *rand.Rand) *runningReplica {
		mu.Lock()
		defer mu.Unlock()
		return c.replicas[uint64(rng.IntN(3))+1]
	}
	h := &history{errorKinds: map[fault.Kind]int{}}
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	for id := range 5 {
		clients.Go(func() { h.client(ctx, id+1, rand.New(rand.NewPCG(uint64(id), 7)), pick) })
	}
	refusable := []waltest.Op{waltest.Full, waltest.Sync, waltest.Rename, waltest.Remove, waltest.SyncDir, waltest.Create, waltest.Write | waltest.Sync}
	rng := rand.New(rand.NewPCG(9, 9))
	refusals := func() int {
		count := 0
		for _, disk := range disks {
			count += disk.Refusals()
		}
		return count
	}
	// On a busy machine few operations meet a refusal in a round.
	const minRounds, maxRounds, minRefusals = 12, 60, 11
	for round := 0; round < minRounds || round < maxRounds && refusals() < minRefusals; round++ {
		victim := uint64(rng.IntN(3)) + 1
		disks[victim].Refuse(refusable[rng.IntN(len(refusable))])
		if rng.IntN(4) == 0 {
			disks[victim%3+1].Refuse(waltest.Full)
		}
		time.Sleep(time.Duration(100+rng.IntN(600)) * time.Millisecond)
		killed := rng.IntN(3) == 0
		if killed {
			mu.Lock()
			run := c.replicas[victim]
			delete(c.replicas, victim)
			mu.Unlock()
			c.endRun(run, ErrAbandon)
		}
		for _, disk := range disks {
			disk.Refuse(0)
		}
		if killed {
			mu.Lock()
			c.startFS(victim, c.relisten(victim), disks[victim])
			mu.Unlock()
		}
		time.Sleep(time.Duration(rng.IntN(600)) * time.Millisecond)
	}
	c.awaitRecovery(1)
	cancel()
	clients.Wait()
	t.Logf("%d operations, %d refused file operations, answers by kind %v", len(h.ops), refusals(), h.errorKinds)
	require.Greater(t, len(h.ops), 100)
	require.GreaterOrEqual(t, refusals(), minRefusals)
	require.Zero(t, h.errorKinds[fault.Invalid])
	require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(registerModel, h.ops, 0))
	for id, run := range c.replicas {
		_, err := run.ReadSnapshot(testContext(t))
		require.NoError(t, err, "replica %d", id)
	}
}

// Guards against a linearizability check that accepts a stale read, or a read of a
// change that must not have taken effect.
func TestRegisterModelDetectsViolations(t *testing.T) {
	write := porcupine.Operation{Input: registerInput{key: 1, value: 7}, Call: 1, Return: 2}
	read := func(value int) porcupine.Operation {
		return porcupine.Operation{ClientId: 1, Input: registerInput{key: 1}, Output: value, Call: 3, Return: 4}
	}
	require.True(t, porcupine.CheckOperations(registerModel, []porcupine.Operation{write, read(7)}))
	require.False(t, porcupine.CheckOperations(registerModel, []porcupine.Operation{write, read(0)}))
	require.False(t, porcupine.CheckOperations(registerModel, []porcupine.Operation{read(9)}))
	write.Return = neverReturned
	require.True(t, porcupine.CheckOperations(registerModel, []porcupine.Operation{write, read(0)}))
	require.True(t, porcupine.CheckOperations(registerModel, []porcupine.Operation{write, read(7)}))
}
