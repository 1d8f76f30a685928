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

// Times of the demo. All together stay below a minute.
const (
	settleLimit = 15 * time.Second
	beforeWave  = 2 * time.Second
	waveLimit   = 45 * time.Second
	sampleEvery = 20 * time.Millisecond
	surgeLength = 3 * time.Second
)

// Load of the demo. The rates fit a laptop that runs every process itself.
const (
	demoRate      = 60.0
	demoSurge     = 5.0
	demoLongShare = 0.05
	demoOnceShare = 0.2
	demoDeadline  = 5 * time.Second
	demoInFlight  = 4000
	waitDigits    = 1000.0
)

// Outcome is what the demo saw.
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

// Held tells whether everything that must hold did.
func (o *Outcome) Passed() bool {
	return o.WaveFinished && o.Answered > 0 && o.Unknown == 0 && o.Wrong == 0 &&
		o.RanTwice == 0 && o.RanThoughRefused == 0 && o.BudgetViolations == 0
}

// Demo runs the deployment through a wave under load and judges the outcome.
func (d *Deployment) Demo(ctx context.Context, log *logevent.Logger, progress io.Writer) (*Outcome, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx, log) }()
	out, err := d.drive(ctx, progress)
	stop()
	if runErr := <-ended; err == nil {
		err = runErr
	}
	return out, err
}

func (d *Deployment) drive(ctx context.Context, progress io.Writer) (*Outcome, error) {
	if err := d.ApplyFleet(ctx, progress); err != nil {
		return nil, err
	}
	if err := d.waitReady(ctx); err != nil {
		return nil, err
	}
	if err := d.control(ctx, progress, "apply", "--file", filepath.Join(d.Dir, "wave.yaml")); err != nil {
		return nil, err
	}
	budgets, services, err := d.declared()
	if err != nil {
		return nil, err
	}
	watch := newSampler(d, budgets)
	loading, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var group sync.WaitGroup
	group.Go(func() { watch.run(loading) })
	var report *load.Report
	group.Go(func() { report = load.Run(loading, d.loadConfig(services)) })
	out := &Outcome{Deployment: filepath.Base(d.Dir)}
	err = d.runWave(ctx, progress, out)
	stopLoad()
	group.Wait()
	if err != nil {
		return nil, err
	}
	d.judge(out, report, watch)
	return out, nil
}

// ApplyFleet declares the resources of the manifest.
func (d *Deployment) ApplyFleet(ctx context.Context, progress io.Writer) error {
	return d.control(ctx, progress, "apply", "--file", filepath.Join(d.Dir, "fleet.yaml"))
}

// withoutValues hides the values of a context. The command line library would
// take the command of dock-dev in it for the parent of dockctl's.
type withoutValues struct{ context.Context }

// Value implements context.Context.
func (withoutValues) Value(any) any { return nil }

// control runs one command of the operators' command line.
func (d *Deployment) control(ctx context.Context, out io.Writer, args ...string) error {
	full := []string{"dockctl", "--control", strings.Join(d.ControlURLs(), ",")}
	if code := cli.Run(withoutValues{ctx}, append(full, args...), nil, out, out); code != cli.ExitOK {
		return eris.Errorf("dockctl %v ended with exit code %d", args, code)
	}
	return nil
}

// waitReady waits until every entry host is ready and every executor serves.
func (d *Deployment) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, settleLimit)
	defer cancel()
	ticker := time.NewTicker(sampleEvery)
	defer ticker.Stop()
	for !d.isReady(ctx) {
		select {
		case <-ctx.Done():
			return eris.Errorf("the deployment was not ready within %s", settleLimit)
		case <-ticker.C:
		}
	}
	return nil
}

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

// declared returns the budgets and services of the manifest.
func (d *Deployment) declared() (map[string]int, []string, error) {
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

// loadConfig has the queues surge in turn.
func (d *Deployment) loadConfig(services []string) load.Config {
	cfg := load.Config{
		EntryHosts: d.EntryURLs(), Services: services, RatePerService: demoRate, LongShare: demoLongShare,
		NonRepeatableShare: demoOnceShare, ShortRun: *d.Standin.ShortRun, LongRun: *d.Standin.LongRun,
		Deadline: demoDeadline, MaxInFlight: demoInFlight, Seed: 1,
		Client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: demoInFlight}},
	}
	for i := range 2 * len(services) {
		cfg.Surges = append(cfg.Surges, load.Surge{
			Service: services[i%len(services)], From: time.Duration(i) * surgeLength, Length: surgeLength, Factor: demoSurge,
		})
	}
	return cfg
}

// runWave starts the wave and waits for its end.
func (d *Deployment) runWave(ctx context.Context, progress io.Writer, out *Outcome) error {
	timer := time.NewTimer(beforeWave)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
	}
	if err := d.control(ctx, progress, "wave", "start", "evening"); err != nil {
		return err
	}
	start := time.Now()
	deadline := start.Add(waveLimit)
	ticker := time.NewTicker(10 * sampleEvery)
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

// judge compares what callers were told with what the endpoints ran.
func (d *Deployment) judge(out *Outcome, r *load.Report, w *sampler) {
	out.Sent, out.Answered, out.Refused, out.Unknown, out.Wrong, out.NotSent = r.Sent, r.Answered, r.Refused, r.Unknown, r.Wrong, r.Skipped
	out.ShortWaitP50Ms = float64(r.ShortWait.ValueAtQuantile(50)) / waitDigits
	out.ShortWaitP99Ms = float64(r.ShortWait.ValueAtQuantile(99)) / waitDigits
	out.Kinds = r.Kinds
	out.BudgetViolations = w.violations
	out.HostsMoved = w.moves()
	if w.samples > 0 {
		out.SpareHosts = w.spare / float64(w.samples)
	}
	runs := d.Fleet.Runs()
	for _, told := range r.Outcomes {
		if !told.NonRepeatable {
			continue
		}
		if runs[told.RequestID] > 1 {
			out.RanTwice++
		}
		if told.Ran == fault.RanNo && runs[told.RequestID] > 0 {
			out.RanThoughRefused++
		}
	}
}

// Print writes the outcome as a table.
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
