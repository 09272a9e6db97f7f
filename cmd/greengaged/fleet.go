package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"greengagedeck/internal/release"
	"greengagedeck/internal/telemetry"
	"greengagedeck/platform"
)

// fleetCommand is the first argument with which the daemon serves jobs on a
// fleet platform.
const fleetCommand = "fleet"

// fleetSettings are the flags of the fleet daemon. The settings of its host come
// from the platform's settings file.
type fleetSettings struct {
	SettingsFile string
	LogLevel     zerolog.Level
}

func parseFleetSettings(args []string, errOut io.Writer) (fleetSettings, error) {
	var s fleetSettings
	var level string
	fs := flag.NewFlagSet("greengaged "+fleetCommand, flag.ContinueOnError)
	fs.SetOutput(errOut)
	fs.StringVar(&s.SettingsFile, "settings-file", platform.SettingsPath(), "the platform's settings file")
	fs.StringVar(&level, "log-level", "info", "debug, info, warn or error")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix(envPrefix)); err != nil {
		return s, eris.Wrap(err, "settings")
	}
	c := settingsValidator{}
	c.required("settings-file", s.SettingsFile)
	var err error
	s.LogLevel, err = zerolog.ParseLevel(level)
	c.addError("log-level", err)
	return s, c.err()
}

// memoryLimitShare is the share of the host's memory above which garbage
// collections become more frequent.
const memoryLimitShare = 0.7

// logTimeFormat is the format of times in logs. Lines of several daemons are
// ordered by these times.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

// lifecycleMessages are log messages that the log limiter never drops.
var lifecycleMessages = []string{"starting", "serving", "stopping", "stopped", "settings reloaded", "duty gained", "duty lost", "log unreachable", "log reachable"}

// setMemoryLimit sets the garbage collector's limit from the host's memory.
func setMemoryLimit(settings platform.Settings) {
	debug.SetMemoryLimit(int64(float64(settings.MemoryBytes) * memoryLimitShare))
}

// newFleetLogger returns the daemon's logger, its limiter, and a function that writes its
// last lines.
func newFleetLogger(w io.Writer, level zerolog.Level, settings platform.Settings, m metrics) (l zerolog.Logger, limiter *telemetry.Limiter, closeLog func()) {
	named := func(w io.Writer) zerolog.Logger {
		return zerolog.New(w).Level(level).With().Timestamp().Str("host", settings.Host).Str("zone", settings.Zone).Logger()
	}
	dropped := m.scope.SubScope("log").Counter("lines_dropped")
	out := telemetry.NewLogWriter(w, telemetry.Drops{
		Count: func() { dropped.Inc(1) },
		Log: func(w io.Writer, lines int) {
			direct := named(w)
			direct.Warn().Int("lines", lines).Msg(telemetry.DroppedMessage)
		},
	})
	limiter = telemetry.NewLimiter(time.Now, m.scope, lifecycleMessages...)
	return named(out).Hook(limiter), limiter, func() { _ = out.Close() }
}

func runFleet(args []string, signals processSignals) int {
	s, err := parseFleetSettings(args, os.Stderr)
	if errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	settings, err := platform.LoadSettings(s.SettingsFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	setMemoryLimit(settings)
	zerolog.TimeFieldFormat = logTimeFormat
	m := newMetrics()
	logger, limiter, closeLog := newFleetLogger(os.Stdout, s.LogLevel, settings, m)
	defer closeLog()
	logger.Info().Str("release", release.String()).Int("pid", os.Getpid()).Msg("starting")
	reload := &reloader{path: s.SettingsFile, current: settings, logger: logger, apply: setMemoryLimit}
	// It goes on while the daemon stops.
	go reload.run(context.Background(), signals.reload)
	return exitCode(serveFleet(signals.stopping, settings, m, logger, limiter), logger)
}
