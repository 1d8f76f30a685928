package dev

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"laburnumdock/internal/cli"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/load"
	"laburnumdock/internal/logevent"
	"laburnumdock/internal/manifest"
)

// Durations of the demo. A successful demo takes less than a minute.
const (
	readyTimeout    = 15 * time.Second
	delayBeforeWave = 2 * time.Second
	waveTimeout     = 45 * time.Second
	sampleInterval  = 20 * time.Millisecond
	surgeDuration   = 3 * time.Second
)

// Load of the demo. The rates suit a laptop that runs every role itself.
const (
	demoRatePerService     = 60.0
	demoSurgeFactor        = 5.0
	demoLongShare          = 0.05
	demoNonRepeatableShare = 0.2
	demoDeadline           = 5 * time.Second
	demoMaxInFlight        = 4000
	microsPerMilli         = 1000.0
)

// Outcome is the result of the demo.
type Outcome struct {
	Deployment       string             `json:"deployment"`
	HostsRebooted    int                `json:"hostsRebooted"`
	HostsMoved       int                `json:"hostsMoved"`
	WaveSeconds      float64            `json:"waveSeconds"`
	WaveFinished     bool               `json:"waveFinished"`
	ShortWaitP50Ms   float64            `json:"shortWaitP50Ms"`
	ShortWaitP99Ms   float64            `json:"shortWaitP99Ms"`
	SpareHosts       float64            `json:"spareHosts"`
	Sent             int                `json:"sent"`
	Answered         int                `json:"answered"`
	Refused          int                `json:"refused"`
	Unknown          int                `json:"unknown"`
	Wrong            int                `json:"wrong"`
	NotSent          int                `json:"notSent"`
	RanTwice         int                `json:"ranTwice"`
	RanThoughRefused int                `json:"ranThoughRefused"`
	BudgetViolations int                `json:"budgetViolations"`
	Kinds            map[fault.Kind]int `json:"kinds,omitempty"`
}

// Passed reports whether the wave finished, requests were answered, each with a
// known and correct outcome, and no guarantee was violated.
func (o *Outcome) Passed() bool {
	return o.WaveFinished && o.Answered > 0 && o.Unknown == 0 && o.Wrong == 0 &&
		o.RanTwice == 0 && o.RanThoughRefused == 0 && o.BudgetViolations == 0
}

// Demo runs a wave on the deployment under load and returns the outcome.
func (d *Deployment) Demo(ctx context.Context, log *logevent.Logger, progress io.Writer) (*Outcome, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx, log) }()
	out, err := d.runDemo(ctx, progress)
	stop()
	if runErr := <-ended; err == nil {
		err = runErr
	}
	return out, err
}

// runDemo runs the wave and the load against the running deployment.
func (d *Deployment) runDemo(ctx context.Context, progress io.Writer) (*Outcome, error) {
	if err := d.ApplyFleet(ctx, progress); err != nil {
		return nil, err
	}
	if err := d.waitReady(ctx); err != nil {
		return nil, err
	}
	if err := d.runDockctl(ctx, progress, "apply", "--file", filepath.Join(d.Dir, "wave.yaml")); err != nil {
		return nil, err
	}
	budgets, services, err := d.readManifest()
	if err != nil {
		return nil, err
	}
	platformSampler := newSampler(d, budgets)
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var group sync.WaitGroup
	group.Go(func() { platformSampler.run(loadCtx) })
	var report *load.Report
	group.Go(func() { report = load.Run(loadCtx, d.loadConfig(services)) })
	out := &Outcome{Deployment: filepath.Base(d.Dir)}
	err = d.runWave(ctx, progress, out)
	stopLoad()
	group.Wait()
	if err != nil {
		return nil, err
	}
	d.fillOutcome(out, report, platformSampler)
	return out, nil
}

// ApplyFleet applies the fleet manifest.
func (d *Deployment) ApplyFleet(ctx context.Context, progress io.Writer) error {
	return d.runDockctl(ctx, progress, "apply", "--file", filepath.Join(d.Dir, "fleet.yaml"))
}

// withoutValues hides the values of a context. The command line library keeps
// the command of dock-dev in them, and would use it as the parent of dockctl's.
type withoutValues struct{ context.Context }

// Value implements context.Context.
func (withoutValues) Value(any) any { return nil }

// runDockctl runs one dockctl command against the deployment.
func (d *Deployment) runDockctl(ctx context.Context, out io.Writer, args ...string) error {
	full := []string{"dockctl", "--control", strings.Join(d.ControlURLs(), ",")}
	if code := cli.Run(withoutValues{ctx}, append(full, args...), nil, out, out); code != cli.ExitOK {
		return eris.Errorf("dockctl %v ended with exit code %d", args, code)
	}
	return nil
}

// waitReady waits until every entry host is ready and every host is
// available.
func (d *Deployment) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for !d.isReady(ctx) {
		select {
		case <-ctx.Done():
			return eris.Errorf("the deployment was not ready within %s", readyTimeout)
		case <-ticker.C:
		}
	}
	return nil
}

// isReady reports whether every host is available, and every entry host is ready
// and knows all their endpoints.
func (d *Deployment) isReady(ctx context.Context) bool {
	serving := 0
	for _, n := range d.Fleet.Platform.AvailableHosts() {
		serving += n
	}
	if serving < d.Fleet.Size() {
		return false
	}
	for _, url := range d.EntryURLs() {
		var status struct {
			NotReady  *fault.Error
			Endpoints []struct{ Live bool }
		}
		if err := getJSON(ctx, url+"/v1/status", &status); err != nil || status.NotReady != nil || len(status.Endpoints) < serving {
			return false
		}
	}
	return true
}

func getJSON(ctx context.Context, url string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	return json.NewDecoder(res.Body).Decode(out)
}

// readManifest returns the minimum of healthy hosts by pool, and the services,
// from the manifest.
func (d *Deployment) readManifest() (map[string]int, []string, error) {
	data, err := os.ReadFile(*d.Standin.Manifest)
	if err != nil {
		return nil, nil, err
	}
	objects, err := manifest.Read(*d.Standin.Manifest, data)
	if err != nil {
		return nil, nil, err
	}
	budgets := make(map[string]int)
	var services []string
	for _, obj := range objects {
		obj.SetDefaults()
		switch o := obj.(type) {
		case *model.Budget:
			budgets[o.Spec.Pool] = o.Spec.MinHealthy
		case *model.Pool:
			services = append(services, o.Spec.Service)
		}
	}
	return budgets, services, nil
}

// loadConfig returns a load in which the services surge in turn.
func (d *Deployment) loadConfig(services []string) load.Config {
	cfg := load.Config{
		EntryHosts: d.EntryURLs(), Services: services, RatePerService: demoRatePerService, LongShare: demoLongShare,
		NonRepeatableShare: demoNonRepeatableShare, ShortRun: *d.Standin.ShortRun, LongRun: *d.Standin.LongRun,
		Deadline: demoDeadline, MaxInFlight: demoMaxInFlight, Seed: 1,
		Client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: demoMaxInFlight}},
	}
	for i := range 2 * len(services) {
		cfg.Surges = append(cfg.Surges, load.Surge{
			Service: services[i%len(services)], From: time.Duration(i) * surgeDuration, Length: surgeDuration, Factor: demoSurgeFactor,
		})
	}
	return cfg
}

// runWave starts the wave and waits until it finishes or the timeout passes.
func (d *Deployment) runWave(ctx context.Context, progress io.Writer, out *Outcome) error {
	timer := time.NewTimer(delayBeforeWave)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
	}
	if err := d.runDockctl(ctx, progress, "wave", "start", "evening"); err != nil {
		return err
	}
	start := time.Now()
	deadline := start.Add(waveTimeout)
	ticker := time.NewTicker(10 * sampleInterval)
	defer ticker.Stop()
	last := -1
	for time.Now().Before(deadline) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		var wave model.Wave
		if err := getJSON(ctx, d.ControlURLs()[0]+"/v1/waves/evening", &wave); err != nil {
			continue
		}
		out.HostsRebooted = len(wave.Status.Done)
		if out.HostsRebooted != last {
			fmt.Fprintf(progress, "wave %s: %d of %d hosts done\n", wave.Status.Phase, out.HostsRebooted, wave.Status.Total)
			last = out.HostsRebooted
		}
		if wave.Status.Phase == model.WaveFinished {
			out.WaveFinished = true
			break
		}
	}
	out.WaveSeconds = time.Since(start).Seconds()
	return nil
}

// fillOutcome fills the outcome from the load report, the samples, and the
// comparison of the callers' outcomes with the runs on the endpoints.
func (d *Deployment) fillOutcome(out *Outcome, report *load.Report, platformSampler *sampler) {
	out.Sent, out.Answered, out.Refused, out.Unknown, out.Wrong, out.NotSent = report.Sent, report.Answered, report.Refused, report.Unknown, report.Wrong, report.Skipped
	out.ShortWaitP50Ms = float64(report.ShortWait.ValueAtQuantile(50)) / microsPerMilli
	out.ShortWaitP99Ms = float64(report.ShortWait.ValueAtQuantile(99)) / microsPerMilli
	out.Kinds = report.Kinds
	out.BudgetViolations = platformSampler.violations
	out.HostsMoved = platformSampler.countMoves()
	if platformSampler.samples > 0 {
		out.SpareHosts = platformSampler.idleHostsSum / float64(platformSampler.samples)
	}
	runs := d.Fleet.Runs()
	for _, call := range report.Outcomes {
		if !call.NonRepeatable {
			continue
		}
		if runs[call.RequestID] > 1 {
			out.RanTwice++
		}
		if call.Ran == fault.RanNo && runs[call.RequestID] > 0 {
			out.RanThoughRefused++
		}
	}
}

// Print writes the outcome to w as a table.
func (o *Outcome) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(name string, value any) { fmt.Fprintf(t, "%s\t%v\n", name, value) }
	row("deployment", o.Deployment)
	row("hosts rebooted", o.HostsRebooted)
	row("hosts moved", o.HostsMoved)
	row("wave time", fmt.Sprintf("%.1f s, finished: %t", o.WaveSeconds, o.WaveFinished))
	row("short-work wait p50", fmt.Sprintf("%.1f ms", o.ShortWaitP50Ms))
	row("short-work wait p99", fmt.Sprintf("%.1f ms", o.ShortWaitP99Ms))
	row("spare capacity held (mean idle hosts)", fmt.Sprintf("%.1f", o.SpareHosts))
	row("requests sent", o.Sent)
	row("requests answered", o.Answered)
	row("requests refused, did not run", o.Refused)
	row("requests of unknown outcome", o.Unknown)
	row("wrong answers", o.Wrong)
	row("requests not sent by the load generator", o.NotSent)
	row("ran twice though not repeatable", o.RanTwice)
	row("ran though refused", o.RanThoughRefused)
	row("budget violations", o.BudgetViolations)
	kinds := make([]string, 0, len(o.Kinds))
	for kind, n := range o.Kinds {
		kinds = append(kinds, fmt.Sprintf("%s: %d", kind, n))
	}
	sort.Strings(kinds)
	for _, kind := range kinds {
		row("  refused as", kind)
	}
	return t.Flush()
}
