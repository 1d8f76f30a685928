package measure

import (
	"encoding/json"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	pb "laburnumdock/gen/laburnumdock/v1"
	"laburnumdock/internal/codec"
	"laburnumdock/internal/core/dispatch"
	"laburnumdock/internal/core/fleet"
	"laburnumdock/internal/core/member/membertest"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
	"laburnumdock/internal/platform"
)

// baseTime is the time stamp of generated objects and messages.
var baseTime = time.Date(2026, 12, 1, 20, 0, 0, 0, time.UTC)

// hostsPerPool is the mean size of a pool in two years: 16,000 hosts in 238 pools.
const hostsPerPool = 67

// rounds is the number of rounds of a measurement.
func (r *Report) rounds() int {
	if r.Quick {
		return 1
	}
	return 3
}

// callRoundDuration is the duration of a round of calls that do no input or
// output.
func (r *Report) callRoundDuration() time.Duration {
	if r.Quick {
		return 20 * time.Millisecond
	}
	return 100 * time.Millisecond
}

// measureStateMemory measures the memory of each kind of state by the number of
// its objects.
func measureStateMemory(r *Report) error {
	for _, c := range []struct {
		key   string
		sizes []float64
		build func(n int) any
	}{
		{"host", []float64{500, 2000, 8000}, func(n int) any { return restoredState(&state.Dump{Objects: hostObjects(n)}) }},
		{"pool", []float64{26, 238, 1000}, func(n int) any { return restoredState(&state.Dump{Objects: poolObjects(n)}) }},
		{"change_id", []float64{10_000, 50_000, 100_000}, func(n int) any { return restoredState(&state.Dump{Changes: changeRecords(n)}) }},
		{"audit_entry", []float64{5_000, 20_000, 50_000}, func(n int) any { return restoredState(&state.Dump{Audit: auditEntries(n)}) }},
		{"endpoint", []float64{60, 1778, 16_000}, func(n int) any { return newDispatcherWithEndpoints(n) }},
		{"planner_host", []float64{500, 2000, 8000}, func(n int) any { return newPlannerWithHosts(n) }},
	} {
		var costs [][]float64
		for range r.rounds() {
			var round []float64
			for _, n := range c.sizes {
				round = append(round, retainedHeap(func() any { return c.build(int(n)) }))
			}
			costs = append(costs, round)
		}
		if err := r.addLinearFit("capacity.memory."+c.key, "B", "B", c.sizes, costs); err != nil {
			return err
		}
	}
	return nil
}

// restoredState encodes and decodes a dump and restores it, so that the state
// shares no memory with the objects in the dump.
func restoredState(d *state.Dump) any {
	d.Version, d.Now = 1, baseTime
	data, err := codec.EncodeDump(d)
	if err != nil {
		panic(err)
	}
	decoded, err := codec.DecodeDump(data)
	if err != nil {
		panic(err)
	}
	return state.Restore(decoded)
}

func hostObjects(n int) []model.Object {
	list := make([]model.Object, 0, n)
	for i := range n {
		h := model.New(model.KindHost).(*model.Host)
		h.Name, h.Created, h.Modified = fmt.Sprintf("host-%05d", i), baseTime, baseTime
		h.Spec = model.HostSpec{Pool: fmt.Sprintf("pool-%03d", i/hostsPerPool), Zone: fmt.Sprintf("zone-%02d", i%20), Rack: fmt.Sprintf("rack-%04d", i/4), Cores: 32, MemoryMB: 64 << 10}
		h.Status = model.HostStatus{Phase: model.HostActive, Epoch: 1, Health: model.HealthHealthy, LastReport: baseTime, BootID: fmt.Sprintf("boot-%026d", i)}
		list = append(list, h)
	}
	return list
}

func poolObjects(n int) []model.Object {
	list := make([]model.Object, 0, n)
	for i := range n {
		p := model.New(model.KindPool).(*model.Pool)
		p.Name = fmt.Sprintf("pool-%03d", i)
		p.SetDefaults()
		list = append(list, p)
	}
	return list
}

func changeRecords(n int) []state.ChangeRecord {
	list := make([]state.ChangeRecord, 0, n)
	for i := range n {
		list = append(list, state.ChangeRecord{ID: fmt.Sprintf("%032d", i), Issued: int64(i + 1), Digest: 1 << 60, Version: 1})
	}
	return list
}

func auditEntries(n int) []state.AuditEntry {
	list := make([]state.AuditEntry, 0, n)
	for i := range n {
		list = append(list, state.AuditEntry{
			Version: uint64(i), Time: baseTime, Actor: "ana", Source: "127.0.0.1:40000", Action: "put", Kind: model.KindHost,
			Name: fmt.Sprintf("host-%05d", i), OldVersion: 1, NewVersion: 2, Outcome: "accepted", ChangeID: fmt.Sprintf("%032d", i),
		})
	}
	return list
}

// newDispatcherWithEndpoints returns the dispatcher of an entry host that has
// received announcements of n endpoints.
func newDispatcherWithEndpoints(n int) *dispatch.Dispatcher {
	d := dispatch.NewWithConfig(dispatch.Config{EntryHost: "entry-1"})
	for _, a := range membertest.Announcements(max(1, n*238/16000), n, baseTime) {
		d.Step(baseTime, dispatch.Announced{Announcement: a})
	}
	return d
}

// newPlannerWithHosts returns a planner that has planned n hosts and holds their
// snapshot.
func newPlannerWithHosts(n int) any {
	s := restoredState(&state.Dump{Objects: append(poolObjects(n/hostsPerPool+1), hostObjects(n)...)}).(*state.State)
	planner := fleet.NewPlanner(nil)
	planner.Sync(s.Snapshot())
	planner.Plan(fleet.Input{}, baseTime)
	return planner
}

// measureMessages measures the size and decoding time of messages by the number
// of items in them. The size is that of the body, without HTTP framing.
func measureMessages(r *Report) error {
	sizes := []float64{50, 500, 2000}
	listing := func(n int) any { return newListing(n) }
	for _, c := range []struct {
		key    string
		encode func(n int) ([]byte, error)
		decode func(data []byte) error
	}{
		{"platform_listing_per_host", func(n int) ([]byte, error) { return json.Marshal(listing(n)) }, func(data []byte) error {
			var l platform.Listing
			return json.Unmarshal(data, &l)
		}},
		{"exchange_per_announcement", func(n int) ([]byte, error) { return proto.Marshal(newExchangeRequest(n)) }, func(data []byte) error {
			return proto.Unmarshal(data, &pb.ExchangeRequest{})
		}},
		{"report_per_endpoint", func(n int) ([]byte, error) { return proto.Marshal(newEndpointReport(n)) }, func(data []byte) error {
			return proto.Unmarshal(data, &pb.ReportEndpointsRequest{})
		}},
		{"marks_per_pool", func(n int) ([]byte, error) { return codec.EncodeCommand(newPoolMarkReport(n)) }, func(data []byte) error {
			_, err := codec.DecodeCommand(data)
			return err
		}},
	} {
		if err := measureMessage(r, "capacity.message."+c.key, sizes, c.encode, c.decode); err != nil {
			return err
		}
	}
	return nil
}

// measureMessage measures one kind of message for several numbers of items.
func measureMessage(r *Report, key string, sizes []float64, encode func(int) ([]byte, error), decode func([]byte) error) error {
	var lengths []float64
	times := make([][]float64, r.rounds())
	for _, n := range sizes {
		data, err := encode(int(n))
		if err != nil {
			return err
		}
		lengths = append(lengths, float64(len(data)))
		for i, t := range timePerCall(r.rounds(), r.callRoundDuration()/4, func() { err = decode(data) }) {
			times[i] = append(times[i], t/1e3)
		}
		if err != nil {
			return err
		}
	}
	if err := r.addLinearFit(key+".bytes", "B", "B", sizes, [][]float64{lengths}); err != nil {
		return err
	}
	return r.addLinearFit(key+".decode", "us", "us", sizes, times)
}

func newListing(n int) platform.Listing {
	var l platform.Listing
	for i := range n {
		l.Hosts = append(l.Hosts, platform.Host{
			Host: fmt.Sprintf("host-%05d", i), Health: model.HealthHealthy, InFlight: i % 8, BootID: fmt.Sprintf("boot-%026d", i),
			AgeMs: 200, Epoch: 1, Pool: fmt.Sprintf("pool-%03d", i/hostsPerPool),
		})
	}
	return l
}

func newExchangeRequest(n int) *pb.ExchangeRequest {
	req := &pb.ExchangeRequest{EntryHost: "entry-1", Incarnation: uint64(baseTime.UnixNano())}
	for _, a := range membertest.Announcements(max(1, n/hostsPerPool), n, baseTime) {
		req.Announcements = append(req.Announcements, &pb.Announcement{
			Endpoint: a.Endpoint, Host: a.Host, Service: a.Service, Address: a.Address, Epoch: a.Epoch, Incarnation: uint64(baseTime.UnixNano()),
			Sequence: 100_000, Slots: uint32(a.Slots), Connections: uint32(a.Connections), Rack: a.Rack, Zone: a.Zone, AgeMs: 200,
		})
	}
	return req
}

func newEndpointReport(n int) *pb.ReportEndpointsRequest {
	req := &pb.ReportEndpointsRequest{EntryHost: "entry-1"}
	for _, a := range membertest.Announcements(max(1, n/hostsPerPool), n, baseTime) {
		req.Endpoints = append(req.Endpoints, &pb.EndpointState{Endpoint: a.Endpoint, Host: a.Host, Service: a.Service, Epoch: a.Epoch, InFlight: 3})
	}
	return req
}

func newPoolMarkReport(n int) state.HostReport {
	report := state.HostReport{Origin: state.Origin{Actor: fleet.Actor, Source: "leader", Time: baseTime}}
	for i := range n {
		report.Marks = append(report.Marks, state.PoolMark{Pool: fmt.Sprintf("pool-%03d", i), Observed: baseTime, Base: 1 << 24})
	}
	return report
}
