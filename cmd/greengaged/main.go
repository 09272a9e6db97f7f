// Command greengaged is the daemon that runs on every entry host: it serves
// callers and runs its share of the control plane.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

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
	if len(args) > 0 && args[0] == fleetCommand {
		return runFleet(args[1:])
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
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := serve(ctx, s, logger); err != nil {
		logger.Error().Err(err).Msg("stopped")
		return exitFailure
	}
	return exitOK
}
