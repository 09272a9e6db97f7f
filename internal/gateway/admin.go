package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/fasthttp/router"
	"github.com/goccy/go-yaml"
	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/pprofhandler"

	"greengagedeck/internal/catalogue"
	"greengagedeck/internal/decision"
	"greengagedeck/internal/record"
	"greengagedeck/internal/replica"
)

// editTimeout bounds how long an edit waits for its outcome.
const editTimeout = 20 * time.Second

// Appender appends a record and returns the outcome of applying it.
type Appender interface {
	Append(ctx context.Context, rec record.Record) (replica.ApplyResult, error)
}

// Reports renders the reports that operators ask for. format is "json",
// "table" or "html".
type Reports interface {
	Burn(format string) (contentType string, body []byte, err error)
	Measures(format string) (contentType string, body []byte, err error)
}

// Traces finds traced requests.
type Traces interface {
	Trace(ctx context.Context, id string) []decision.Trace
}

// AdminOptions configure AdminAPI.
type AdminOptions struct {
	// Self is this daemon's ID.
	Self     string
	Tokens   []Token
	State    func() *replica.State
	Appender Appender
	Status   func() Status
	Ready    func() bool
	Reports  Reports
	Traces   Traces
	// Metrics serves the metrics page.
	Metrics fasthttp.RequestHandler
	Logger  zerolog.Logger
}

// AdminAPI serves the operators' HTTP interface.
type AdminAPI struct {
	opt  AdminOptions
	auth authenticator
}

// NewAdminAPI returns the administration API.
func NewAdminAPI(opt AdminOptions) *AdminAPI {
	return &AdminAPI{opt: opt, auth: authenticator{opt.Tokens}}
}

// Handler returns the handler of the administration listener.
func (a *AdminAPI) Handler() fasthttp.RequestHandler {
	r := router.New()
	r.GET("/healthz", func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok\n") })
	r.GET("/readyz", a.readyz)
	r.GET("/metrics", a.opt.Metrics)
	r.GET("/debug/pprof/{name:*}", a.authenticated(a.profile))
	r.GET("/v1/status", a.authenticated(a.status))
	r.GET("/v1/catalogue", a.authenticated(a.catalogue))
	r.POST("/v1/catalogue", a.authenticated(a.apply))
	r.GET("/v1/catalogue/history", a.authenticated(a.history))
	r.GET("/v1/hosts", a.authenticated(a.hosts))
	r.GET("/v1/explain/{kind}/{name}", a.authenticated(a.explain))
	r.GET("/v1/reports/{report}", a.authenticated(a.report))
	return r.Handler
}

// teamHandler serves a request that was authenticated as team.
type teamHandler func(ctx *fasthttp.RequestCtx, team string)

func (a *AdminAPI) authenticated(op teamHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		team, ok := a.auth.team(&ctx.Request.Header)
		if !ok {
			writeAdminError(ctx, fasthttp.StatusUnauthorized, eris.New("missing or unknown token"))
			return
		}
		op(ctx, team)
	}
}

func (a *AdminAPI) readyz(ctx *fasthttp.RequestCtx) {
	if a.opt.Ready() {
		ctx.SetBodyString("ready\n")
		return
	}
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	ctx.SetBodyString("not ready\n")
}

// profile serves the runtime's profiles to administrators.
func (a *AdminAPI) profile(ctx *fasthttp.RequestCtx, team string) {
	if team != AdminTeam {
		writeAdminError(ctx, fasthttp.StatusForbidden, eris.Errorf("team %s may not read profiles", team))
		return
	}
	pprofhandler.PprofHandler(ctx)
}

func (a *AdminAPI) status(ctx *fasthttp.RequestCtx, _ string) { writeJSON(ctx, a.opt.Status()) }

func (a *AdminAPI) catalogue(ctx *fasthttp.RequestCtx, team string) {
	state := a.opt.State()
	doc := visibleDocument(team, state.Catalogue.Document())
	if string(ctx.QueryArgs().Peek("format")) == "json" {
		writeJSON(ctx, doc)
		return
	}
	data, err := yaml.Marshal(doc)
	if err != nil {
		writeAdminError(ctx, fasthttp.StatusInternalServerError, err)
		return
	}
	ctx.SetContentType("application/yaml")
	ctx.SetBody(data)
}

// EditResult is the response to an applied catalogue.
type EditResult struct {
	// ID is the edit's ID. Sending the edit again with this ID, to any
	// daemon, changes nothing further and returns the same response.
	ID      string `json:"id"`
	Version uint64 `json:"version"`
	// Changed lists the changed objects. If it is empty, no edit was made.
	Changed []string `json:"changed"`
	DryRun  bool     `json:"dry_run,omitempty"`
}

func (a *AdminAPI) apply(ctx *fasthttp.RequestCtx, team string) {
	id, err := editID(ctx)
	if err != nil {
		writeAdminError(ctx, fasthttp.StatusBadRequest, err)
		return
	}
	if d, ok := a.opt.State().Decisions.ByID(id); ok {
		a.writeOutcome(ctx, id, d.Offset, d.Accepted, d.Refusal, d.Subjects)
		return
	}
	e, doc, err := a.readEdit(ctx, team)
	if err != nil {
		writeAdminError(ctx, fasthttp.StatusBadRequest, err)
		return
	}
	state := a.opt.State()
	if err := authorizeEdit(team, &state.Catalogue, doc, e.Changes); err != nil {
		writeAdminError(ctx, fasthttp.StatusForbidden, err)
		return
	}
	if len(e.Changes) == 0 || ctx.QueryArgs().GetBool("dry_run") {
		writeJSON(ctx, EditResult{ID: id.String(), Version: state.Catalogue.Version, Changed: changedKeys(e), DryRun: true})
		return
	}
	a.appendEdit(ctx, id, team, e)
}

func editID(ctx *fasthttp.RequestCtx) (ulid.ULID, error) {
	v := string(ctx.QueryArgs().Peek("id"))
	if v == "" {
		return ulid.Make(), nil
	}
	id, err := ulid.ParseStrict(v)
	return id, eris.Wrapf(err, "id %q is not a ULID", v)
}

// readEdit turns the posted catalogue file into an edit against this daemon's
// current state. If that state lags, the edit is rejected when it is applied.
func (a *AdminAPI) readEdit(ctx *fasthttp.RequestCtx, team string) (catalogue.Edit, catalogue.Document, error) {
	args := ctx.QueryArgs()
	file := string(args.Peek("file"))
	current := a.opt.State().Catalogue.Document()
	prune := args.GetBool("prune")
	doc, err := catalogue.LoadMerged(file, ctx.PostBody(), current, prune)
	if err != nil {
		return catalogue.Edit{}, doc, err
	}
	changes, err := catalogue.Diff(current, doc, prune)
	if err != nil {
		return catalogue.Edit{}, doc, err
	}
	base := doc.Version
	if base == 0 {
		base = current.Version
	}
	operator := string(args.Peek("operator"))
	if operator == "" {
		operator = team
	}
	return catalogue.Edit{Base: base, Operator: operator, Changes: changes}, doc, nil
}

func (a *AdminAPI) appendEdit(ctx *fasthttp.RequestCtx, id ulid.ULID, team string, e catalogue.Edit) {
	cause := record.Cause{Object: "team/" + team, Owner: team, Version: e.Base, Reason: "edit by " + e.Operator}
	rec, err := record.New(catalogue.KindEdit, a.opt.Self, time.Now(), cause, e)
	if err != nil {
		writeAdminError(ctx, fasthttp.StatusInternalServerError, err)
		return
	}
	rec.ID = id
	wait, cancel := context.WithTimeout(context.Background(), editTimeout)
	defer cancel()
	got, err := a.opt.Appender.Append(wait, rec)
	if errors.Is(err, replica.ErrOutcomePending) {
		err = eris.Errorf("edit %s is not decided: the platform's log does not answer; send it again with this id", id)
		writeAdminError(ctx, fasthttp.StatusServiceUnavailable, err)
		return
	}
	if err != nil {
		writeAdminError(ctx, fasthttp.StatusInternalServerError, err)
		return
	}
	a.writeOutcome(ctx, id, got.Offset, got.Outcome.Accepted, got.Outcome.Reason, got.Outcome.Subjects)
}

func (a *AdminAPI) writeOutcome(ctx *fasthttp.RequestCtx, id ulid.ULID, offset uint64, accepted bool, reason string, changed []string) {
	if !accepted {
		writeAdminError(ctx, fasthttp.StatusConflict, eris.New(reason))
		return
	}
	writeJSON(ctx, EditResult{ID: id.String(), Version: offset, Changed: changed})
}

func changedKeys(e catalogue.Edit) []string {
	out := make([]string, 0, len(e.Changes))
	for _, ch := range e.Changes {
		out = append(out, ch.Key.String())
	}
	return out
}

func (a *AdminAPI) history(ctx *fasthttp.RequestCtx, _ string) {
	limit := ctx.QueryArgs().GetUintOrZero("limit")
	if limit == 0 {
		limit = 50
	}
	state := a.opt.State()
	edits := state.Decisions.ByKind(catalogue.KindEdit)
	if len(edits) > limit {
		edits = edits[len(edits)-limit:]
	}
	writeJSON(ctx, edits)
}

func (a *AdminAPI) hosts(ctx *fasthttp.RequestCtx, _ string) {
	writeJSON(ctx, hostStatuses(a.opt.State()))
}

// Explanation holds the decisions and traces recorded about a subject.
type Explanation struct {
	Subject   string              `json:"subject"`
	Decisions []decision.Decision `json:"decisions,omitempty"`
	Traces    []decision.Trace    `json:"traces,omitempty"`
}

func (a *AdminAPI) explain(ctx *fasthttp.RequestCtx, _ string) {
	kind, _ := ctx.UserValue("kind").(string)
	name, _ := ctx.UserValue("name").(string)
	out := Explanation{Subject: kind + "/" + name}
	if kind == "request" {
		wait, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		out.Traces = a.opt.Traces.Trace(wait, strings.ToUpper(name))
	} else {
		state := a.opt.State()
		out.Decisions = state.Decisions.BySubject(out.Subject)
	}
	if len(out.Decisions)+len(out.Traces) == 0 {
		writeAdminError(ctx, fasthttp.StatusNotFound, eris.Errorf("nothing is known about %s", out.Subject))
		return
	}
	writeJSON(ctx, out)
}

func (a *AdminAPI) report(ctx *fasthttp.RequestCtx, _ string) {
	name, _ := ctx.UserValue("report").(string)
	format := string(ctx.QueryArgs().Peek("format"))
	if format == "" {
		format = "json"
	}
	render, ok := map[string]func(string) (string, []byte, error){
		"burn":     a.opt.Reports.Burn,
		"measures": a.opt.Reports.Measures,
	}[name]
	if !ok {
		writeAdminError(ctx, fasthttp.StatusNotFound, eris.Errorf("no report %q: there are burn and measures", name))
		return
	}
	contentType, body, err := render(format)
	if err != nil {
		writeAdminError(ctx, fasthttp.StatusBadRequest, err)
		return
	}
	ctx.SetContentType(contentType)
	ctx.SetBody(body)
}

// errorBody is the response body of every failed operation.
type errorBody struct {
	Error    string              `json:"error"`
	Problems []catalogue.Problem `json:"problems,omitempty"`
}

func writeAdminError(ctx *fasthttp.RequestCtx, status int, err error) {
	f := errorBody{Error: err.Error()}
	var invalid *catalogue.InvalidError
	if errors.As(err, &invalid) {
		f.Problems = invalid.Problems
	}
	writeJSON(ctx, f)
	ctx.SetStatusCode(status)
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		ctx.Error(strconv.Quote(err.Error()), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(append(data, '\n'))
}
