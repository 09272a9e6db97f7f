// Command throughput compares the requests per second of the daemon with those
// of a plain forwarder, with targets that answer immediately.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"greengagedeck/standin/throughput"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "throughput:", err)
		os.Exit(1)
	}
}

func run() error {
	opt := throughput.Options{Out: os.Stdout}
	flag.StringVar(&opt.Bin, "bin", "bin", "folder of the programs")
	flag.IntVar(&opt.Procs, "procs", 2, "processors of the daemon and of the forwarder")
	flag.IntVar(&opt.Connections, "connections", 64, "concurrent requests")
	flag.IntVar(&opt.Rounds, "rounds", 5, "number of rounds; each measures the daemon and the forwarder")
	flag.DurationVar(&opt.Period, "period", 3*time.Second, "length of one measurement")
	flag.Parse()
	dir, err := os.MkdirTemp("", "throughput")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	opt.Dir = dir
	return throughput.Run(opt)
}
