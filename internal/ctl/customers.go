package ctl

import (
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"greengagedeck/internal/fleetview"
	"greengagedeck/internal/scheduler"
)

// customersCommand lists the customers of a fleet.
func (a *app) customersCommand() *ffcli.Command {
	var after string
	return a.leaf("", command{
		name: "customers", usage: "customers [flags]", help: "show what each customer of a fleet runs and waits for",
		flags: func(fs *flag.FlagSet) { fs.StringVar(&after, "after", "", "leave out the customers up to this name") },
		exec:  func(_ context.Context, args []string) error { return a.customers(args, after) },
	})
}

// customers lists the customers of a fleet after a name.
func (a *app) customers(args []string, after string) error {
	if len(args) > 0 {
		return usagef("customers takes no argument; see: explain customer NAME")
	}
	query := url.Values{}
	if after != "" {
		query.Set("after", after)
	}
	body, err := a.client().get("/v1/customers", query)
	if err != nil || a.output == "json" {
		return a.writeBodyOrError(body, err)
	}
	var list fleetview.CustomerList
	if err := json.Unmarshal(body, &list); err != nil {
		return eris.Wrap(err, "read answer")
	}
	return a.printCustomers(list)
}

func (a *app) printCustomers(list fleetview.CustomerList) error {
	t := newTable(a.out, "CUSTOMER", "WEIGHT", "LIMIT", "USED", "WANTED", "JOBS", "JOBS WAITING", "TASKS", "TASKS WAITING", "OLDEST WAIT", "POOLS", "WAITS FOR")
	for _, c := range list.Customers {
		t.row(c.Name, weight(c.Configured, c.Weight), limit(c.Limit), amount(c.Used), amount(c.Wanted),
			strconv.Itoa(c.JobsRunning), strconv.Itoa(c.JobsWaiting), strconv.Itoa(c.TasksRunning), strconv.Itoa(c.TasksWaiting),
			millis(c.OldestWaitMs), strconv.Itoa(c.PoolsUsed), waits(c.Waits))
	}
	if err := t.flush(); err != nil {
		return err
	}
	if list.Next != "" {
		fmt.Fprintf(a.out, "more customers follow: -after %q\n", list.Next)
	}
	a.printUnanswered(list.Unanswered, list.Pools)
	return nil
}

// explainCustomer shows what a customer runs and waits for in each pool.
func (a *app) explainCustomer(name string) error {
	body, err := a.client().get("/v1/customers/"+url.PathEscape(name), nil)
	if err != nil || a.output == "json" {
		return a.writeBodyOrError(body, err)
	}
	var c fleetview.CustomerView
	if err := json.Unmarshal(body, &c); err != nil {
		return eris.Wrap(err, "read answer")
	}
	fmt.Fprintf(a.out, "customer %s, weight %s, limit %s, uses %s, wants %s more\n", c.Name, weight(c.Configured, c.Weight), limit(c.Limit), amount(c.Used), amount(c.Wanted))
	if !c.Configured && c.Name != fleetview.NoCustomer {
		fmt.Fprintln(a.out, "the configuration does not have the customer any more")
	}
	t := newTable(a.out, "POOL", "GRANT", "USED", "WANTED", "SHARE", "WEIGHT", "JOBS", "JOBS WAITING", "TASKS", "TASKS WAITING", "OLDEST WAIT", "WAITS FOR", "DAEMON")
	for _, p := range c.ByPool {
		grant := "-"
		if p.Grant != nil {
			grant = grantOf(*p.Grant, c.Limit)
		}
		t.row(p.Pool, grant, amount(p.Used), amount(p.Wanted), share(p), weight(p.Weight > 0, p.Weight),
			strconv.Itoa(p.JobsRunning), strconv.Itoa(p.JobsWaiting), strconv.Itoa(p.TasksRunning), strconv.Itoa(p.TasksWaiting),
			millis(p.OldestWaitMs), waits(p.Waits), p.Daemon)
	}
	if err := t.flush(); err != nil {
		return err
	}
	a.printUnanswered(c.Unanswered, c.Pools)
	return nil
}

// explainJob shows why a job waits and where it runs.
func (a *app) explainJob(id string) error {
	body, err := a.client().get("/v1/jobs/"+url.PathEscape(id), nil)
	if err != nil || a.output == "json" {
		return a.writeBodyOrError(body, err)
	}
	var j fleetview.JobView
	if err := json.Unmarshal(body, &j); err != nil {
		return eris.Wrap(err, "read answer")
	}
	a.printJob(j)
	if err := a.printSteps(j); err != nil {
		return err
	}
	if err := a.printRuns(j); err != nil {
		return err
	}
	a.printUnanswered(j.Unanswered, 0)
	return nil
}

func (a *app) printJob(j fleetview.JobView) {
	fmt.Fprintf(a.out, "job %s, %s, customer %s, pool %s at %s\n", j.ID, j.Phase, j.Customer, j.Pool, j.Daemon)
	if j.EndedAt != nil {
		fmt.Fprintf(a.out, "ended %s\n", j.EndedAt.Format(time.RFC3339))
	}
	if !j.Open {
		return
	}
	if j.Unstored {
		fmt.Fprintln(a.out, "not accepted yet: the log may not hold it")
	}
	fmt.Fprintf(a.out, "entry %s, priority %d, age %s, objective %s, slack %s\n", j.Entry, j.Priority, millis(j.AgeMs), millis(j.ObjectiveMs), millis(j.SlackMs))
	if j.NextDueMs != nil {
		fmt.Fprintf(a.out, "the next occurrence is due in %s\n", millis(*j.NextDueMs))
	}
}

func (a *app) printSteps(j fleetview.JobView) error {
	if len(j.Steps) == 0 {
		return nil
	}
	t := newTable(a.out, "STEP", "TASKS", "DONE", "RUNNING", "WAITING", "FOR", "REASON", "NEEDS")
	for _, s := range j.Steps {
		t.row(fmt.Sprintf("%d.%d", s.Occurrence, s.Step), strconv.Itoa(s.Tasks), strconv.Itoa(s.Done), strconv.Itoa(s.Running), strconv.Itoa(s.Waiting),
			millis(s.WaitingMs), stepReason(s), amount(s.Need))
	}
	if err := t.flush(); err != nil {
		return err
	}
	a.printLeftOut(j.StepsLeftOut, "steps")
	return nil
}

// stepReason returns why tasks of a step wait, with what is free if that is too little.
func stepReason(s fleetview.StepView) string {
	if s.Reason == scheduler.NoRunNoResources {
		return fmt.Sprintf("%s (most free: cpu %d)", s.Reason, s.MostFreeCPU)
	}
	return string(s.Reason)
}

func (a *app) printRuns(j fleetview.JobView) error {
	if len(j.Runs) == 0 {
		return nil
	}
	t := newTable(a.out, "TASK", "RUN", "WORKER", "STATE", "FOR", "SILENT", "STOPPED FOR")
	for _, r := range j.Runs {
		state := "active"
		if !r.Active {
			state = string(r.Reason)
		}
		t.row(r.Task, strconv.Itoa(r.Number), r.Worker, state, millis(r.SinceMs), millis(r.SilentMs), r.StopReason)
	}
	if err := t.flush(); err != nil {
		return err
	}
	a.printLeftOut(j.RunsLeftOut, "runs")
	return nil
}

func (a *app) printLeftOut(n int, what string) {
	if n > 0 {
		fmt.Fprintf(a.out, "%d more %s are left out\n", n, what)
	}
}

// printUnanswered names the pools that did not answer, of a number of pools if that is
// known.
func (a *app) printUnanswered(unanswered []fleetview.Unanswered, pools int) {
	if len(unanswered) == 0 {
		return
	}
	if pools > 0 {
		fmt.Fprintf(a.out, "%d of %d pools did not answer and are left out:\n", len(unanswered), pools)
	} else {
		fmt.Fprintln(a.out, "pools that did not answer:")
	}
	for _, u := range unanswered {
		fmt.Fprintf(a.out, "  pool %s, held by %s: %s\n", u.Pool, cmp.Or(u.Daemon, "no daemon"), u.Reason)
	}
}

// amount returns resources in a table.
func amount(r fleetview.Resources) string { return amountOf(r, r) }

// grantOf returns a grant in a table. Resources that the limit does not name have none.
func grantOf(grant, limit fleetview.Resources) string {
	if limit == (fleetview.Resources{}) {
		// The daemon that answered has another configuration than the holder.
		limit = grant
	}
	return amountOf(grant, limit)
}

// amountOf returns the amounts in r of those resources that shown has.
func amountOf(r, shown fleetview.Resources) string {
	var parts []string
	for _, p := range []struct {
		name     string
		n, shown int
	}{{"cpu", r.CPU, shown.CPU}, {"mb", r.MemoryMB, shown.MemoryMB}, {"gpu", r.GPU, shown.GPU}} {
		if p.shown != 0 {
			parts = append(parts, fmt.Sprintf("%s %d", p.name, p.n))
		}
	}
	if parts == nil {
		return "0"
	}
	return strings.Join(parts, " ")
}

// limit returns a customer's limit, which no amount limits if it is 0.
func limit(r fleetview.Resources) string {
	if r == (fleetview.Resources{}) {
		return "-"
	}
	return amount(r)
}

// weight returns a weight if there is one.
func weight(known bool, w float64) string {
	if !known {
		return "-"
	}
	return strconv.FormatFloat(w, 'g', -1, 64)
}

// share returns the part of a pool that a customer uses, if the holder knows it.
func share(p fleetview.PoolLoad) string {
	if p.Weight == 0 && p.Share == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", 100*p.Share)
}

// millis returns a duration in a table.
func millis(ms int64) string {
	if ms == 0 {
		return "-"
	}
	return (time.Duration(ms) * time.Millisecond).String()
}

// waits returns how many tasks wait for each reason, most first.
func waits(counts map[scheduler.NoRunReason]int) string {
	reasons := slices.SortedFunc(maps.Keys(counts), func(a, b scheduler.NoRunReason) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	parts := make([]string, 0, len(reasons))
	for _, r := range reasons {
		parts = append(parts, fmt.Sprintf("%s %d", r, counts[r]))
	}
	return strings.Join(parts, ", ")
}

// explainFleet shows a customer or a job of a fleet. It returns false if kind is neither.
func (a *app) explainFleet(kind, name string) (bool, error) {
	switch {
	case kind != "customer" && kind != "job":
		return false, nil
	case name == "":
		return true, usagef("explain %s needs a name", kind)
	case kind == "customer":
		return true, a.explainCustomer(name)
	default:
		return true, a.explainJob(name)
	}
}
