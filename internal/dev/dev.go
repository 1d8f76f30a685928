// Package dev wires the development process: every role of a deployment and
// its stand-ins in one process on loopback, from the deployment's INI files.
package dev

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"laburnumdock/internal/logevent"
	"laburnumdock/internal/role"
	"laburnumdock/internal/settings"
	"laburnumdock/internal/standin"
)

// Deployment is a folder of settings and a manifest, loaded.
type Deployment struct {
	Dir      string
	ControlReplicas []*settings.Control
	EntryHosts  []*settings.Entry
	Standin  *settings.Standin
	Fleet    *standin.Fleet
}

// Load reads the settings of a deployment. Overrides apply to every role that
// has the key. DataDir replaces the folder of the replicas' data.
func Load(dir, dataDir string, standinOverrides ...string) (*Deployment, error) {
	d := &Deployment{Dir: dir}
	err := eachFile(dir, "control-*.ini", func(path string) error {
		var set settings.Set
		c := settings.NewControl(&set)
		d.ControlReplicas = append(d.ControlReplicas, c)
		err := readSettings(&set, path)
		*c.DataDir = filepath.Join(dataDir, *c.Name)
		return err
	})
	if err != nil {
		return nil, err
	}
	err = eachFile(dir, "entry-*.ini", func(path string) error {
		var set settings.Set
		d.EntryHosts = append(d.EntryHosts, settings.NewEntry(&set))
		return readSettings(&set, path)
	})
	if err != nil {
		return nil, err
	}
	var set settings.Set
	d.Standin = settings.NewStandin(&set)
	if err := readSettings(&set, filepath.Join(dir, "standin.ini"), standinOverrides...); err != nil {
		return nil, err
	}
	*d.Standin.Manifest = filepath.Join(dir, "fleet.yaml")
	d.Fleet, err = role.NewStandin(d.Standin)
	return d, err
}

func eachFile(dir, pattern string, f func(path string) error) error {
	paths, err := filepath.Glob(filepath.Join(dir, pattern))
	if err != nil || len(paths) == 0 {
		return eris.Errorf("%s has no %s", dir, pattern)
	}
	for _, path := range paths {
		if err := f(path); err != nil {
			return err
		}
	}
	return nil
}

func readSettings(set *settings.Set, path string, overrides ...string) error {
	problems := set.Load(settings.Source{Path: path, Overrides: overrides})
	if len(problems) == 0 {
		return nil
	}
	return eris.Errorf("%d settings are wrong, the first: %s", len(problems), problems[0])
}

// Run starts every role and returns when ctx ends and all have shut down, entry
// hosts first, so that the others serve their last requests.
func (d *Deployment) Run(ctx context.Context, log *logevent.Logger) error {
	if err := d.initialize(); err != nil {
		return err
	}
	group, failed := errgroup.WithContext(context.WithoutCancel(ctx))
	rest, stopRest := context.WithCancel(failed)
	defer stopRest()
	for _, c := range d.ControlReplicas {
		group.Go(func() error { return role.Control(rest, c, log) })
	}
	group.Go(func() error { return role.Standin(rest, d.Standin, d.Fleet, log) })
	group.Go(func() error {
		defer stopRest()
		running, stop := context.WithCancel(failed)
		defer stop()
		defer context.AfterFunc(ctx, stop)()
		entries, running := errgroup.WithContext(running)
		for _, e := range d.EntryHosts {
			entries.Go(func() error { return role.Entry(running, e, log) })
		}
		return entries.Wait()
	})
	return group.Wait()
}

// initialize prepares the data folders that are empty. A production replica
// never does this by itself; here all replicas live and die together.
func (d *Deployment) initialize() error {
	for _, c := range d.ControlReplicas {
		names, err := os.ReadDir(*c.DataDir)
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			return err
		}
		if len(names) > 0 {
			continue
		}
		if err := os.MkdirAll(*c.DataDir, 0o750); err != nil {
			return err
		}
		if err := role.InitControl(c, false); err != nil {
			return err
		}
	}
	return nil
}

// ControlURLs are the base URLs of the operators' API.
func (d *Deployment) ControlURLs() []string {
	var urls []string
	for _, c := range d.ControlReplicas {
		urls = append(urls, "http://"+*c.API.Address)
	}
	return urls
}

// EntryURLs are the base URLs for callers.
func (d *Deployment) EntryURLs() []string {
	var urls []string
	for _, e := range d.EntryHosts {
		urls = append(urls, "http://"+*e.Callers.Address)
	}
	return urls
}

// Introduce declares the fleet, waits until it serves, and prints where the
// deployment listens and a command to try.
func (d *Deployment) SetUpFleet(ctx context.Context, w io.Writer) error {
	if err := d.ApplyFleet(ctx, io.Discard); err != nil {
		return err
	}
	if err := d.waitReady(ctx); err != nil {
		return err
	}
	_, services, err := d.declared()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, `resource API   %v
callers        %v
platform       http://%s (stand-in)

Try:
  curl -s %s/v1/services/%s/price
  bin/dockctl --control %s get pools

Interrupt stops everything gracefully.
`, d.ControlURLs(), d.EntryURLs(), *d.Standin.Platform.Address, d.EntryURLs()[0], services[0], d.ControlURLs()[0])
	return err
}

// DemoSettings are the overrides of the stand-in for the demo, which fits a
// wave of a whole fleet into a minute.
func DemoOverrides() []string {
	return []string{"standin.reboot-time=1s", "standin.report-lag=200ms", "standin.short-run=10ms", "standin.long-run=500ms"}
}
