package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"greengagedeck/internal/decision"
	"greengagedeck/internal/gateway"
)

// table writes aligned columns.
type table struct{ w *tabwriter.Writer }

func newTable(out io.Writer, header ...string) *table {
	t := &table{tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)}
	t.row(header...)
	return t
}

func (t *table) row(cells ...string) { fmt.Fprintln(t.w, strings.Join(cells, "\t")) }

func (t *table) flush() error { return t.w.Flush() }

func (a *app) writeBody(body []byte) error {
	_, err := a.out.Write(body)
	return eris.Wrap(err, "write")
}

func (a *app) writeBodyOrError(body []byte, err error) error {
	if err != nil {
		return err
	}
	return a.writeBody(body)
}

func (a *app) status(context.Context, []string) error {
	body, err := a.client().get("/v1/status", nil)
	if err != nil || a.output == "json" {
		return a.writeBodyOrError(body, err)
	}
	var s gateway.Status
	if err := json.Unmarshal(body, &s); err != nil {
		return eris.Wrap(err, "read answer")
	}
	fmt.Fprintf(a.out, "daemon %s on %s in %s, release %s\n", s.Daemon, s.Host, s.Zone, s.Release)
	fmt.Fprintf(a.out, "catalogue version %d, offset %d, ready %t, log down %t\n", s.CatalogueVersion, s.Offset, s.Ready, s.LogDown)
	t := newTable(a.out, "HOST", "ZONE", "LIVE", "OFFSET", "IN FORCE", "MEMBER")
	for _, m := range s.Members {
		t.row(m.Host, m.Zone, strconv.FormatBool(m.Live), strconv.FormatUint(m.Offset, 10), strconv.FormatBool(m.Offset >= s.CatalogueVersion), m.ID)
	}
	return t.flush()
}

func (a *app) hosts(context.Context, []string) error {
	body, err := a.client().get("/v1/hosts", nil)
	if err != nil || a.output == "json" {
		return a.writeBodyOrError(body, err)
	}
	var rows []gateway.HostStatus
	if err := json.Unmarshal(body, &rows); err != nil {
		return eris.Wrap(err, "read answer")
	}
	t := newTable(a.out, "HOST", "ZONE", "RACK", "ADDRESS", "POOL", "PHASE", "SINCE")
	for _, h := range rows {
		t.row(h.Name, h.Zone, h.Rack, h.Address, h.Pool, h.Phase, strconv.FormatUint(h.Since, 10))
	}
	return t.flush()
}

func (a *app) explain(_ context.Context, args []string) error {
	if len(args) != 2 {
		return usagef("explain needs KIND and NAME, such as: explain host ph-north-a-w01")
	}
	if done, err := a.explainFleet(args[0], args[1]); done {
		return err
	}
	body, err := a.client().get("/v1/explain/"+url.PathEscape(args[0])+"/"+url.PathEscape(args[1]), nil)
	if err != nil || a.output == "json" {
		return a.writeBodyOrError(body, err)
	}
	var e gateway.Explanation
	if err := json.Unmarshal(body, &e); err != nil {
		return eris.Wrap(err, "read answer")
	}
	if len(e.Traces) > 0 {
		return a.printTraces(e.Traces)
	}
	return a.printDecisions(e.Decisions)
}

func (a *app) printTraces(traces []decision.Trace) error {
	t := newTable(a.out, "ARRIVED", "DAEMON", "ENTRY", "OWNER", "POOL", "CLASS", "HOST", "ATTEMPTS", "VERDICT", "REASON", "QUEUED", "TOOK")
	for _, tr := range traces {
		t.row(tr.Arrived.Format(time.RFC3339Nano), tr.Daemon, tr.Entry, tr.Owner, tr.Pool, tr.Class, tr.Host, strconv.Itoa(tr.Attempts), tr.Verdict.String(), tr.Reason, tr.QueueTime.String(), tr.Duration.String())
	}
	return t.flush()
}

func (a *app) reportCommands() *ffcli.Command {
	return a.group("report", "print a report",
		a.leaf("report", command{
			name: "burn", usage: "burn [flags]", help: "service-level burn by service and entry; -o table, json or html",
			exec: func(context.Context, []string) error { return a.report("burn") },
		}),
		a.leaf("report", command{
			name: "measures", usage: "measures [flags]", help: "buffer cost, roll-out time, host moves, head-of-line blocking; -o table or json",
			exec: func(context.Context, []string) error { return a.report("measures") },
		}),
	)
}

func (a *app) report(name string) error {
	body, err := a.client().get("/v1/reports/"+name, url.Values{"format": {a.output}})
	return a.writeBodyOrError(body, err)
}
