package sparebench

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"greengagedeck/internal/catalogue"
	"greengagedeck/internal/pool"
)

// Weights holds the weight of each measure in a deployment's score.
type Weights struct {
	Buffer, Moves, Unmet float64
}

// Policies returns the compared policies with their names, in the order of the
// table.
func Policies() []struct {
	Name   string
	Policy pool.SparePolicy
} {
	return []struct {
		Name   string
		Policy pool.SparePolicy
	}{
		{"no lending", pool.NoLending{}},
		{"threshold 1m", pool.DefaultThreshold},
		{"threshold 5m", pool.Threshold{High: 0.6, Low: 0.3, SmoothingTime: 5 * time.Minute}},
		{"break-even", pool.BreakEven{SpareParams: pool.DefaultSpareParams}},
		{"predictive, all held", holdAllSpares{pool.DefaultPredictive}},
		{"predictive", pool.DefaultPredictive},
	}
}

// holdAllSpares is a predictive policy that never releases a spare host.
type holdAllSpares struct{ pool.Predictive }

// SpareTarget implements pool.SparePolicy.
func (holdAllSpares) SpareTarget(m pool.SparePolicyState, in pool.SpareInput) int {
	return pool.NoLending{}.SpareTarget(m, in)
}

// Options configures the comparison.
type Options struct {
	// Examples is the directory with the catalogue files of the deployments.
	Examples     string
	Seed         uint64
	Days, Warmup int
}

// Scenarios returns the scenarios of the two example deployments.
func Scenarios(o Options) ([]Scenario, error) {
	kumot := Scenario{
		Name:    "kumot",
		Weights: Weights{Buffer: 0.5, Moves: 0.2, Unmet: 0.3},
		Peaks: []Peak{
			{Pool: "bantay-resv", Start: 18 * time.Hour, Length: 4 * time.Hour, Factor: 3, Jitter: 10 * time.Minute, Chance: 1},
			{Pool: "kuwenta", Start: 23 * time.Hour, Length: 5 * time.Hour, Factor: 3, Jitter: 10 * time.Minute, Chance: 1},
			{Pool: "labada", Start: 6 * time.Hour, Length: 3 * time.Hour, Factor: 2, Jitter: 20 * time.Minute, Chance: 1},
		},
	}
	ruedasol := Scenario{
		Name:    "ruedasol",
		Weights: Weights{Buffer: 0.2, Moves: 0.2, Unmet: 0.6},
		Peaks: []Peak{
			{Pool: "counter-desk", Start: 9 * time.Hour, Length: 3 * time.Hour, Factor: 2.5, Jitter: time.Hour, Chance: 0.8},
			{Pool: "clinic-desk", Start: 14 * time.Hour, Length: 4 * time.Hour, Factor: 2.5, Jitter: time.Hour, Chance: 0.7},
			{Pool: "parts-desk", Start: 11 * time.Hour, Length: 2 * time.Hour, Factor: 2, Jitter: time.Hour, Chance: 0.6},
		},
	}
	scenarios := []Scenario{kumot, ruedasol}
	for i := range scenarios {
		sc := &scenarios[i]
		sc.Seed, sc.Days, sc.Warmup, sc.MeanUse = o.Seed, o.Days, o.Warmup, meanUse
		doc, err := readCatalogue(filepath.Join(o.Examples, sc.Name+".yaml"))
		if err != nil {
			return nil, err
		}
		sc.Catalogue = doc
	}
	return scenarios, nil
}

// meanUse is the mean demand outside peaks, as a share of a pool's hosts. With this
// value a burst needs more hosts than the pool has.
const meanUse = 0.25

func readCatalogue(path string) (catalogue.Document, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return catalogue.Document{}, eris.Wrap(err, "read catalogue")
	}
	return catalogue.Load(path, data)
}

// maxConcurrentRuns is the number of policies that are simulated concurrently.
const maxConcurrentRuns = 4

// Compare runs every policy on a scenario.
func Compare(sc Scenario) ([]Result, error) {
	policies := Policies()
	results := make([]Result, len(policies))
	errs := make([]error, len(policies))
	slots := make(chan struct{}, maxConcurrentRuns)
	var wg sync.WaitGroup
	for i, p := range policies {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			results[i], errs[i] = Run(sc, p.Name, p.Policy)
		})
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return results, nil
}

// Scores returns the weighted score of each result; lower is better. Each measure
// is divided by its highest value of all results.
func Scores(w Weights, results []Result) []float64 {
	var worst Result
	for _, r := range results {
		worst.BufferHours = max(worst.BufferHours, r.BufferHours)
		worst.Moves = max(worst.Moves, r.Moves)
		worst.Unmet = max(worst.Unmet, r.Unmet)
	}
	scores := make([]float64, len(results))
	for i, r := range results {
		scores[i] = w.Buffer*ratio(r.BufferHours, worst.BufferHours) +
			w.Moves*ratio(r.Moves, worst.Moves) +
			w.Unmet*ratio(r.Unmet, worst.Unmet)
	}
	return scores
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// Print writes the table of results of a scenario.
func Print(out io.Writer, sc Scenario, results []Result) error {
	fmt.Fprintf(out, "%s: seed %d, days %d to %d, mean use %.2f, weights buffer %.1f moves %.1f unmet %.1f\n",
		sc.Name, sc.Seed, sc.Warmup+1, sc.Days, sc.MeanUse, sc.Weights.Buffer, sc.Weights.Moves, sc.Weights.Unmet)
	tw := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "policy\tbuffer host-h/day\tmoves/day\tunmet short work\theld back\tlimits broken s\tscore\t")
	scores := Scores(sc.Weights, results)
	for i, r := range results {
		fmt.Fprintf(tw, "%s\t%.1f\t%.1f\t%.2f%%\t%d\t%d\t%.3f\t\n",
			r.Policy, r.BufferHours, r.Moves, 100*r.Unmet, r.BlockedMoves, r.LimitViolations, scores[i])
	}
	return tw.Flush()
}
