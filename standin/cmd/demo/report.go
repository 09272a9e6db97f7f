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

// report holds the results that the demo prints.
type report struct {
	shortOnly    loadgen.Summary
	mixed        loadgen.Summary
	rolloutTime  time.Duration
	moves        int
	leavingHost  string
	leavingSince time.Time
	observed     deployment.Report
	violations   []string
}

func (r *report) addViolation(format string, args ...any) {
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// evaluate checks the results and the report of the stand-ins, and records every
// violation.
func (r *report) evaluate(observed deployment.Report) {
	r.observed = observed
	for _, s := range []loadgen.Summary{r.shortOnly, r.mixed} {
		r.checkZero(s.WrongAnswers, "wrong answers")
		r.checkZero(s.FalseNotRun, "requests that ran but were answered as not run")
		r.checkZero(s.RanMoreThanOnce, "non-idempotent requests that ran more than once")
		r.checkZero(s.FalseRan, "requests that did not run but were answered as run")
		r.checkZero(s.Interrupted(), "interrupted requests")
		for _, v := range append(s.Violations, s.Losses...) {
			r.addViolation("%s", v)
		}
	}
	if r.mixed.ByVerdict[loadgen.VerdictRan] == 0 {
		r.addViolation("no request ran")
	}
	if r.rolloutTime > rolloutLimit {
		r.addViolation("catalogue in force after %s, limit %s", r.rolloutTime, rolloutLimit)
	}
	r.checkZero(observed.PoolOverlaps, "tasks started while a task of another pool ran on the host")
	for _, t := range observed.Targets {
		after := t.LastStart.Sub(r.leavingSince)
		if t.Name == r.leavingHost && after > leavingLimit {
			r.addViolation("%s got new work %s after it was marked leaving", t.Name, after)
		}
	}
}

func (r *report) checkZero(n int, what string) {
	if n > 0 {
		r.addViolation("%d %s", n, what)
	}
}

func (r *report) print(w io.Writer) {
	fmt.Fprintf(w, "requests            %d\n", r.shortOnly.Requests+r.mixed.Requests)
	for _, v := range verdicts(r.shortOnly, r.mixed) {
		fmt.Fprintf(w, "  %-17s %d\n", v, r.shortOnly.ByVerdict[v]+r.mixed.ByVerdict[v])
	}
	for _, reason := range reasons(r.shortOnly, r.mixed) {
		fmt.Fprintf(w, "    %-30s %d\n", reason, r.shortOnly.ByReason[reason]+r.mixed.ByReason[reason])
	}
	fmt.Fprintf(w, "wrong answers       %d\n", r.shortOnly.WrongAnswers+r.mixed.WrongAnswers)
	printLatency(w, "without long work", r.shortOnly)
	printLatency(w, "with long work", r.mixed)
	fmt.Fprintf(w, "catalogue in force  %.2f s on all daemons\n", r.rolloutTime.Seconds())
	fmt.Fprintf(w, "host moves          %d\n", r.moves)
	fmt.Fprintf(w, "log appends         %d (%d bytes)\n", r.observed.Appends, r.observed.AppendBytes)
	if len(r.violations) == 0 {
		fmt.Fprintln(w, "no violations")
		return
	}
	for _, v := range r.violations {
		fmt.Fprintln(w, "VIOLATION:", v)
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
