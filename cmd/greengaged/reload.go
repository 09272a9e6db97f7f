package main

import (
	"context"
	"os"
	"time"

	"github.com/rs/zerolog"

	"greengagedeck/platform"
)

// settingsPollInterval is the interval between checks whether the settings file
// changed.
const settingsPollInterval = time.Second

// reloader reloads the platform's settings file at SIGHUP and when the file
// changes.
type reloader struct {
	path    string
	current platform.Settings
	logger  zerolog.Logger
	// apply applies the settings that may change while the daemon runs. Other
	// changes take effect at the next start.
	apply func(platform.Settings)
}

// run watches the file and the signals until ctx ends.
func (r *reloader) run(ctx context.Context, signals <-chan os.Signal) {
	tick := time.NewTicker(settingsPollInterval)
	defer tick.Stop()
	seen := r.modified()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			seen = r.modified()
			r.reload("signal")
		case <-tick.C:
			if at := r.modified(); at != seen {
				seen = at
				r.reload("file changed")
			}
		}
	}
}

// modified returns the file's modification time, or the zero time if it can't be
// read.
func (r *reloader) modified() time.Time {
	info, err := os.Stat(r.path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload reads the file. Invalid settings change nothing.
func (r *reloader) reload(trigger string) {
	next, err := platform.LoadSettings(r.path)
	if err != nil {
		r.logger.Error().Err(err).Str("trigger", trigger).Msg("settings not reloaded: the current settings stay in use")
		return
	}
	changed := r.current.Diff(next)
	r.logger.Info().Str("trigger", trigger).Strs("changed", changed).Msg("settings reloaded")
	if len(changed) == 0 {
		return
	}
	r.current = next
	r.apply(next)
}
