// Command bench prints the comparison tables of docs/PERFORMANCE.md.
//
//	bench [-seed n] slots|hol|overload|zones|quota|all
package main

import (
	"flag"
	"fmt"
	"io"
	"os"

	"greengagedeck/standin/bench"
)

// table is one of the comparisons.
type table struct {
	name string
	run  func(w io.Writer, seed uint64)
}

var tables = []table{
	{"slots", bench.Slots},
	{"hol", bench.HOL},
	{"overload", bench.Overload},
	{"zones", bench.CrossZone},
	{"quota", bench.Quota},
}

func main() {
	seed := flag.Uint64("seed", 1, "seed of the arrivals and service times")
	flag.Parse()
	if flag.NArg() != 1 || !run(flag.Arg(0), *seed) {
		fmt.Fprintln(os.Stderr, "usage: bench [-seed n] slots|hol|overload|zones|quota|all")
		os.Exit(2)
	}
}

// run prints the named table, or all of them, and reports whether the name is known.
func run(name string, seed uint64) bool {
	found := false
	for _, t := range tables {
		if name == t.name || name == "all" {
			t.run(os.Stdout, seed)
			found = true
		}
	}
	return found
}
