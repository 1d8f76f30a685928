package scenario

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/load"
)

const (
	// callerDeadline is long enough for a long-running request on a busy machine.
	callerDeadline    = 30 * time.Second
	maxInFlight       = 4000
	readinessInterval = 100 * time.Millisecond
	sampleInterval    = 20 * time.Millisecond
)

// balancer sends each request to a random entry host that reports itself ready, as
// the platform's load balancer does.
type balancer struct {
	transport http.RoundTripper
	// addresses are those of all entry hosts.
	addresses []string
	mu        sync.Mutex
	// ready contains the addresses of the ready entry hosts and is guarded by mu.
	ready []string
}

func newBalancer(addresses []string) *balancer {
	return &balancer{addresses: addresses, ready: addresses, transport: &http.Transport{MaxIdleConnsPerHost: maxInFlight}}
}

// pollReadiness updates ready until ctx ends. It keeps the last value when no entry
// host is ready.
func (b *balancer) pollReadiness(ctx context.Context) {
	ticker := time.NewTicker(readinessInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		var ready []string
		for _, address := range b.addresses {
			if b.isReady(ctx, address) {
				ready = append(ready, address)
			}
		}
		if len(ready) > 0 {
			b.mu.Lock()
			b.ready = ready
			b.mu.Unlock()
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

func (b *balancer) isReady(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// RoundTrip implements http.RoundTripper.
func (b *balancer) RoundTrip(r *http.Request) (*http.Response, error) {
	b.mu.Lock()
	address := b.ready[rand.IntN(len(b.ready))]
	b.mu.Unlock()
	out := r.Clone(r.Context())
	out.URL.Host = address
	return b.transport.RoundTrip(out)
}

// backgroundLoad is a load of callers that runs in the background.
type backgroundLoad struct {
	cancel context.CancelFunc
	done   chan struct{}
	report *load.Report
}

// startLoad starts a load of callers that send requests to the services of all pools.
// The arguments are settings as key=value, with the keys rate, long, once and surge.
func (s *system) startLoad(args []string) error {
	cfg := load.Config{
		EntryHosts: []string{"http://balancer"}, Services: s.shape.allPools(), RatePerService: 40, NonRepeatableShare: 0.3,
		ShortRun: *s.standin.ShortRun, LongRun: *s.standin.LongRun, Deadline: callerDeadline, MaxInFlight: maxInFlight, Seed: 1,
	}
	for _, arg := range args {
		key, value, _ := strings.Cut(arg, "=")
		var err error
		switch key {
		case "rate":
			_, err = fmt.Sscan(value, &cfg.RatePerService)
		case "long":
			_, err = fmt.Sscan(value, &cfg.LongShare)
		case "once":
			_, err = fmt.Sscan(value, &cfg.NonRepeatableShare)
		case "surge":
			var factor float64
			_, err = fmt.Sscan(value, &factor)
			cfg.Surges = surges(cfg.Services, factor)
		default:
			err = eris.Errorf("unknown load setting %q", key)
		}
		if err != nil {
			return err
		}
	}
	var addresses []string
	for i := range entryCount {
		addresses = append(addresses, s.callerAddresses[entryName(i+1)])
	}
	b := newBalancer(addresses)
	cfg.Client = &http.Client{Transport: b}
	ctx, stop := context.WithCancel(context.Background())
	c := &backgroundLoad{cancel: stop, done: make(chan struct{})}
	s.load = c
	go func() {
		defer close(c.done)
		balancing, stopBalancing := context.WithCancel(context.Background())
		defer stopBalancing()
		go b.pollReadiness(balancing)
		c.report = load.Run(ctx, cfg)
	}()
	return nil
}

// surges returns surges of the services in turn, three seconds each.
func surges(services []string, factor float64) []load.Surge {
	const length = 3 * time.Second
	var list []load.Surge
	for i := range 20 * len(services) {
		list = append(list, load.Surge{Service: services[i%len(services)], From: time.Duration(i) * length, Length: length, Factor: factor})
	}
	return list
}

// stop ends the load, waits for the last responses and returns the report.
func (c *backgroundLoad) stop() *load.Report {
	c.cancel()
	<-c.done
	return c.report
}

// checkCallers stops the load and checks its report.
func (s *system) checkCallers(level string) error {
	if s.load == nil {
		return eris.New("no load has been started")
	}
	r := s.load.stop()
	return checkReport(r, s.fleet.Runs(), level)
}

// checkReport compares the responses that callers got with the runs on the endpoints.
// The level is "safe", "uncut" if every request must also have a known outcome, or
// "answered" if none may be refused either.
func checkReport(r *load.Report, runs map[string]int, level string) error {
	var twice, ranThoughRefused, notRun []string
	for _, outcome := range r.Outcomes {
		if !outcome.NonRepeatable {
			continue
		}
		n := runs[outcome.RequestID]
		switch {
		case n > 1:
			twice = append(twice, fmt.Sprintf("%s ran %d times", outcome.RequestID, n))
		case outcome.Ran == fault.RanNo && n > 0:
			ranThoughRefused = append(ranThoughRefused, outcome.RequestID)
		case outcome.Status == http.StatusOK && n == 0:
			notRun = append(notRun, outcome.RequestID)
		}
	}
	summary := fmt.Sprintf("sent %d, answered %d, refused %d, unknown %d, wrong %d, not sent %d, by kind %v, ran twice %v, ran though refused %v, answered though not run %v",
		r.Sent, r.Answered, r.Refused, r.Unknown, r.Wrong, r.Skipped, r.Kinds, twice, ranThoughRefused, notRun)
	ok := r.Answered > 0 && r.Wrong == 0 && len(twice)+len(ranThoughRefused)+len(notRun) == 0
	switch level {
	case "safe":
	case "uncut":
		ok = ok && r.Unknown == 0
	case "answered":
		ok = ok && r.Unknown == 0 && r.Refused == 0
	default:
		return eris.Errorf("unknown expectation of callers: %q", level)
	}
	if !ok {
		return &expectationError{expected: "callers " + level, actual: summary}
	}
	return nil
}

// budgetMonitor samples the available hosts of each pool from the stand-in platform,
// independently of what the system reports, and records violations of the budget.
type budgetMonitor struct {
	cancel context.CancelFunc
	done   chan struct{}
	mu     sync.Mutex
	// violations and samples are guarded by mu.
	violations []string
	samples    int
}

func startBudgetMonitor(s *system) *budgetMonitor {
	ctx, stop := context.WithCancel(context.Background())
	m := &budgetMonitor{cancel: stop, done: make(chan struct{})}
	go func() {
		defer close(m.done)
		ticker := time.NewTicker(sampleInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				m.sample(s.shape.allPools(), s.fleet.Platform.AvailableHosts())
			}
		}
	}()
	return m
}

func (m *budgetMonitor) sample(pools []string, available map[string]int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.samples++
	for _, pool := range pools {
		if available[pool] < minHealthy {
			m.violations = append(m.violations, fmt.Sprintf("%s had %d of %d hosts at %s", pool, available[pool], minHealthy, time.Now().Format(time.TimeOnly)))
		}
	}
}

// check returns an error if a budget was violated or no sample was taken.
func (m *budgetMonitor) check() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.samples == 0 || len(m.violations) > 0 {
		return &expectationError{expected: "no pool violates its budget", actual: fmt.Sprintf("%d samples, violations: %v", m.samples, m.violations[:min(5, len(m.violations))])}
	}
	return nil
}

func (m *budgetMonitor) stop() {
	m.cancel()
	<-m.done
}

// hostPools returns a copy of the pool of each host.
func (s *system) hostPools() map[string]string { return maps.Clone(s.fleet.Pools()) }
