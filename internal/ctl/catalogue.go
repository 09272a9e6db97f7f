package ctl

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/url"
	"os"
	"os/user"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"greengagedeck/internal/catalogue"
	"greengagedeck/internal/decision"
	"greengagedeck/internal/gateway"
)

func (a *app) catalogueCommands() *ffcli.Command {
	var apply applyFlags
	var limit int
	return a.group("catalogue", "read, check and change the catalogue",
		a.leaf("catalogue", command{
			name: "validate", usage: "validate FILE", help: "check a complete catalogue file without a daemon",
			exec: a.validate,
		}),
		a.leaf("catalogue", command{
			name: "apply", usage: "apply [flags] FILE", help: "put a catalogue file in force; - reads standard input",
			flags: apply.register,
			exec:  func(_ context.Context, args []string) error { return a.apply(args, apply) },
		}),
		a.leaf("catalogue", command{
			name: "get", usage: "get [flags]", help: "print the catalogue in force, with its version",
			exec: a.get,
		}),
		a.leaf("catalogue", command{
			name: "history", usage: "history [flags]", help: "list edits, including rejected ones",
			flags: func(fs *flag.FlagSet) { fs.IntVar(&limit, "limit", 50, "how many edits to list") },
			exec:  func(context.Context, []string) error { return a.history(limit) },
		}),
	)
}

type applyFlags struct {
	prune    bool
	dryRun   bool
	id       string
	operator string
}

func (f *applyFlags) register(fs *flag.FlagSet) {
	fs.BoolVar(&f.prune, "prune", false, "remove objects that the file lacks")
	fs.BoolVar(&f.dryRun, "dry-run", false, "check and show what would change")
	fs.StringVar(&f.id, "id", "", "ID of the edit (a ULID); repeat an edit safely by giving its ID again")
	fs.StringVar(&f.operator, "operator", operatorName(), "name to record the edit under")
}

func operatorName() string {
	u, err := user.Current()
	if err != nil {
		return ""
	}
	return u.Username
}

// readFile returns the content of the one file named in args.
func (a *app) readFile(args []string) (name string, data []byte, err error) {
	if len(args) != 1 {
		return "", nil, usagef("exactly one FILE is needed, got %d", len(args))
	}
	if args[0] == "-" {
		data, err = io.ReadAll(io.LimitReader(a.in, catalogue.MaxFileBytes+1))
		return "stdin", data, eris.Wrap(err, "read standard input")
	}
	data, err = os.ReadFile(args[0])
	return filepath.Base(args[0]), data, eris.Wrap(err, "read catalogue")
}

func (a *app) validate(_ context.Context, args []string) error {
	name, data, err := a.readFile(args)
	if err != nil {
		return err
	}
	doc, err := catalogue.Load(name, data)
	if err != nil {
		return err
	}
	fmt.Fprintf(a.out, "%s: %d teams, %d pools, %d hosts, %d entries, %d waves\n", name, len(doc.Teams), len(doc.Pools), len(doc.Hosts), len(doc.Entries), len(doc.Waves))
	return nil
}

func (a *app) apply(args []string, f applyFlags) error {
	name, data, err := a.readFile(args)
	if err != nil {
		return err
	}
	if f.id == "" {
		f.id = ulid.Make().String()
	}
	query := url.Values{
		"file":     {name},
		"id":       {f.id},
		"operator": {f.operator},
		"prune":    {strconv.FormatBool(f.prune)},
		"dry_run":  {strconv.FormatBool(f.dryRun)},
	}
	body, err := a.client().post("/v1/catalogue", query, data)
	if err != nil {
		return err
	}
	if a.output == "json" {
		return a.writeBody(body)
	}
	var res gateway.EditResult
	if err := json.Unmarshal(body, &res); err != nil {
		return eris.Wrap(err, "read answer")
	}
	a.printEdit(res)
	return nil
}

func (a *app) printEdit(res gateway.EditResult) {
	switch {
	case len(res.Changed) == 0:
		fmt.Fprintf(a.out, "nothing to change at version %d\n", res.Version)
	case res.DryRun:
		fmt.Fprintf(a.out, "would change %d objects: %s\n", len(res.Changed), strings.Join(res.Changed, " "))
	default:
		fmt.Fprintf(a.out, "version %d: changed %d objects: %s\n", res.Version, len(res.Changed), strings.Join(res.Changed, " "))
	}
}

func (a *app) get(context.Context, []string) error {
	format := "yaml"
	if a.output == "json" {
		format = "json"
	}
	body, err := a.client().get("/v1/catalogue", url.Values{"format": {format}})
	if err != nil {
		return err
	}
	return a.writeBody(body)
}

func (a *app) history(limit int) error {
	body, err := a.client().get("/v1/catalogue/history", url.Values{"limit": {strconv.Itoa(limit)}})
	if err != nil || a.output == "json" {
		return a.writeBodyOrError(body, err)
	}
	var edits []decision.Decision
	if err := json.Unmarshal(body, &edits); err != nil {
		return eris.Wrap(err, "read answer")
	}
	return a.printDecisions(edits)
}

func (a *app) printDecisions(ds []decision.Decision) error {
	t := newTable(a.out, "OFFSET", "TIME", "KIND", "OUTCOME", "CAUSE", "OWNER", "SUBJECTS", "REASON")
	for _, d := range ds {
		outcome := "accepted"
		reason := d.Cause.Reason
		if !d.Accepted {
			outcome = "refused"
			reason = d.Refusal
		}
		t.row(strconv.FormatUint(d.Offset, 10), d.At.Format(time.RFC3339), string(d.Kind), outcome, d.Cause.Object, d.Cause.Owner, summarizeSubjects(d.Subjects), reason)
	}
	return t.flush()
}

// maxListedSubjects is how many subjects a table row names.
const maxListedSubjects = 4

func summarizeSubjects(names []string) string {
	if len(names) <= maxListedSubjects {
		return strings.Join(names, " ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:maxListedSubjects], " "), len(names)-maxListedSubjects)
}
