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

// Parameters of the measurements of an entry host.
const (
	routeEndpoints  = 4
	endpointRunTime = 20 * time.Millisecond
	// halfLoadRate is half of the requests per second that 4 endpoints with 8
	// slots can run at 20 ms each.
	halfLoadRate = routeEndpoints * standin.DefaultSlots * int(time.Second/endpointRunTime) / 2
)

// routeRoundDuration is the duration of a round of requests over one route.
func (r *Report) routeRoundDuration() time.Duration {
	if r.Quick {
		return 200 * time.Millisecond
	}
	return 300 * time.Millisecond
}

// measureEntry measures the routing, memory, throughput, added latency and
// request records of an entry host.
func measureEntry(r *Report) error {
	measureRoutingDecisions(r)
	measureRequestMemory(r)
	for _, step := range []func(*Report) error{measureThroughput, measureAddedLatency, measureRequestRecords} {
		if err := step(r); err != nil {
			return err
		}
	}
	return nil
}

// measureRoutingDecisions measures a routing decision alone: run time estimate,
// choice of an endpoint, and slot accounting.
func measureRoutingDecisions(r *Report) {
	for _, c := range []struct {
		services, endpoints int
		target              Target
	}{{5, 60, targetDecisionSmall}, {238, 16000, targetDecisionLarge}} {
		t := route.New(route.Config{Self: "entry-1"})
		names := make([]string, c.services)
		for i := range names {
			names[i] = membertest.ServiceName(i)
		}
		for _, a := range membertest.Announcements(c.services, c.endpoints, baseTime) {
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
		r.AddTarget(key+"routing_decision", c.target, scale(timePerCall(r.rounds()*2+1, r.callRoundDuration(), decide), 1e-3)...)
		r.AddTarget(key+"routing_allocations", targetAllocations, testing.AllocsPerRun(1000, decide))
	}
}

// measureRequestMemory measures the heap bytes that an open and a queued request
// keep in the dispatcher, without their bodies.
func measureRequestMemory(r *Report) {
	const open, queued = 320, 3000
	d := newDispatcherWithEndpoints(hostsPerPool)
	addRequests := func(firstID, count int) func() any {
		return func() any {
			for i := range count {
				d.Step(baseTime, dispatch.Arrived{Request: dispatch.Request{
					ID: uint64(firstID + i), Service: membertest.ServiceName(0), Caller: "caller", WorkKind: "quote", Repeatable: true, Deadline: baseTime.Add(time.Hour),
				}})
			}
			return d
		}
	}
	r.Add("entry.memory_per_open_request", "B", retainedHeap(addRequests(1, open))/open)
	// These take the remaining free slots, so that later requests are queued.
	addRequests(10_000, 1000)()
	r.Add("entry.memory_per_queued_request", "B", retainedHeap(addRequests(20_000, queued))/queued)
}

// measureThroughput measures answers per second in a closed loop, with endpoints
// that answer at once. The routes are a direct call, a reverse proxy and an entry
// host, in this order. They alternate, so that other load on the machine affects
// all of them.
func measureThroughput(r *Report) error {
	c, err := entrytest.Start(entrytest.Options{Hosts: 1, Endpoints: routeEndpoints, Slots: 64})
	if err != nil {
		return err
	}
	defer c.Close()
	routes, err := c.Routes()
	if err != nil {
		return err
	}
	rates := make([][]float64, len(routes))
	failedCalls := 0.0
	var ratios []float64
	for range 1 + 3*r.rounds() {
		for i, testRoute := range routes {
			answered, failed := c.ClosedLoop(testRoute, r.routeRoundDuration())
			failedCalls += float64(failed)
			rates[i] = append(rates[i], float64(answered)/r.routeRoundDuration().Seconds())
		}
		last := len(rates[0]) - 1
		ratios = append(ratios, rates[2][last]/rates[1][last])
	}
	r.Add("entry.throughput.failed", "calls", failedCalls)
	for i, testRoute := range routes {
		r.Add("entry.throughput."+testRoute.Name, "1/s", rates[i][1:]...)
	}
	// The first round is left out: it opens the connections.
	r.AddTarget("entry.throughput.against_proxy", targetThroughput, ratios[1:]...)
	return nil
}

// measureAddedLatency measures the latency that an entry host adds at half load,
// with an open loop: requests are sent at a fixed rate regardless of answers.
func measureAddedLatency(r *Report) error {
	c, err := entrytest.Start(entrytest.Options{Hosts: 1, Endpoints: routeEndpoints, Slots: standin.DefaultSlots, RunTime: endpointRunTime})
	if err != nil {
		return err
	}
	defer c.Close()
	routes, err := c.Routes()
	if err != nil {
		return err
	}
	var p50, p99 []float64
	var failedDirect, failedViaEntry float64
	for round := range 1 + 3*r.rounds() {
		direct, directFailures := c.OpenLoop(routes[0], halfLoadRate, 2*r.routeRoundDuration())
		viaEntry, viaEntryFailures := c.OpenLoop(routes[2], halfLoadRate, 2*r.routeRoundDuration())
		failedDirect += float64(directFailures)
		failedViaEntry += float64(viaEntryFailures)
		// The first round is left out: it opens the connections.
		if round > 0 {
			p50 = append(p50, float64(viaEntry.ValueAtQuantile(50)-direct.ValueAtQuantile(50))/1e6)
			p99 = append(p99, float64(viaEntry.ValueAtQuantile(99)-direct.ValueAtQuantile(99))/1e6)
		}
	}
	// On a busy machine requests arrive in bursts, and an endpoint without a
	// free slot refuses a direct call.
	r.Add("entry.added_latency.failed_direct", "calls", failedDirect)
	r.Add("entry.added_latency.failed_entry", "calls", failedViaEntry)
	r.Add("entry.added_latency.p50", "ms", p50...)
	r.AddTarget("entry.added_latency.p99", targetAddedLatency, p99...)
	return nil
}

// measureRequestRecords measures how long replicas take to commit durable
// request records, in batches as the recorder of a replica proposes them.
func measureRequestRecords(r *Report) error {
	c, stop, err := startReplicas(controltest.Options{})
	if err != nil {
		return err
	}
	defer stop()
	ctx, cancel := context.WithTimeout(context.Background(), 10*waitTimeout)
	defer cancel()
	leader, err := c.WaitLeader(ctx)
	if err != nil {
		return err
	}
	for _, size := range []int{1, 16, 128} {
		var batchTimes []float64
		for round := range r.rounds() {
			began, batches := time.Now(), 0
			for time.Since(began) < r.liveRoundDuration()/2 {
				batches++
				if err := proposeRequestRecords(ctx, leader, size, round, batches); err != nil {
					return err
				}
			}
			batchTimes = append(batchTimes, ms(time.Since(began))/float64(batches))
		}
		r.Add(fmt.Sprintf("entry.record.batch_of_%d", size), "ms", batchTimes...)
	}
	return nil
}

// proposeRequestRecords proposes one batch of request records and waits for it.
func proposeRequestRecords(ctx context.Context, leader *controltest.Replica, size, round, batch int) error {
	now := time.Now().UTC()
	expires := now.Add(time.Minute).Truncate(time.Millisecond)
	cmd := state.RecordRequests{Origin: state.Origin{Actor: "entry-1", Source: "entry-1", Time: now}}
	for i := range size {
		cmd.Records = append(cmd.Records, state.RequestRecord{
			ID: fmt.Sprintf("%d.%d-%d-%d-%d", expires.UnixMilli(), size, round, batch, i), Phase: state.RequestBegun, Caller: "caller", Service: "quotes",
			EntryHost: "entry-1", Token: fmt.Sprint("token-", i), Digest: make([]byte, 32), Expires: expires,
		})
	}
	res, err := leader.Propose(ctx, cmd)
	if err == nil && res.Err != nil {
		err = errors.New(res.Err.Error())
	}
	return err
}
