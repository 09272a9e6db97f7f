// Package platformsim stands in for the platform: its log, its host list and
// its control over tasks, with switches for their failures.
package platformsim

import (
	"encoding/json"
	"net"
	"strconv"
	"time"

	"github.com/fasthttp/router"
	"github.com/fxamacker/cbor/v2"
	"github.com/valyala/fasthttp"

	"greengagedeck/internal/platform/httpplatform"
)

// maxBodyBytes bounds a record; snapshots are the largest.
const maxBodyBytes = 32 << 20

// Worker is a machine that the platform controls.
type Worker interface {
	Usage() httpplatform.UsageResponse
	Checkpoint()
	Throttle(share float64)
	Stop()
	Drain()
	Reboot()
}

// Options configures a Platform.
type Options struct {
	// Hosts is the list to start with.
	Hosts []httpplatform.HostResponse
	// Workers are the machines by host ID.
	Workers map[string]Worker
	// Log sets the log's limits to start with.
	Log LogSwitches
}

// Platform serves the platform's protocol, and its switches below /admin.
type Platform struct {
	log     *log
	hosts   *hostList
	workers map[string]Worker
	router  *router.Router
	server  *fasthttp.Server
}

// New returns a platform that does not listen yet.
func New(opts Options) *Platform {
	p := &Platform{
		log:     newLog(opts.Log),
		hosts:   newHostList(opts.Hosts),
		workers: opts.Workers,
		router:  router.New(),
	}
	p.routes()
	p.server = &fasthttp.Server{
		Handler:            p.router.Handler,
		MaxRequestBodySize: maxBodyBytes,
		CloseOnShutdown:    true,
		Logger:             silent{},
	}
	return p
}

// silent drops the library's log lines: faults make many of them.
type silent struct{}

func (silent) Printf(string, ...any) {}

// Router lets a deployment add its own admin paths before it serves.
func (p *Platform) Router() *router.Router { return p.router }

// Serve answers on ln until Close.
func (p *Platform) Serve(ln net.Listener) error { return p.server.Serve(ln) }

// Close stops serving.
func (p *Platform) Close() error { return p.server.Shutdown() }

// SetLog changes the log's switches.
func (p *Platform) SetLog(s LogSwitches) { p.log.set(s) }

// SetList changes the list's switches.
func (p *Platform) SetList(s ListSwitches) { p.hosts.set(s) }

// PutHost adds or replaces a host of the list.
func (p *Platform) PutHost(h httpplatform.HostResponse) { p.hosts.put(h) }

// DropHost removes a host from the list.
func (p *Platform) DropHost(id string) { p.hosts.drop(id) }

// MarkLeaving marks a host as leaving. It reports false for an unknown host.
func (p *Platform) MarkLeaving(id string, leaving bool) bool {
	h, ok := p.hosts.find(id)
	h.Leaving = leaving
	if ok {
		p.hosts.put(h)
	}
	return ok
}

// Appends returns how many appends took effect, and their bytes.
func (p *Platform) Appends() (count, bytes int) {
	p.log.mu.Lock()
	defer p.log.mu.Unlock()
	return p.log.appends, p.log.bytes
}

func (p *Platform) routes() {
	p.router.POST(httpplatform.PathRecords, p.append)
	p.router.GET(httpplatform.PathRecords, p.read)
	p.router.GET(httpplatform.PathBounds, p.bounds)
	p.router.GET(httpplatform.PathHosts, p.list)
	p.router.GET(httpplatform.PathUsage, p.usage)
	p.router.POST(httpplatform.PathAction, p.act)
	p.router.GET("/admin/log", func(ctx *fasthttp.RequestCtx) { WriteJSON(ctx, p.log.get()) })
	p.router.PUT("/admin/log", func(ctx *fasthttp.RequestCtx) { Patch(ctx, p.log.get(), p.log.set) })
	p.router.GET("/admin/list", func(ctx *fasthttp.RequestCtx) { WriteJSON(ctx, p.hosts.get()) })
	p.router.PUT("/admin/list", func(ctx *fasthttp.RequestCtx) { Patch(ctx, p.hosts.get(), p.hosts.set) })
	p.router.PUT("/admin/hosts/{host}", p.putHost)
	p.router.DELETE("/admin/hosts/{host}", func(ctx *fasthttp.RequestCtx) {
		p.hosts.drop(param(ctx, "host"))
	})
}

// Patch reads a JSON body over the current switches and sets the result.
func Patch[T any](ctx *fasthttp.RequestCtx, current T, set func(T)) {
	if err := json.Unmarshal(ctx.PostBody(), &current); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	set(current)
	WriteJSON(ctx, current)
}

// WriteJSON answers with v.
func WriteJSON(ctx *fasthttp.RequestCtx, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

func (p *Platform) putHost(ctx *fasthttp.RequestCtx) {
	id := param(ctx, "host")
	h, _ := p.hosts.find(id)
	h.ID = id
	Patch(ctx, h, p.hosts.put)
}

func param(ctx *fasthttp.RequestCtx, name string) string {
	s, _ := ctx.UserValue(name).(string)
	return s
}

func writeCBOR(ctx *fasthttp.RequestCtx, status int, v any) {
	data, err := cbor.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType(httpplatform.ContentType)
	ctx.SetBody(data)
}

func refuse(ctx *fasthttp.RequestCtx) {
	ctx.Error("unavailable", fasthttp.StatusServiceUnavailable)
}

// lose closes the connection without an answer.
func lose(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _ = c.Close() })
}

func (p *Platform) append(ctx *fasthttp.RequestCtx) {
	if !p.log.admit() {
		refuse(ctx)
		return
	}
	data := append([]byte(nil), ctx.PostBody()...)
	offset, f := p.log.append(param(ctx, "stream"), data)
	switch f {
	case fateRefused:
		refuse(ctx)
	case fateLostBefore, fateLostAfter:
		lose(ctx)
	default:
		writeCBOR(ctx, fasthttp.StatusOK, httpplatform.AppendResponse{Offset: offset})
	}
}

func (p *Platform) read(ctx *fasthttp.RequestCtx) {
	from, err := strconv.ParseUint(string(ctx.QueryArgs().Peek(httpplatform.ParamFrom)), 10, 64)
	if err != nil || from == 0 {
		ctx.Error("from: offsets start at 1", fasthttp.StatusBadRequest)
		return
	}
	limit := ctx.QueryArgs().GetUintOrZero(httpplatform.ParamLimit)
	wait := time.Duration(ctx.QueryArgs().GetUintOrZero(httpplatform.ParamWaitMs)) * time.Millisecond
	if !p.log.admit() {
		refuse(ctx)
		return
	}
	name := param(ctx, "stream")
	r := p.log.read(name, from, limit, wait)
	if p.log.get().Down {
		refuse(ctx)
		return
	}
	if r.oldest > 0 {
		oldest, next := p.log.bounds(name)
		writeCBOR(ctx, fasthttp.StatusGone, httpplatform.BoundsResponse{Oldest: oldest, Next: next})
		return
	}
	answers := make([]httpplatform.RecordResponse, 0, len(r.records))
	for i, data := range r.records {
		answers = append(answers, httpplatform.RecordResponse{Offset: r.first + uint64(i), Data: data})
	}
	writeCBOR(ctx, fasthttp.StatusOK, answers)
}

func (p *Platform) bounds(ctx *fasthttp.RequestCtx) {
	if !p.log.admit() {
		refuse(ctx)
		return
	}
	oldest, next := p.log.bounds(param(ctx, "stream"))
	writeCBOR(ctx, fasthttp.StatusOK, httpplatform.BoundsResponse{Oldest: oldest, Next: next})
}

func (p *Platform) list(ctx *fasthttp.RequestCtx) {
	if p.hosts.get().Down {
		refuse(ctx)
		return
	}
	l := p.hosts.list()
	known, err := strconv.ParseUint(string(ctx.QueryArgs().Peek(httpplatform.ParamKnown)), 10, 64)
	if err == nil && known == l.Version {
		l = httpplatform.ListResponse{Version: l.Version, Unchanged: true}
	}
	writeCBOR(ctx, fasthttp.StatusOK, l)
}

func (p *Platform) usage(ctx *fasthttp.RequestCtx) {
	w, ok := p.workers[param(ctx, "host")]
	if !ok {
		ctx.Error("no such host", fasthttp.StatusNotFound)
		return
	}
	writeCBOR(ctx, fasthttp.StatusOK, w.Usage())
}

func (p *Platform) act(ctx *fasthttp.RequestCtx) {
	w, ok := p.workers[param(ctx, "host")]
	if !ok {
		ctx.Error("no such host", fasthttp.StatusNotFound)
		return
	}
	switch param(ctx, "action") {
	case httpplatform.ActionCheckpoint:
		w.Checkpoint()
	case httpplatform.ActionThrottle:
		w.Throttle(ctx.QueryArgs().GetUfloatOrZero(httpplatform.ParamShare))
	case httpplatform.ActionStop:
		w.Stop()
	case httpplatform.ActionDrain:
		w.Drain()
	case httpplatform.ActionReboot:
		w.Reboot()
	default:
		ctx.Error("no such action", fasthttp.StatusNotFound)
	}
}
