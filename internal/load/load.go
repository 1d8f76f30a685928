// Package load sends requests of callers to entry hosts at a set rate,
// whatever the answers, and records what each caller was told.
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

// Surge raises the rate of one service for a time.
type Surge struct {
	Service string
	From    time.Duration
	Length  time.Duration
	Factor  float64
}

// Config describes a run.
type Config struct {
	// EntryHosts are base URLs; each request goes to one of them at random, as
	// a balancer would send it.
	EntryHosts []string
	Services   []string
	// RatePerService is the mean number of requests a second.
	RatePerService float64
	Surges         []Surge
	// LongShare is the share of requests whose work kind is "long".
	LongShare float64
	// OnceShare is the share of requests that must not be repeated.
	NonRepeatableShare float64
	// ShortRun and LongRun are the run times of the work kinds; the wait of a
	// request is its latency less the run time.
	ShortRun, LongRun time.Duration
	Deadline          time.Duration
	MaxInFlight       int
	Seed              uint64
	Client            *http.Client
}

// Told is what one caller was told.
type CallOutcome struct {
	RequestID string
	NonRepeatable      bool
	Status    int
	Kind      fault.Kind
	Ran       fault.Ran
	// Whole tells that the answer was the echo of this very request.
	EchoMatches bool
}

// Report is the outcome of a run.
type Report struct {
	Sent, Answered, Refused, Unknown, Wrong int
	// Skipped counts requests that were not sent because MaxInFlight were.
	Skipped   int
	ShortWait *hdrhistogram.Histogram
	LongWait  *hdrhistogram.Histogram
	Outcomes      []CallOutcome
	Kinds     map[fault.Kind]int
}

// Histogram bounds, in microseconds.
const (
	histogramMaxMicros = int64(10 * 60 * 1e6)
	histogramDigits    = 3
)

// Run sends requests until ctx ends and returns when all are answered.
func Run(ctx context.Context, cfg Config) *Report {
	g := &generator{cfg: cfg, slots: make(chan struct{}, cfg.MaxInFlight), report: &Report{
		ShortWait: hdrhistogram.New(1, histogramMaxMicros, histogramDigits),
		LongWait:  hdrhistogram.New(1, histogramMaxMicros, histogramDigits),
		Kinds:     map[fault.Kind]int{},
	}}
	var services sync.WaitGroup
	start := time.Now()
	for i, service := range cfg.Services {
		services.Go(func() { g.service(ctx, start, service, rand.New(rand.NewPCG(cfg.Seed, uint64(i)))) })
	}
	services.Wait()
	g.requests.Wait()
	return g.report
}

type generator struct {
	cfg      Config
	slots    chan struct{}
	requests sync.WaitGroup
	mu       sync.Mutex
	report   *Report
}

// service sends the requests of one service with exponential gaps.
func (g *generator) service(ctx context.Context, start time.Time, service string, rng *rand.Rand) {
	next := start
	timer := time.NewTimer(0)
	defer timer.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		g.launch(g.shape(service, n, rng))
		rate := g.cfg.RatePerService * g.factor(service, time.Since(start))
		next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		timer.Reset(time.Until(next))
	}
}

func (g *generator) factor(service string, at time.Duration) float64 {
	for _, s := range g.cfg.Surges {
		if s.Service == service && at >= s.From && at < s.From+s.Length {
			return s.Factor
		}
	}
	return 1
}

type call struct {
	base, service, body, kind, id string
	once                          bool
}

func (g *generator) shape(service string, n int, rng *rand.Rand) call {
	c := call{
		base: g.cfg.EntryHosts[rng.IntN(len(g.cfg.EntryHosts))], service: service, kind: "short",
		once: rng.Float64() < g.cfg.NonRepeatableShare,
		body: fmt.Sprintf("%s-%d-%016x", service, n, rng.Uint64()),
	}
	if rng.Float64() < g.cfg.LongShare {
		c.kind = "long"
	}
	if c.once {
		expiry := time.Now().Add(g.cfg.Deadline).UnixMilli()
		c.id = strconv.FormatInt(expiry, 10) + "." + c.body
	}
	return c
}

func (g *generator) launch(c call) {
	select {
	case g.slots <- struct{}{}:
	default:
		g.mu.Lock()
		g.report.Skipped++
		g.mu.Unlock()
		return
	}
	g.requests.Go(func() {
		defer func() { <-g.slots }()
		begin := time.Now()
		told := g.send(c)
		g.record(c, told, time.Since(begin))
	})
}

func (g *generator) send(c call) CallOutcome {
	told := CallOutcome{RequestID: c.id, NonRepeatable: c.once, Ran: fault.RanUnknown}
	ctx, cancel := context.WithTimeout(context.Background(), g.cfg.Deadline+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/v1/services/"+c.service+"/work", strings.NewReader(c.body))
	if err != nil {
		return told
	}
	req.Header.Set("Laburnum-Work-Kind", c.kind)
	req.Header.Set("Laburnum-Caller", c.service+"-caller")
	req.Header.Set("Laburnum-Deadline-Ms", strconv.FormatInt(g.cfg.Deadline.Milliseconds(), 10))
	req.Header.Set("Laburnum-Repeatable", strconv.FormatBool(!c.once))
	if c.once {
		req.Header.Set("Idempotency-Key", c.id)
	}
	res, err := g.cfg.Client.Do(req)
	if err != nil {
		return told
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return told
	}
	told.Status = res.StatusCode
	told.Kind = fault.Kind(res.Header.Get(answer.KindHeader))
	told.Ran = fault.Ran(res.Header.Get(answer.RanHeader))
	told.EchoMatches = strings.Contains(string(body), c.body)
	return told
}

func (g *generator) record(c call, told CallOutcome, latency time.Duration) {
	run, wait := g.cfg.ShortRun, g.report.ShortWait
	if c.kind == "long" {
		run, wait = g.cfg.LongRun, g.report.LongWait
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.report
	r.Sent++
	r.Outcomes = append(r.Outcomes, told)
	switch {
	case told.Status == http.StatusOK && told.EchoMatches:
		r.Answered++
		// A value above the bound of the histogram cannot occur: the deadline
		// is shorter.
		_ = wait.RecordValue(max(1, (latency - run).Microseconds()))
	case told.Status == http.StatusOK:
		r.Wrong++
	case told.Ran == fault.RanNo:
		r.Refused++
	default:
		r.Unknown++
	}
	if told.Kind != "" {
		r.Kinds[told.Kind]++
	}
}
