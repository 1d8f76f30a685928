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

// changeBytes is the size of the value in a measured change of configuration.
const changeBytes = 200

// waitLimit bounds every wait of a measurement.
const waitLimit = 30 * time.Second

func (r *Report) span() time.Duration {
	if r.Quick {
		return 500 * time.Millisecond
	}
	return time.Second
}

// smallHost gives the program two processors, as the small hosts of a
// deployment have: idle threads that look for work cost more with more of them.
func smallHost() (restore func()) {
	before := runtime.GOMAXPROCS(2)
	runtime.GC()
	return func() { runtime.GOMAXPROCS(before) }
}

// startReplicas starts three control replicas with files in a new folder.
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

// changes numbers the changes of a process: a change to what is stored already
// would be accepted without an event.
var changes atomic.Int64

// change is an operator's change of configuration.
func change() state.Put {
	n := int(changes.Add(1))
	now := time.Now().UTC()
	return state.Put{
		Origin: state.Origin{Actor: "ana", Source: "127.0.0.1:40000", ChangeID: fmt.Sprintf("%s-%026d", now.Format("150405"), n), IssuedAt: now},
		Object: &model.Config{
			Meta: model.Meta{Kind: model.KindConfig, Name: fmt.Sprintf("config-%d", n%100)},
			Spec: model.ConfigSpec{Values: map[string]string{"value": value(n)}},
		},
		Expected: state.AnyVersion,
	}
}

// value does not compress, as far as it is long.
func value(n int) string {
	random := rand.New(rand.NewPCG(uint64(n), 3))
	data := make([]byte, changeBytes/2)
	for i := range data {
		data[i] = byte(random.Uint32())
	}
	return hex.EncodeToString(data)
}

// paced calls f at a rate for a time and returns the first error.
func paced(rate float64, length time.Duration, f func(n int) error) error {
	if rate == 0 {
		time.Sleep(length)
		return nil
	}
	began := time.Now()
	for n := 0; ; n++ {
		due := began.Add(time.Duration(float64(n) / rate * float64(time.Second)))
		if due.Sub(began) >= length {
			return nil
		}
		time.Sleep(time.Until(due))
		if err := f(n); err != nil {
			return err
		}
	}
}

// rated measures processor time and bytes per second at several rates.
func (r *Report) rated(key, what string, rates []float64, count *counter, f func(n int) error) error {
	var cores, wire [][]float64
	next := 0
	for range r.rounds() {
		var core, bytes []float64
		for _, rate := range rates {
			time.Sleep(50 * time.Millisecond)
			sent, used, began := count.bytes.Load(), processorTime(), time.Now()
			if err := paced(rate, r.span(), func(int) error {
				next++
				return f(next)
			}); err != nil {
				return err
			}
			seconds := time.Since(began).Seconds()
			core = append(core, ms(processorTime()-used)/seconds)
			bytes = append(bytes, float64(count.bytes.Load()-sent)/seconds)
		}
		cores, wire = append(cores, core), append(wire, bytes)
	}
	if err := r.addLine(key+".processor", "ms per "+what, "ms/s", rates, cores); err != nil {
		return err
	}
	return r.addLine(key+".wire", "B per "+what, "B/s", rates, wire)
}

// replicaSlopes measures three replicas by the rate of changes: the sums of
// processor time and of bytes between them.
func replicaSlopes(r *Report) error {
	defer smallHost()()
	count := &counter{}
	c, stop, err := startReplicas(controltest.Options{Listen: count.listen})
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
	// The first change warms up the connections.
	propose := func(int) error {
		_, err := lead.Propose(ctx, change())
		return err
	}
	if err := propose(0); err != nil {
		return err
	}
	return r.rated("capacity.replicas.change", "change", []float64{0, 50, 150}, count, propose)
}

// watchSlopes measures what a change costs per watcher: bytes on the wire, and
// the processor time of both ends.
func watchSlopes(r *Report) error {
	defer smallHost()()
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
	const rate = 100
	watchers := []float64{0, 8, 32}
	var cores, wire [][]float64
	for range r.rounds() {
		var core, bytes []float64
		for _, n := range watchers {
			count := &counter{}
			used, sent, err := watched(ctx, r, lead, count, int(n), rate)
			if err != nil {
				return err
			}
			core, bytes = append(core, used), append(bytes, sent)
		}
		cores, wire = append(cores, core), append(wire, bytes)
	}
	if err := r.addLine("capacity.watch.processor", "ms per change and watcher", "ms per change", watchers, cores); err != nil {
		return err
	}
	return r.addLine("capacity.watch.wire", "B per change and watcher", "B per change", watchers, wire)
}

// watched returns the processor time and the bytes per change with n watchers.
func watched(ctx context.Context, r *Report, lead *controltest.Replica, count *counter, n int, rate float64) (used, sent float64, err error) {
	l, err := controltest.Listen()
	if err != nil {
		return 0, 0, err
	}
	server := controltest.NewServer(lead.Handler)
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	for range n {
		group.Go(func() { watch(ctx, count, "http://"+l.Addr().String(), lead.Snapshot().Version) })
	}
	time.Sleep(100 * time.Millisecond)
	before, cpu, accepted := count.bytes.Load(), processorTime(), 0
	err = paced(rate, r.span(), func(int) error {
		accepted++
		_, err := lead.Propose(ctx, change())
		return err
	})
	// The last events are still on their way.
	time.Sleep(50 * time.Millisecond)
	return ms(processorTime()-cpu) / float64(accepted), float64(count.bytes.Load()-before) / float64(accepted), err
}

// watch reads changes until ctx ends.
func watch(ctx context.Context, count *counter, address string, from uint64) {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols, DialContext: count.dial}
	defer transport.CloseIdleConnections()
	client := laburnumdockv1connect.NewControlServiceClient(&http.Client{Transport: transport}, address)
	stream, err := client.Watch(ctx, connect.NewRequest(&pb.WatchRequest{FromVersion: from}))
	if err != nil {
		return
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
	}
}

// announcementSlopes measures one entry host by the rate of announcements. The
// processor time contains the senders, which share the process.
func announcementSlopes(r *Report) error {
	defer smallHost()()
	count := &counter{}
	c, err := entrytest.Start(entrytest.Options{Hosts: 1, Slots: 8, Listen: count.listen})
	if err != nil {
		return err
	}
	defer c.Close()
	const endpoints = 1000
	return r.rated("capacity.entry.announcement", "announcement", []float64{0, 200, 800}, count, func(n int) error {
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

// baseMemory measures what the Go runtime and the program take before any state.
func baseMemory(r *Report) {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	r.Add("capacity.memory.process", "MB", float64(m.Sys)/(1<<20))
}
