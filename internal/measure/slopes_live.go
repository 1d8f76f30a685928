package measure

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	pb "laburnumdock/gen/laburnumdock/v1"
	"laburnumdock/gen/laburnumdock/v1/laburnumdockv1connect"
	"laburnumdock/internal/control/controltest"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
	"laburnumdock/internal/entry"
	"laburnumdock/internal/entry/entrytest"
)

// configValueBytes is the size of the value in a measured change of
// configuration.
const configValueBytes = 200

// waitTimeout is a tenth of the time limit of a measurement against replicas.
const waitTimeout = 30 * time.Second

// liveRoundDuration is the duration of a round against running replicas.
func (r *Report) liveRoundDuration() time.Duration {
	if r.Quick {
		return 500 * time.Millisecond
	}
	return time.Second
}

// useTwoProcessors limits the process to two processors, as the small hosts of a
// deployment have: with more, idle threads of the Go runtime use more processor
// time to look for work.
func useTwoProcessors() (restore func()) {
	previous := runtime.GOMAXPROCS(2)
	runtime.GC()
	return func() { runtime.GOMAXPROCS(previous) }
}

// startReplicas starts three control replicas with storage in a new temporary
// folder. The returned function stops them and removes the folder.
func startReplicas(o controltest.Options) (*controltest.Cluster, func(), error) {
	dir, err := os.MkdirTemp("", "dock-measure-")
	if err != nil {
		return nil, nil, err
	}
	o.Replicas, o.Dir = 3, dir
	c, err := controltest.Start(o)
	if err != nil {
		_ = os.RemoveAll(dir)
		return nil, nil, err
	}
	return c, func() {
		c.Close()
		_ = os.RemoveAll(dir)
	}, nil
}

// changeCount numbers the changes of the process, so that each differs from what
// is stored: an unchanged object is accepted without an event.
var changeCount atomic.Int64

// newConfigChange returns an operator's change of configuration.
func newConfigChange() state.Put {
	n := int(changeCount.Add(1))
	now := time.Now().UTC()
	return state.Put{
		Origin: state.Origin{Actor: "ana", Source: "127.0.0.1:40000", ChangeID: fmt.Sprintf("%s-%026d", now.Format("150405"), n), IssuedAt: now},
		Object: &model.Config{
			Meta: model.Meta{Kind: model.KindConfig, Name: fmt.Sprintf("config-%d", n%100)},
			Spec: model.ConfigSpec{Values: map[string]string{"value": randomHex(n)}},
		},
		Expected: state.AnyVersion,
	}
}

// randomHex returns configValueBytes pseudorandom hexadecimal digits for a seed,
// so that compression can't exploit repetition.
func randomHex(seed int) string {
	random := rand.New(rand.NewPCG(uint64(seed), 3))
	data := make([]byte, configValueBytes/2)
	for i := range data {
		data[i] = byte(random.Uint32())
	}
	return hex.EncodeToString(data)
}

// callAtRate calls f at a rate in calls per second for the given duration. It
// stops at the first error and returns it.
func callAtRate(rate float64, duration time.Duration, f func(n int) error) error {
	if rate == 0 {
		time.Sleep(duration)
		return nil
	}
	began := time.Now()
	for n := 0; ; n++ {
		due := began.Add(time.Duration(float64(n) / rate * float64(time.Second)))
		if due.Sub(began) >= duration {
			return nil
		}
		time.Sleep(time.Until(due))
		if err := f(n); err != nil {
			return err
		}
	}
}

// measureAtRates measures processor time and bytes per second at several rates
// of calls, and adds the cost per call and the cost at rest.
func (r *Report) measureAtRates(key, item string, rates []float64, traffic *byteCounter, f func(n int) error) error {
	var processor, wire [][]float64
	next := 0
	for range r.rounds() {
		var roundProcessor, roundWire []float64
		for _, rate := range rates {
			time.Sleep(50 * time.Millisecond)
			bytesBefore, processorBefore, began := traffic.bytes.Load(), processorTime(), time.Now()
			if err := callAtRate(rate, r.liveRoundDuration(), func(int) error {
				next++
				return f(next)
			}); err != nil {
				return err
			}
			seconds := time.Since(began).Seconds()
			roundProcessor = append(roundProcessor, ms(processorTime()-processorBefore)/seconds)
			roundWire = append(roundWire, float64(traffic.bytes.Load()-bytesBefore)/seconds)
		}
		processor, wire = append(processor, roundProcessor), append(wire, roundWire)
	}
	if err := r.addLinearFit(key+".processor", "ms per "+item, "ms/s", rates, processor); err != nil {
		return err
	}
	return r.addLinearFit(key+".wire", "B per "+item, "B/s", rates, wire)
}

// measureReplicas measures three replicas by the rate of changes: the sum of
// their processor times, and the bytes between them.
func measureReplicas(r *Report) error {
	defer useTwoProcessors()()
	traffic := &byteCounter{}
	c, stop, err := startReplicas(controltest.Options{Listen: traffic.listen})
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
	// The first change opens the connections.
	propose := func(int) error {
		_, err := leader.Propose(ctx, newConfigChange())
		return err
	}
	if err := propose(0); err != nil {
		return err
	}
	return r.measureAtRates("capacity.replicas.change", "change", []float64{0, 50, 150}, traffic, propose)
}

// measureWatchers measures the cost of a change per watcher: bytes on the wire,
// and processor time of server and client together.
func measureWatchers(r *Report) error {
	defer useTwoProcessors()()
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
	const rate = 100
	watchers := []float64{0, 8, 32}
	var processor, wire [][]float64
	for range r.rounds() {
		var roundProcessor, roundWire []float64
		for _, n := range watchers {
			traffic := &byteCounter{}
			perChange, bytesPerChange, err := costWithWatchers(ctx, r, leader, traffic, int(n), rate)
			if err != nil {
				return err
			}
			roundProcessor, roundWire = append(roundProcessor, perChange), append(roundWire, bytesPerChange)
		}
		processor, wire = append(processor, roundProcessor), append(wire, roundWire)
	}
	if err := r.addLinearFit("capacity.watch.processor", "ms per change and watcher", "ms per change", watchers, processor); err != nil {
		return err
	}
	return r.addLinearFit("capacity.watch.wire", "B per change and watcher", "B per change", watchers, wire)
}

// costWithWatchers returns the processor time in milliseconds and the bytes on
// the wire per change with n watchers.
func costWithWatchers(ctx context.Context, r *Report, leader *controltest.Replica, traffic *byteCounter, n int, rate float64) (processor, wire float64, err error) {
	l, err := controltest.Listen()
	if err != nil {
		return 0, 0, err
	}
	server := controltest.NewServer(leader.Handler)
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	for range n {
		group.Go(func() { consumeChanges(ctx, traffic, "http://"+l.Addr().String(), leader.Snapshot().Version) })
	}
	time.Sleep(100 * time.Millisecond)
	bytesBefore, processorBefore, accepted := traffic.bytes.Load(), processorTime(), 0
	err = callAtRate(rate, r.liveRoundDuration(), func(int) error {
		accepted++
		_, err := leader.Propose(ctx, newConfigChange())
		return err
	})
	// Wait for the last events to reach the watchers.
	time.Sleep(50 * time.Millisecond)
	return ms(processorTime()-processorBefore) / float64(accepted), float64(traffic.bytes.Load()-bytesBefore) / float64(accepted), err
}

// consumeChanges watches changes and discards them until ctx ends.
func consumeChanges(ctx context.Context, traffic *byteCounter, address string, fromVersion uint64) {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols, DialContext: traffic.dial}
	defer transport.CloseIdleConnections()
	client := laburnumdockv1connect.NewControlServiceClient(&http.Client{Transport: transport}, address)
	stream, err := client.Watch(ctx, connect.NewRequest(&pb.WatchRequest{FromVersion: fromVersion}))
	if err != nil {
		return
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
	}
}

// measureAnnouncements measures one entry host by the rate of announcements. The
// processor time includes the senders, which run in the same process.
func measureAnnouncements(r *Report) error {
	defer useTwoProcessors()()
	traffic := &byteCounter{}
	c, err := entrytest.Start(entrytest.Options{Hosts: 1, Slots: 8, Listen: traffic.listen})
	if err != nil {
		return err
	}
	defer c.Close()
	const endpoints = 1000
	return r.measureAtRates("capacity.entry.announcement", "announcement", []float64{0, 200, 800}, traffic, func(n int) error {
		a := entry.Announcement{
			Endpoint: fmt.Sprintf("quotes-%05d", n%endpoints), Host: fmt.Sprintf("host-%05d", n%endpoints), Service: fmt.Sprintf("service-%03d", n%15), Address: "127.0.0.1:1",
			Epoch: 1, Incarnation: 1, Sequence: uint64(n/endpoints) + 1, Slots: 8, Connections: 64, Rack: fmt.Sprintf("rack-%04d", n%250), Zone: "zone-1", State: entry.StateServing,
		}
		data, err := json.Marshal(a)
		if err != nil {
			return err
		}
		res, err := c.Client.Post(c.Hosts[0].URL+"/v1/announce", "application/json", bytes.NewReader(data))
		if err != nil {
			return err
		}
		defer func() { _ = res.Body.Close() }()
		body, err := io.ReadAll(res.Body)
		if err == nil && res.StatusCode >= http.StatusMultipleChoices {
			err = fmt.Errorf("announcement refused: %s", strings.TrimSpace(string(body)))
		}
		return err
	})
}

// recordProcessMemory adds the memory that the Go runtime and the program take
// before any state is built.
func recordProcessMemory(r *Report) {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	r.Add("capacity.memory.process", "MB", float64(m.Sys)/(1<<20))
}
