// Command demo runs a whole deployment on loopback. It starts the stand-ins and
// the daemons, applies the catalogue as an operator does, and sends mixed load,
// during which it replaces one daemon and drains one host. It prints a summary
// and exits with 1 if a check of the results failed.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

func main() {
	var s settings
	flag.StringVar(&s.deployment, "deployment", "kumot", "kumot or ruedasol")
	flag.StringVar(&s.bin, "bin", "bin", "directory of the programs")
	flag.StringVar(&s.examples, "examples", "examples", "directory of the catalogue files")
	flag.StringVar(&s.logs, "logs", "", "directory for the daemons' logs, which is kept; if empty, a temporary one that is removed unless the run fails")
	flag.Uint64Var(&s.seed, "seed", 1, "seed of the load")
	flag.DurationVar(&s.shortOnly, "short-only", 6*time.Second, "how long short work runs alone")
	flag.DurationVar(&s.mixed, "mixed", 14*time.Second, "how long short and long work run together")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	violated, err := run(ctx, s)
	stop()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(2)
	case violated:
		os.Exit(1)
	}
}

// run runs the demonstration and reports whether a check failed. It removes the
// logs only if there was no violation and no error, and only from a directory
// that it created.
func run(ctx context.Context, s settings) (violated bool, err error) {
	keep := s.logs != ""
	if keep {
		err = os.MkdirAll(s.logs, 0o700)
	} else {
		s.logs, err = os.MkdirTemp("", "greengagedeck-demo-")
	}
	if err != nil {
		return false, err
	}
	d, err := newDemo(s)
	if err != nil {
		return false, err
	}
	err = d.run(ctx)
	d.stop()
	d.report.print(os.Stdout)
	violated = len(d.report.violations) > 0
	if violated || err != nil {
		fmt.Fprintln(os.Stderr, "demo: logs are in", s.logs)
		return violated, err
	}
	if !keep {
		return false, os.RemoveAll(s.logs)
	}
	return false, nil
}
