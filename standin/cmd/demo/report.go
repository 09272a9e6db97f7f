package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"greengagedeck/standin/deployment"
	"greengagedeck/standin/loadgen"
)

// report is what the demo prints.
type report struct {
	alone        loadgen.Summary
	mixed        loadgen.Summary
	inForce      time.Duration
	moves        int
	leaving      string
	leavingSince time.Time
	seen         deployment.Report
	broken       []string
}

func (r *report) breach(format string, args ...any) {
	r.broken = append(r.broken, fmt.Sprintf(format, args...))
}

// judge compares what was seen with the promises.
func (r *report) judge(seen deployment.Report) {
	r.seen = seen
	for _, s := range []loadgen.Summary{r.alone, r.mixed} {
		r.count(s.WrongAnswers, "wrong answers")
		r.count(s.NotRunThatRan, "requests answered as not run that ran")
		r.count(s.RanMoreThanOnce, "non-idempotent requests that ran more than once")
		r.count(s.RanThatDidNot, "requests answered as run that did not run")
		r.count(s.Cut(), "requests cut")
		for _, v := range append(s.Violations, s.Losses...) {
			r.breach("%s", v)
		}
	}
	if r.mixed.ByVerdict[loadgen.VerdictRan] == 0 {
		r.breach("no request ran")
	}
	if r.inForce > forceLimit {
		r.breach("catalogue in force after %s, limit %s", r.inForce, forceLimit)
	}
	r.count(seen.PoolOverlaps, "tasks of two pools at once on a host")
	for _, t := range seen.Targets {
		after := t.LastStart.Sub(r.leavingSince)
		if t.Name == r.leaving && after > leavingLimit {
			r.breach("%s got new work %s after it was marked leaving", t.Name, after)
		}
	}
}

func (r *report) count(n int, what string) {
	if n > 0 {
		r.breach("%d %s", n, what)
	}
}

func (r *report) print(w io.Writer) {
	fmt.Fprintf(w, "requests            %d\n", r.alone.Requests+r.mixed.Requests)
	for _, v := range verdicts(r.alone, r.mixed) {
		fmt.Fprintf(w, "  %-17s %d\n", v, r.alone.ByVerdict[v]+r.mixed.ByVerdict[v])
	}
	for _, reason := range reasons(r.alone, r.mixed) {
		fmt.Fprintf(w, "    %-30s %d\n", reason, r.alone.ByReason[reason]+r.mixed.ByReason[reason])
	}
	fmt.Fprintf(w, "wrong answers       %d\n", r.alone.WrongAnswers+r.mixed.WrongAnswers)
	printLatency(w, "without long work", r.alone)
	printLatency(w, "with long work", r.mixed)
	fmt.Fprintf(w, "catalogue in force  %.2f s on all daemons\n", r.inForce.Seconds())
	fmt.Fprintf(w, "host moves          %d\n", r.moves)
	fmt.Fprintf(w, "log appends         %d (%d bytes)\n", r.seen.Appends, r.seen.AppendBytes)
	if len(r.broken) == 0 {
		fmt.Fprintln(w, "no promise broke")
		return
	}
	for _, b := range r.broken {
		fmt.Fprintln(w, "BROKEN:", b)
	}
}

func printLatency(w io.Writer, label string, s loadgen.Summary) {
	for _, class := range slices.Sorted(maps.Keys(s.Latency)) {
		l := s.Latency[class]
		fmt.Fprintf(w, "%-7s %-18s n=%-6d p50=%.1f ms p99=%.1f ms max=%.1f ms\n",
			class, label, l.Count, l.P50, l.P99, l.Max)
	}
}

func verdicts(sums ...loadgen.Summary) []string {
	all := map[string]bool{}
	for _, s := range sums {
		for v := range s.ByVerdict {
			all[v] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}

func reasons(sums ...loadgen.Summary) []string {
	all := map[string]bool{}
	for _, s := range sums {
		for v := range s.ByReason {
			all[v] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}
