// Command capacity measures the cost of the control plane for each daemon at
// several sizes of a deployment, with real daemons on loopback. It prints the
// table of docs/CAPACITY.md.
package main

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"greengagedeck/standin/capacity"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func run() error {
	bin := flag.String("bin", "bin", "folder of the programs")
	workers := flag.String("workers", "50,250,1000", "sizes to measure, separated by commas")
	settle := flag.Duration("settle", 10*time.Second, "time after start before the first reading")
	period := flag.Duration("period", 20*time.Second, "length of each phase")
	every := flag.Duration("edit-every", time.Second, "time between edits")
	flag.Parse()
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	opt := capacity.Options{Bin: *bin, Dir: dir, Settle: *settle, Period: *period, EditEvery: *every, Out: os.Stdout}
	for _, s := range strings.Split(*workers, ",") {
		n, err := strconv.Atoi(s)
		if err != nil || n < 1 || n > 1000 {
			return fmt.Errorf("-workers: %q is not a number from 1 to 1000", s)
		}
		opt.Workers = append(opt.Workers, n)
	}
	return capacity.Run(opt)
}
