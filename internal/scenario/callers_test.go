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
	// callerDeadline is long enough for a straggler on a busy machine.
	callerDeadline = 30 * time.Second
	maxInFlight    = 4000
	readinessEvery = 100 * time.Millisecond
	sampleEvery    = 20 * time.Millisecond
)

// balancer sends each request to an entry host that says it is ready, as the
// platform's load balancer does.
type balancer struct {
	next http.RoundTripper
	// all are the addresses of the entry hosts.
	all []string
	mu  sync.Mutex
	// ready is guarded by mu.
	ready []string
}

func newBalancer(all []string) *balancer {
	return &balancer{all: all, ready: all, next: &http.Transport{MaxIdleConnsPerHost: maxInFlight}}
}

// run asks for readiness until ctx ends.
func (b *balancer) run(ctx context.Context) {
	ticker := time.NewTicker(readinessEvery)
	defer ticker.Stop()
	for ctx.Err() == nil {
		var ready []string
		for _, address := range b.all {
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
	return b.next.RoundTrip(out)
}

// callers are a load that runs in the background.
type callers struct {
	stop   context.CancelFunc
	done   chan struct{}
	report *load.Report
}

// startCallers lets callers send requests to the services of all pools. The
// settings are rate, long, once and surge, as key=value.
func (s *system) startCallers(args []string) error {
	cfg := load.Config{
		EntryHosts: []string{"http://balancer"}, Services: s.shape.all(), RatePerService: 40, NonRepeatableShare: 0.3,
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
			err = eris.Errorf("load has no setting %q", key)
		}
		if err != nil {
			return err
		}
	}
	var addresses []string
	for i := range entries {
		addresses = append(addresses, s.callers[entryName(i+1)])
	}
	b := newBalancer(addresses)
	cfg.Client = &http.Client{Transport: b}
	ctx, stop := context.WithCancel(context.Background())
	c := &callers{stop: stop, done: make(chan struct{})}
	s.caller = c
	go func() {
		defer close(c.done)
		balancing, stopBalancing := context.WithCancel(context.Background())
		defer stopBalancing()
		go b.run(balancing)
		c.report = load.Run(ctx, cfg)
	}()
	return nil
}

// surges has the services surge in turn for three seconds each.
func surges(services []string, factor float64) []load.Surge {
	const length = 3 * time.Second
	var list []load.Surge
	for i := range 20 * len(services) {
		list = append(list, load.Surge{Service: services[i%len(services)], From: time.Duration(i) * length, Length: length, Factor: factor})
	}
	return list
}

// end stops the load and waits for the last answers.
func (c *callers) end() *load.Report {
	c.stop()
	<-c.done
	return c.report
}

// checkCallers ends the load and judges it.
func (s *system) checkCallers(wanted string) error {
	if s.caller == nil {
		return eris.New("no load has run")
	}
	r := s.caller.end()
	return judge(r, s.fleet.Runs(), wanted)
}

// judge compares what callers were told with what the endpoints ran. Wanted is "safe", or "uncut" if every request must have got an answer of the
// system, or "answered" if every request must have been answered whole.
func judge(r *load.Report, runs map[string]int, wanted string) error {
	var twice, ranThoughRefused, notRun []string
	for _, told := range r.Outcomes {
		if !told.NonRepeatable {
			continue
		}
		n := runs[told.RequestID]
		switch {
		case n > 1:
			twice = append(twice, fmt.Sprintf("%s ran %d times", told.RequestID, n))
		case told.Ran == fault.RanNo && n > 0:
			ranThoughRefused = append(ranThoughRefused, told.RequestID)
		case told.Status == http.StatusOK && n == 0:
			notRun = append(notRun, told.RequestID)
		}
	}
	seen := fmt.Sprintf("sent %d, answered %d, refused %d, unknown %d, wrong %d, not sent %d, by kind %v, ran twice %v, ran though refused %v, answered though not run %v",
		r.Sent, r.Answered, r.Refused, r.Unknown, r.Wrong, r.Skipped, r.Kinds, twice, ranThoughRefused, notRun)
	met := r.Answered > 0 && r.Wrong == 0 && len(twice)+len(ranThoughRefused)+len(notRun) == 0
	switch wanted {
	case "safe":
	case "uncut":
		met = met && r.Unknown == 0
	case "answered":
		met = met && r.Unknown == 0 && r.Refused == 0
	default:
		return eris.Errorf("callers cannot be expected to be %q", wanted)
	}
	if !met {
		return &unmet{expected: "callers " + wanted, seen: seen}
	}
	return nil
}

// budgetWatch looks at the stand-in platform, not at what the system reports.
type budgetWatch struct {
	stop context.CancelFunc
	done chan struct{}
	mu   sync.Mutex
	// broken is guarded by mu, as is samples.
	broken  []string
	samples int
}

func watchBudget(s *system) *budgetWatch {
	ctx, stop := context.WithCancel(context.Background())
	w := &budgetWatch{stop: stop, done: make(chan struct{})}
	go func() {
		defer close(w.done)
		ticker := time.NewTicker(sampleEvery)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				w.sample(s.shape.all(), s.fleet.Platform.AvailableHosts())
			}
		}
	}()
	return w
}

func (w *budgetWatch) sample(pools []string, available map[string]int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.samples++
	for _, pool := range pools {
		if available[pool] < minHealthy {
			w.broken = append(w.broken, fmt.Sprintf("%s had %d of %d hosts at %s", pool, available[pool], minHealthy, time.Now().Format(time.TimeOnly)))
		}
	}
}

func (w *budgetWatch) check() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.samples == 0 || len(w.broken) > 0 {
		return &unmet{expected: "every pool keeps its budget", seen: fmt.Sprintf("%d samples, of which broken: %v", w.samples, w.broken[:min(5, len(w.broken))])}
	}
	return nil
}

func (w *budgetWatch) end() {
	w.stop()
	<-w.done
}

// pools returns a copy of the pool of each host.
func (s *system) pools() map[string]string { return maps.Clone(s.fleet.Pools()) }
