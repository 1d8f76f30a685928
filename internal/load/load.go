// Package load is an open-loop load generator: it sends requests of callers to
// entry hosts at a set rate, regardless of the answers, and records the outcome
// of each as the caller sees it.
package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"laburnumdock/internal/answer"
	"laburnumdock/internal/core/fault"
)

// Surge multiplies the rate of one service by Factor for a time.
type Surge struct {
	Service string
	From    time.Duration
	Length  time.Duration
	Factor  float64
}

// Config is the configuration of a run.
type Config struct {
	// EntryHosts are base URLs; each request goes to one of them at random, as
	// a load balancer would route it.
	EntryHosts []string
	Services   []string
	// RatePerService is the mean number of requests per second.
	RatePerService float64
	Surges         []Surge
	// LongShare is the share of requests whose work kind is "long".
	LongShare float64
	// NonRepeatableShare is the share of requests that must not be repeated.
	NonRepeatableShare float64
	// ShortRun and LongRun are the run times of the work kinds; the wait of a
	// request is its latency minus the run time.
	ShortRun, LongRun time.Duration
	Deadline          time.Duration
	MaxInFlight       int
	Seed              uint64
	Client            *http.Client
}

// CallOutcome is the outcome of one request as its caller sees it.
type CallOutcome struct {
	RequestID     string
	NonRepeatable bool
	Status        int
	Kind          fault.Kind
	Ran           fault.Ran
	// EchoMatches reports whether the answer contains the body of this request.
	EchoMatches bool
}

// Report is the result of a run.
type Report struct {
	Sent, Answered, Refused, Unknown, Wrong int
	// Skipped counts requests that weren't sent because MaxInFlight requests were
	// in flight.
	Skipped   int
	ShortWait *hdrhistogram.Histogram
	LongWait  *hdrhistogram.Histogram
	Outcomes  []CallOutcome
	Kinds     map[fault.Kind]int
}

// Upper bound of the histograms in microseconds, and their significant digits.
const (
	histogramMaxMicros = int64(10 * 60 * 1e6)
	histogramDigits    = 3
)

// Run sends requests until ctx ends and returns when all have ended.
func Run(ctx context.Context, cfg Config) *Report {
	g := &generator{cfg: cfg, inFlight: make(chan struct{}, cfg.MaxInFlight), report: &Report{
		ShortWait: hdrhistogram.New(1, histogramMaxMicros, histogramDigits),
		LongWait:  hdrhistogram.New(1, histogramMaxMicros, histogramDigits),
		Kinds:     map[fault.Kind]int{},
	}}
	var services sync.WaitGroup
	start := time.Now()
	for i, service := range cfg.Services {
		services.Go(func() { g.generateService(ctx, start, service, rand.New(rand.NewPCG(cfg.Seed, uint64(i)))) })
	}
	services.Wait()
	g.requests.Wait()
	return g.report
}

// generator is the state of a run; mu guards report.
type generator struct {
	cfg      Config
	inFlight chan struct{}
	requests sync.WaitGroup
	mu       sync.Mutex
	report   *Report
}

// generateService sends the requests of one service at exponentially distributed
// intervals.
func (g *generator) generateService(ctx context.Context, start time.Time, service string, rng *rand.Rand) {
	next := start
	timer := time.NewTimer(0)
	defer timer.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		g.startCall(g.newCall(service, n, rng))
		rate := g.cfg.RatePerService * g.surgeFactor(service, time.Since(start))
		next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		timer.Reset(time.Until(next))
	}
}

// surgeFactor returns the factor on the rate of a service at a time since the
// start.
func (g *generator) surgeFactor(service string, at time.Duration) float64 {
	for _, s := range g.cfg.Surges {
		if s.Service == service && at >= s.From && at < s.From+s.Length {
			return s.Factor
		}
	}
	return 1
}

// call is a request to send.
type call struct {
	entryHost, service, body, workKind, id string
	nonRepeatable                          bool
}

// newCall draws the n-th request of a service. A request that must not be
// repeated has an ID that starts with its expiry in Unix milliseconds.
func (g *generator) newCall(service string, n int, rng *rand.Rand) call {
	c := call{
		entryHost: g.cfg.EntryHosts[rng.IntN(len(g.cfg.EntryHosts))], service: service, workKind: "short",
		nonRepeatable: rng.Float64() < g.cfg.NonRepeatableShare,
		body:          fmt.Sprintf("%s-%d-%016x", service, n, rng.Uint64()),
	}
	if rng.Float64() < g.cfg.LongShare {
		c.workKind = "long"
	}
	if c.nonRepeatable {
		expiry := time.Now().Add(g.cfg.Deadline).UnixMilli()
		c.id = strconv.FormatInt(expiry, 10) + "." + c.body
	}
	return c
}

// startCall sends a request in the background, or skips it if MaxInFlight
// requests are in flight.
func (g *generator) startCall(c call) {
	select {
	case g.inFlight <- struct{}{}:
	default:
		g.mu.Lock()
		g.report.Skipped++
		g.mu.Unlock()
		return
	}
	g.requests.Go(func() {
		defer func() { <-g.inFlight }()
		begin := time.Now()
		outcome := g.send(c)
		g.record(c, outcome, time.Since(begin))
	})
}

// send sends a request and waits for its answer. Without an answer, the status is
// 0 and it's unknown whether the request ran.
func (g *generator) send(c call) CallOutcome {
	outcome := CallOutcome{RequestID: c.id, NonRepeatable: c.nonRepeatable, Ran: fault.RanUnknown}
	ctx, cancel := context.WithTimeout(context.Background(), g.cfg.Deadline+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.entryHost+"/v1/services/"+c.service+"/work", strings.NewReader(c.body))
	if err != nil {
		return outcome
	}
	req.Header.Set("Laburnum-Work-Kind", c.workKind)
	req.Header.Set("Laburnum-Caller", c.service+"-caller")
	req.Header.Set("Laburnum-Deadline-Ms", strconv.FormatInt(g.cfg.Deadline.Milliseconds(), 10))
	req.Header.Set("Laburnum-Repeatable", strconv.FormatBool(!c.nonRepeatable))
	if c.nonRepeatable {
		req.Header.Set("Idempotency-Key", c.id)
	}
	res, err := g.cfg.Client.Do(req)
	if err != nil {
		return outcome
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return outcome
	}
	outcome.Status = res.StatusCode
	outcome.Kind = fault.Kind(res.Header.Get(answer.KindHeader))
	outcome.Ran = fault.Ran(res.Header.Get(answer.RanHeader))
	outcome.EchoMatches = strings.Contains(string(body), c.body)
	return outcome
}

// record adds the outcome of a request to the report.
func (g *generator) record(c call, outcome CallOutcome, latency time.Duration) {
	run, wait := g.cfg.ShortRun, g.report.ShortWait
	if c.workKind == "long" {
		run, wait = g.cfg.LongRun, g.report.LongWait
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.report
	r.Sent++
	r.Outcomes = append(r.Outcomes, outcome)
	switch {
	case outcome.Status == http.StatusOK && outcome.EchoMatches:
		r.Answered++
		// The wait can't exceed the bound of the histogram, because the deadline
		// is shorter.
		_ = wait.RecordValue(max(1, (latency - run).Microseconds()))
	case outcome.Status == http.StatusOK:
		r.Wrong++
	case outcome.Ran == fault.RanNo:
		r.Refused++
	default:
		r.Unknown++
	}
	if outcome.Kind != "" {
		r.Kinds[outcome.Kind]++
	}
}
