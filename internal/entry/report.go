package entry

import (
	"context"
	"time"

	"connectrpc.com/connect"

	pb "laburnumdock/gen/laburnumdock/v1"
	"laburnumdock/gen/laburnumdock/v1/laburnumdockv1connect"
)

// Times of the reports to the control replicas.
const (
	reportInterval = 2 * time.Second
	reportTimeout  = time.Second
	// fullReports is after how many reports all endpoints are sent again, for
	// a leader that does not have them.
	fullReports = 15
)

// serviceLoad counts the requests of one service. The control loop owns it.
type serviceLoad struct {
	// open is the number of requests without an answer, inFlight that of the
	// attempts without an end.
	open, inFlight int
	// arrived and refused count since the last report.
	arrived, refused int
}

func (l *loop) load(service string) *serviceLoad {
	s := l.services[service]
	if s == nil {
		s = &serviceLoad{}
		l.services[service] = s
	}
	return s
}

// report is what a control loop says of its load.
type report struct {
	loads     map[string]serviceLoad
	endpoints map[string]*pb.EndpointState
}

// reportMessage asks the control loop for a report. Taking it starts a new
// interval, and services without requests are forgotten: their names come from
// callers.
type reportMessage struct{ reply chan report }

func (m *reportMessage) handle(l *loop) {
	r := report{loads: make(map[string]serviceLoad), endpoints: make(map[string]*pb.EndpointState)}
	for name, s := range l.services {
		r.loads[name] = *s
		s.arrived = 0
		s.refused = 0
		if s.open == 0 && s.inFlight == 0 {
			delete(l.services, name)
		}
	}
	for name, e := range l.board.entries {
		r.endpoints[name] = &pb.EndpointState{
			Endpoint: name, Host: e.Host, Service: e.Service, Epoch: e.Epoch, Leaving: e.Leaving, InFlight: uint32(l.use[name]),
		}
	}
	m.reply <- r
}

// reporter tells the control replicas of loads and of endpoints that changed.
// Its goroutine owns it.
type reporter struct {
	name    string
	queue   queue
	clients []laburnumdockv1connect.ControlServiceClient
	current int
	// acked is what the replicas have of the endpoints.
	acked map[string]*pb.EndpointState
	// unsent are the loads of intervals whose report failed.
	unsent map[string]*pb.ServiceLoad
	last   time.Time
	count  int
}

func newReporter(cfg Config, q queue) *reporter {
	return &reporter{
		name: cfg.Name, queue: q, clients: controlClients(cfg, cfg.ownClient()), acked: make(map[string]*pb.EndpointState),
		unsent: make(map[string]*pb.ServiceLoad), last: time.Now(),
	}
}

func (r *reporter) run(ctx context.Context) error {
	if len(r.clients) == 0 {
		return nil
	}
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			r.send(ctx)
		}
	}
}

func (r *reporter) send(ctx context.Context) {
	m := &reportMessage{reply: make(chan report, 1)}
	if r.queue.offer(m) != nil {
		return
	}
	var rep report
	select {
	case rep = <-m.reply:
	case <-ctx.Done():
		return
	}
	now := time.Now()
	r.add(rep.loads, now.Sub(r.last))
	r.last = now
	if r.count%fullReports == 0 {
		clear(r.acked)
	}
	r.count++
	req := &pb.ReportEndpointsRequest{EntryHost: r.name, Endpoints: r.changed(rep.endpoints)}
	for _, load := range r.unsent {
		req.Loads = append(req.Loads, load)
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if _, err := r.clients[r.current].ReportEndpoints(ctx, connect.NewRequest(req)); err != nil {
		r.current = (r.current + 1) % len(r.clients)
		return
	}
	r.acked = rep.endpoints
	clear(r.unsent)
}

// add adds the loads of one interval to those that were not sent.
func (r *reporter) add(loads map[string]serviceLoad, interval time.Duration) {
	for _, load := range r.unsent {
		load.IntervalMs += uint32(interval.Milliseconds())
		load.Queued = 0
		load.InFlight = 0
	}
	for name, s := range loads {
		load := r.unsent[name]
		if load == nil {
			load = &pb.ServiceLoad{Service: name, IntervalMs: uint32(interval.Milliseconds())}
			r.unsent[name] = load
		}
		load.Queued = uint32(max(s.open-s.inFlight, 0))
		load.InFlight = uint32(s.inFlight)
		load.Arrived += uint32(s.arrived)
		load.Refused += uint32(s.refused)
	}
}

// changed returns the endpoints that the replicas have another state of.
func (r *reporter) changed(endpoints map[string]*pb.EndpointState) []*pb.EndpointState {
	var list []*pb.EndpointState
	for name, e := range endpoints {
		before := r.acked[name]
		if before == nil || before.GetEpoch() != e.GetEpoch() || before.GetLeaving() != e.GetLeaving() ||
			before.GetInFlight() != e.GetInFlight() || before.GetService() != e.GetService() || before.GetHost() != e.GetHost() {
			list = append(list, e)
		}
	}
	return list
}
