// Command load sends open-loop load to daemons and prints a summary of the
// results as JSON. It exits with 1 when an answer was wrong or a verdict false.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"time"

	"greengagedeck/standin/loadgen"
)

const usage = `Usage: load -config FILE [flags]
The configuration is the JSON form of loadgen.Options; flags override it.
Durations in the file are nanoseconds.
`

func main() {
	violated, err := run()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "load:", err)
		os.Exit(2)
	case violated:
		os.Exit(1)
	}
}

// run sends the load and reports whether an answer was wrong or a verdict false.
func run() (violated bool, err error) {
	flag.Usage = func() {
		fmt.Fprint(flag.CommandLine.Output(), usage)
		flag.PrintDefaults()
	}
	config := flag.String("config", "", "JSON file with entries")
	daemons := flag.String("daemons", "", "caller URLs, separated by commas; URL=READYURL adds a readiness probe")
	seed := flag.Uint64("seed", 1, "seed of the arrivals")
	duration := flag.Duration("duration", 10*time.Second, "how long to send")
	resends := flag.Int("resends", 0, "how often a request that was not run is sent again")
	check := flag.String("check", "", "base URL of the stand-in that counts executions")
	flag.Parse()
	var opts loadgen.Options
	if err := read(*config, &opts); err != nil {
		return false, err
	}
	opts.Seed, opts.Duration, opts.Resends, opts.CheckURL = *seed, *duration, *resends, *check
	if *daemons != "" {
		opts.Daemons = parseDaemons(*daemons)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	sum, err := loadgen.Run(ctx, opts)
	if err != nil {
		return false, err
	}
	out := json.NewEncoder(os.Stdout)
	out.SetIndent("", "  ")
	return sum.HasViolations(), out.Encode(sum)
}

func read(path string, opts *loadgen.Options) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, opts)
}

func parseDaemons(s string) []loadgen.Daemon {
	var out []loadgen.Daemon
	for item := range strings.SplitSeq(s, ",") {
		url, ready, _ := strings.Cut(item, "=")
		out = append(out, loadgen.Daemon{URL: url, ReadyURL: ready})
	}
	return out
}
