package measure

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"laburnumdock/internal/control/controltest"
	"laburnumdock/internal/core/dispatch"
	"laburnumdock/internal/core/member/membertest"
	"laburnumdock/internal/core/route"
	"laburnumdock/internal/core/state"
	"laburnumdock/internal/entry/entrytest"
	"laburnumdock/internal/standin"
)

// Sizes of the measurements of an entry host.
const (
	wayEndpoints = 4
	wayRunTime   = 20 * time.Millisecond
	// halfLoad is half of what the endpoints can carry: 4 x 8 slots and 20 ms.
	halfLoad = wayEndpoints * standin.DefaultSlots * int(time.Second/wayRunTime) / 2
)

func (r *Report) wayRound() time.Duration {
	if r.Quick {
		return 200 * time.Millisecond
	}
	return 300 * time.Millisecond
}

// Entry measures an entry host.
func measureEntry(r *Report) error {
	decisions(r)
	requestMemory(r)
	for _, step := range []func(*Report) error{throughput, addedLatency, records} {
		if err := step(r); err != nil {
			return err
		}
	}
	return nil
}

// decisions measures the routing decision alone: expected run time, endpoint
// and slot accounting.
func decisions(r *Report) {
	for _, c := range []struct {
		services, endpoints int
		target              Target
	}{{5, 60, targetDecisionSmall}, {238, 16000, targetDecisionLarge}} {
		t := route.New(route.Config{Self: "entry-1"})
		names := make([]string, c.services)
		for i := range names {
			names[i] = membertest.ServiceName(i)
		}
		for _, a := range membertest.Announcements(c.services, c.endpoints, origin) {
			t.Update(&a, 0, true)
		}
		i := 0
		decide := func() {
			i++
			class := route.ClassOf(route.Key{Service: names[i%c.services], WorkKind: "quote", Caller: "caller", SizeBytes: 1000})
			e := t.Pick(t.Service(names[i%c.services]), time.Millisecond, route.PickOptions{Long: t.RunTimes.Estimate(class).Long})
			t.StartAttempt(e, false)
			t.RunTimes.Learn(class, time.Millisecond)
			t.EndAttempt(e, false)
		}
		key := fmt.Sprintf("entry.endpoints_%d.", c.endpoints)
		r.AddTarget(key+"routing_decision", c.target, scaled(perCall(r.rounds()*2+1, r.length(), decide), 1e-3)...)
		r.AddTarget(key+"routing_allocations", targetAllocations, testing.AllocsPerRun(1000, decide))
	}
}

// requestMemory measures what an open and a queued request keep in the
// dispatcher, without their bodies.
func requestMemory(r *Report) {
	const open, queued = 320, 3000
	d := directory(67)
	arrive := func(from, count int) func() any {
		return func() any {
			for i := range count {
				d.Step(origin, dispatch.Arrived{Request: dispatch.Request{
					ID: uint64(from + i), Service: membertest.ServiceName(0), Caller: "caller", WorkKind: "quote", Repeatable: true, Deadline: origin.Add(time.Hour),
				}})
			}
			return d
		}
	}
	r.Add("entry.memory_per_open_request", "B", heapOf(arrive(1, open))/open)
	arrive(10_000, 1000)()
	r.Add("entry.memory_per_queued_request", "B", heapOf(arrive(20_000, queued))/queued)
}

// throughput measures answers a second in a closed loop with endpoints without
// run time. The ways take turns, so that other load meets all of them.
func throughput(r *Report) error {
	c, err := entrytest.Start(entrytest.Options{Hosts: 1, Endpoints: wayEndpoints, Slots: 64})
	if err != nil {
		return err
	}
	defer c.Close()
	ways, err := c.Routes()
	if err != nil {
		return err
	}
	rates := make([][]float64, len(ways))
	failures := 0.0
	var shares []float64
	for range 1 + 3*r.rounds() {
		for i, w := range ways {
			done, failed := c.ClosedLoop(w, r.wayRound())
			failures += float64(failed)
			rates[i] = append(rates[i], float64(done)/r.wayRound().Seconds())
		}
		last := len(rates[0]) - 1
		shares = append(shares, rates[2][last]/rates[1][last])
	}
	r.Add("entry.throughput.failed", "calls", failures)
	for i, w := range ways {
		r.Add("entry.throughput."+w.Name, "1/s", rates[i][1:]...)
	}
	// The first round opens the connections.
	r.AddTarget("entry.throughput.against_proxy", targetThroughput, shares[1:]...)
	return nil
}

// addedLatency measures at half load, with requests sent at a fixed rate
// whatever the answers.
func addedLatency(r *Report) error {
	c, err := entrytest.Start(entrytest.Options{Hosts: 1, Endpoints: wayEndpoints, Slots: standin.DefaultSlots, RunTime: wayRunTime})
	if err != nil {
		return err
	}
	defer c.Close()
	ways, err := c.Routes()
	if err != nil {
		return err
	}
	var p50, p99 []float64
	var failedDirect, failedBehind float64
	for round := range 1 + 3*r.rounds() {
		direct, refused := c.OpenLoop(ways[0], halfLoad, 2*r.wayRound())
		behind, more := c.OpenLoop(ways[2], halfLoad, 2*r.wayRound())
		failedDirect += float64(refused)
		failedBehind += float64(more)
		// The first round opens the connections.
		if round > 0 {
			p50 = append(p50, float64(behind.ValueAtQuantile(50)-direct.ValueAtQuantile(50))/1e6)
			p99 = append(p99, float64(behind.ValueAtQuantile(99)-direct.ValueAtQuantile(99))/1e6)
		}
	}
	// On a busy machine requests bunch up, and an executor whose slots are taken
	// refuses a direct call.
	r.Add("entry.added_latency.failed_direct", "calls", failedDirect)
	r.Add("entry.added_latency.failed_entry", "calls", failedBehind)
	r.Add("entry.added_latency.p50", "ms", p50...)
	r.AddTarget("entry.added_latency.p99", targetAddedLatency, p99...)
	return nil
}

// records measures the durable record of requests: begin and finish in batches
// as the recorder of a replica proposes them.
func records(r *Report) error {
	c, stop, err := startReplicas(controltest.Options{})
	if err != nil {
		return err
	}
	defer stop()
	ctx, cancel := context.WithTimeout(context.Background(), 10*waitLimit)
	defer cancel()
	lead, err := c.WaitLeader(ctx)
	if err != nil {
		return err
	}
	for _, size := range []int{1, 16, 128} {
		var took []float64
		for round := range r.rounds() {
			began, batches := time.Now(), 0
			for time.Since(began) < r.span()/2 {
				batches++
				if err := record(ctx, lead, size, round, batches); err != nil {
					return err
				}
			}
			took = append(took, ms(time.Since(began))/float64(batches))
		}
		r.Add(fmt.Sprintf("entry.record.batch_of_%d", size), "ms", took...)
	}
	return nil
}

func record(ctx context.Context, lead *controltest.Replica, size, round, batch int) error {
	now := time.Now().UTC()
	expires := now.Add(time.Minute).Truncate(time.Millisecond)
	cmd := state.RecordRequests{Origin: state.Origin{Actor: "entry-1", Source: "entry-1", Time: now}}
	for i := range size {
		cmd.Records = append(cmd.Records, state.RequestRecord{
			ID: fmt.Sprintf("%d.%d-%d-%d-%d", expires.UnixMilli(), size, round, batch, i), Phase: state.RequestBegun, Caller: "caller", Service: "quotes",
			EntryHost: "entry-1", Token: fmt.Sprint("token-", i), Digest: make([]byte, 32), Expires: expires,
		})
	}
	res, err := lead.Propose(ctx, cmd)
	if err == nil && res.Err != nil {
		err = errors.New(res.Err.Error())
	}
	return err
}
