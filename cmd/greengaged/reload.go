package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"greengagedeck/platform"
)

// settingsPoll is the time between looks whether the settings file changed.
const settingsPoll = time.Second

// reloader follows the platform's settings file: at SIGHUP, and when it changes
// without one.
type reloader struct {
	path   string
	place  platform.Settings
	logger zerolog.Logger
	// apply takes in what may change while the daemon runs. What else changed
	// counts from the next start on.
	apply func(platform.Settings)
}

// run follows the file until ctx ends.
func (r *reloader) run(ctx context.Context) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	tick := time.NewTicker(settingsPoll)
	defer tick.Stop()
	seen := r.modified()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
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

// modified returns when the file was written last, or the zero time.
func (r *reloader) modified() time.Time {
	info, err := os.Stat(r.path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload reads the file. Settings that are wrong change nothing.
func (r *reloader) reload(why string) {
	next, err := platform.LoadSettings(r.path)
	if err != nil {
		r.logger.Error().Err(err).Str("why", why).Msg("settings not reloaded, the old ones stay")
		return
	}
	changed := r.place.Diff(next)
	r.logger.Info().Str("why", why).Strs("changed", changed).Msg("settings reloaded")
	if len(changed) == 0 {
		return
	}
	r.place = next
	r.apply(next)
}
