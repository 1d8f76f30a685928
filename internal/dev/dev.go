// Package dev runs a whole deployment for development: every role and its
// stand-ins in one process on loopback, configured by the deployment's INI files.
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

// Deployment holds the loaded settings of a deployment folder and the stand-in
// fleet that its manifest describes.
type Deployment struct {
	Dir             string
	ControlReplicas []*settings.Control
	EntryHosts      []*settings.Entry
	Standin         *settings.Standin
	Fleet           *standin.Fleet
}

// Load reads the settings of a deployment from dir. The data of each control
// replica goes to a folder below dataDir, and standinOverrides override the
// settings of the stand-ins.
func Load(dir, dataDir string, standinOverrides ...string) (*Deployment, error) {
	d := &Deployment{Dir: dir}
	err := forEachFile(dir, "control-*.ini", func(path string) error {
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
	err = forEachFile(dir, "entry-*.ini", func(path string) error {
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

func forEachFile(dir, pattern string, f func(path string) error) error {
	paths, err := filepath.Glob(filepath.Join(dir, pattern))
	if err != nil || len(paths) == 0 {
		return eris.Errorf("%s contains no file that matches %s", dir, pattern)
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
	return eris.Errorf("%d settings are wrong, first: %s", len(problems), problems[0])
}

// Run runs every role until ctx ends or a role fails, and returns when all have
// shut down. Entry hosts shut down first, so that the other roles can serve
// their last requests.
func (d *Deployment) Run(ctx context.Context, log *logevent.Logger) error {
	if err := d.initDataDirs(); err != nil {
		return err
	}
	group, groupCtx := errgroup.WithContext(context.WithoutCancel(ctx))
	otherCtx, stopOthers := context.WithCancel(groupCtx)
	defer stopOthers()
	for _, c := range d.ControlReplicas {
		group.Go(func() error { return role.Control(otherCtx, c, log) })
	}
	group.Go(func() error { return role.Standin(otherCtx, d.Standin, d.Fleet, log) })
	group.Go(func() error {
		defer stopOthers()
		entryCtx, stop := context.WithCancel(groupCtx)
		defer stop()
		defer context.AfterFunc(ctx, stop)()
		entries, entryCtx := errgroup.WithContext(entryCtx)
		for _, e := range d.EntryHosts {
			entries.Go(func() error { return role.Entry(entryCtx, e, log) })
		}
		return entries.Wait()
	})
	return group.Wait()
}

// initDataDirs initializes the data folders that are empty. A production replica
// never does this by itself; here all replicas start and stop together.
func (d *Deployment) initDataDirs() error {
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

// ControlURLs returns the base URLs of the operators' API.
func (d *Deployment) ControlURLs() []string {
	var urls []string
	for _, c := range d.ControlReplicas {
		urls = append(urls, "http://"+*c.API.Address)
	}
	return urls
}

// EntryURLs returns the base URLs for callers.
func (d *Deployment) EntryURLs() []string {
	var urls []string
	for _, e := range d.EntryHosts {
		urls = append(urls, "http://"+*e.Callers.Address)
	}
	return urls
}

// SetUpFleet applies the fleet manifest, waits until the deployment is ready, and
// prints its addresses and commands to try.
func (d *Deployment) SetUpFleet(ctx context.Context, w io.Writer) error {
	if err := d.ApplyFleet(ctx, io.Discard); err != nil {
		return err
	}
	if err := d.waitReady(ctx); err != nil {
		return err
	}
	_, services, err := d.readManifest()
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

// DemoOverrides returns stand-in settings with which a wave over the whole fleet
// takes less than a minute.
func DemoOverrides() []string {
	return []string{"standin.reboot-time=1s", "standin.report-lag=200ms", "standin.short-run=10ms", "standin.long-run=500ms"}
}
