package entry

import (
	"context"
	"time"

	"connectrpc.com/connect"

	pb "laburnumdock/gen/laburnumdock/v1"
	"laburnumdock/gen/laburnumdock/v1/laburnumdockv1connect"
)

// Timing of the reports to the control replicas.
const (
	reportInterval = 2 * time.Second
	reportTimeout  = time.Second
	// fullReportPeriod is the number of reports after which all endpoints are sent
	// again, for a leader that does not have them.
	fullReportPeriod = 15
)

// serviceLoad holds the load of one service. The control loop owns it.
type serviceLoad struct {
	// openRequests is the number of requests without a reply, attemptsInFlight the
	// number of attempts that have not ended.
	openRequests, attemptsInFlight int
	// arrivedRequests and refusedRequests count since the last report.
	arrivedRequests, refusedRequests int
}

func (l *loop) serviceLoad(service string) *serviceLoad {
	s := l.services[service]
	if s == nil {
		s = &serviceLoad{}
		l.services[service] = s
	}
	return s
}

// report holds the load of each service and the state of each endpoint.
type report struct {
	loads     map[string]serviceLoad
	endpoints map[string]*pb.EndpointState
}

// reportMessage requests a report from the control loop. The report starts a new
// interval and removes services without requests: callers choose the names, so the map
// would otherwise grow without bound.
type reportMessage struct{ reply chan report }

func (m *reportMessage) handle(l *loop) {
	r := report{loads: make(map[string]serviceLoad), endpoints: make(map[string]*pb.EndpointState)}
	for name, s := range l.services {
		r.loads[name] = *s
		s.arrivedRequests = 0
		s.refusedRequests = 0
		if s.openRequests == 0 && s.attemptsInFlight == 0 {
			delete(l.services, name)
		}
	}
	for name, e := range l.announcements.entries {
		r.endpoints[name] = &pb.EndpointState{
			Endpoint: name, Host: e.Host, Service: e.Service, Epoch: e.Epoch, Leaving: e.Leaving, InFlight: uint32(l.attemptsInFlight[name]),
		}
	}
	m.reply <- r
}

// reporter reports the load of the services and the endpoints that changed to the
// control replicas. Its goroutine owns it.
type reporter struct {
	name    string
	queue   queue
	clients []laburnumdockv1connect.ControlServiceClient
	// current is the index of the replica to call.
	current int
	// ackedEndpoints holds the states of the endpoints that the replicas received.
	ackedEndpoints map[string]*pb.EndpointState
	// unsentLoads holds the loads of intervals whose report failed.
	unsentLoads map[string]*pb.ServiceLoad
	lastReport  time.Time
	reports     int
}

func newReporter(cfg Config, q queue) *reporter {
	return &reporter{
		name: cfg.Name, queue: q, clients: newControlServiceClients(cfg, cfg.dedicatedClient()), ackedEndpoints: make(map[string]*pb.EndpointState),
		unsentLoads: make(map[string]*pb.ServiceLoad), lastReport: time.Now(),
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
	r.addLoads(rep.loads, now.Sub(r.lastReport))
	r.lastReport = now
	if r.reports%fullReportPeriod == 0 {
		clear(r.ackedEndpoints)
	}
	r.reports++
	req := &pb.ReportEndpointsRequest{EntryHost: r.name, Endpoints: r.changedEndpoints(rep.endpoints)}
	for _, load := range r.unsentLoads {
		req.Loads = append(req.Loads, load)
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if _, err := r.clients[r.current].ReportEndpoints(ctx, connect.NewRequest(req)); err != nil {
		r.current = (r.current + 1) % len(r.clients)
		return
	}
	r.ackedEndpoints = rep.endpoints
	clear(r.unsentLoads)
}

// addLoads adds the loads of one interval to the unsent ones.
func (r *reporter) addLoads(loads map[string]serviceLoad, interval time.Duration) {
	for _, load := range r.unsentLoads {
		load.IntervalMs += uint32(interval.Milliseconds())
		load.Queued = 0
		load.InFlight = 0
	}
	for name, s := range loads {
		load := r.unsentLoads[name]
		if load == nil {
			load = &pb.ServiceLoad{Service: name, IntervalMs: uint32(interval.Milliseconds())}
			r.unsentLoads[name] = load
		}
		load.Queued = uint32(max(s.openRequests-s.attemptsInFlight, 0))
		load.InFlight = uint32(s.attemptsInFlight)
		load.Arrived += uint32(s.arrivedRequests)
		load.Refused += uint32(s.refusedRequests)
	}
}

// changedEndpoints returns the endpoints whose state differs from the acknowledged one.
func (r *reporter) changedEndpoints(endpoints map[string]*pb.EndpointState) []*pb.EndpointState {
	var list []*pb.EndpointState
	for name, e := range endpoints {
		before := r.ackedEndpoints[name]
		if before == nil || before.GetEpoch() != e.GetEpoch() || before.GetLeaving() != e.GetLeaving() ||
			before.GetInFlight() != e.GetInFlight() || before.GetService() != e.GetService() || before.GetHost() != e.GetHost() {
			list = append(list, e)
		}
	}
	return list
}
