package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"greengagedeck/internal/telemetry"
	"greengagedeck/platform"
)

// fleetCommand is the first argument with which the daemon serves jobs on a
// fleet platform.
const fleetCommand = "fleet"

// fleetSettings are the flags of the fleet daemon. What concerns its place
// comes from the platform's settings file.
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
	c := settingsChecker{}
	c.required("settings-file", s.SettingsFile)
	var err error
	s.LogLevel, err = zerolog.ParseLevel(level)
	c.failed("log-level", err)
	return s, c.err()
}

// memoryShare is the part of the host's memory at which collections become
// more frequent.
const memoryShare = 0.7

func runFleet(args []string) int {
	s, err := parseFleetSettings(args, os.Stderr)
	if errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	place, err := platform.LoadSettings(s.SettingsFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	debug.SetMemoryLimit(int64(float64(place.MemoryBytes) * memoryShare))
	out := telemetry.NewLogWriter(os.Stdout)
	defer out.Close()
	logger := zerolog.New(out).Level(s.LogLevel).With().Timestamp().Str("host", place.Host).Str("zone", place.Zone).Logger()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	reload := &reloader{path: s.SettingsFile, place: place, logger: logger, apply: func(platform.Settings) {}}
	go reload.run(ctx)
	if err := serveFleet(ctx, place, logger); err != nil {
		logger.Error().Err(err).Msg("stopped")
		return exitFailure
	}
	return exitOK
}
