package process

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"laburnumdock/internal/logevent"
	"laburnumdock/internal/settings"
)

// settingsPollInterval is the interval at which the settings file is checked for
// changes that were made without a signal.
const settingsPollInterval = 2 * time.Second

// sourceKey is the context key of the settings source.
type sourceKey struct{}

// WatchSettings calls apply with each new version of the process's settings file
// until ctx ends. It reloads the file on SIGHUP, and when it has changed, which
// is checked every two seconds. An invalid file is logged and not applied. The
// source is taken from ctx, which must derive from the context of the process's
// run function; without a source, WatchSettings returns at once.
func WatchSettings[T any](ctx context.Context, log *logevent.Logger, declare func(*settings.Set) *T, apply func(*T)) {
	source, ok := ctx.Value(sourceKey{}).(settings.Source)
	if !ok || source.Path == "" {
		return
	}
	sighup := make(chan os.Signal, 1)
	signal.Notify(sighup, syscall.SIGHUP)
	defer signal.Stop(sighup)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	last := stamp(source.Path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-sighup:
		case <-ticker.C:
			if stamp(source.Path) == last {
				continue
			}
		}
		last = stamp(source.Path)
		var set settings.Set
		next := declare(&set)
		problems := set.Load(source)
		if len(problems) > 0 {
			log.Log(logevent.SettingsRefused, logevent.Fields{"problem": problems[0].String(), "problems": len(problems)})
			continue
		}
		log.Log(logevent.SettingsReloaded, nil)
		apply(next)
	}
}

// fileStamp identifies a version of a file.
type fileStamp struct {
	modified time.Time
	size     int64
}

func stamp(path string) fileStamp {
	info, err := os.Stat(path)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{modified: info.ModTime(), size: info.Size()}
}
