// Command greengaged is the daemon that runs on every entry host: it serves
// callers and runs its share of the control plane.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/rs/zerolog"

	"greengagedeck/internal/release"
)

// Exit codes of the daemon.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

const (
	// gcPercent lets the heap grow further between collections than the
	// runtime's default: the heap is small and memoryLimit bounds it.
	gcPercent = 400
	// memoryLimit is the memory use, in bytes, above which collections become
	// more frequent.
	memoryLimit = 200 << 20
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	signals := takeSignals()
	if len(args) > 0 && args[0] == fleetCommand {
		return runFleet(args[1:], signals)
	}
	s, err := parseSettings(args, os.Stderr)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return exitOK
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	case s.Version:
		fmt.Println(release.String())
		return exitOK
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimit)
	logger := zerolog.New(os.Stderr).Level(s.LogLevel).With().Timestamp().Str("host", s.Host).Str("zone", s.Zone).Logger()
	go func() {
		for range signals.reload {
			logger.Info().Msg("settings not reloaded: flags and the environment are read at the start only")
		}
	}()
	return exitCode(serve(signals.stopping, s, logger), logger)
}

// exitCode logs how serving has ended and returns the exit code. A stop before the daemon
// serves is a planned one too.
func exitCode(err error, logger zerolog.Logger) int {
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, context.Canceled):
		logger.Info().Err(err).Msg("stopped")
		return exitOK
	}
	logger.Error().Err(err).Msg("stopped")
	return exitFailure
}
