// Command sparebench compares the policies for spare hosts under the demand of
// both example deployments and prints a table for each.
package main

import (
	"flag"
	"fmt"
	"os"

	"greengagedeck/standin/sparebench"
)

func main() {
	var o sparebench.Options
	flag.StringVar(&o.Examples, "examples", "examples", "directory of the deployments' catalogue files")
	flag.Uint64Var(&o.Seed, "seed", 1, "seed of the demand")
	flag.IntVar(&o.Days, "days", 8, "days to simulate")
	flag.IntVar(&o.Warmup, "warmup", 1, "number of days at the start that are not measured")
	flag.Parse()
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "sparebench:", err)
		os.Exit(1)
	}
}

func run(o sparebench.Options) error {
	scenarios, err := sparebench.Scenarios(o)
	if err != nil {
		return err
	}
	for _, sc := range scenarios {
		results, err := sparebench.Compare(sc)
		if err != nil {
			return err
		}
		if err := sparebench.Print(os.Stdout, sc, results); err != nil {
			return err
		}
		fmt.Println()
	}
	return nil
}
