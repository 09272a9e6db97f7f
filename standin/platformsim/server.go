// Package platformsim simulates the platform: its log, its host list and its control
// of tasks, with switches for fault injection.
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

// maxBodyBytes limits the size of a record. Snapshots are the largest records.
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
	// Hosts is the initial host list.
	Hosts []httpplatform.HostResponse
	// Workers maps host IDs to the machines.
	Workers map[string]Worker
	// Log is the initial state of the switches of the log.
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
		Logger:             discardLogger{},
	}
	return p
}

// discardLogger discards the log lines of fasthttp: injected faults cause many of
// them.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// Router returns the router, so that a deployment can add its own admin paths before
// it serves.
func (p *Platform) Router() *router.Router { return p.router }

// Serve accepts connections on ln until Close.
func (p *Platform) Serve(ln net.Listener) error { return p.server.Serve(ln) }

// Close stops serving.
func (p *Platform) Close() error { return p.server.Shutdown() }

// SetLogSwitches sets the faults and limits of the log.
func (p *Platform) SetLogSwitches(s LogSwitches) { p.log.setSwitches(s) }

// SetListSwitches sets the faults of the host list.
func (p *Platform) SetListSwitches(s ListSwitches) { p.hosts.setSwitches(s) }

// PutHost adds a host to the list or replaces the host with the same ID.
func (p *Platform) PutHost(h httpplatform.HostResponse) { p.hosts.put(h) }

// DropHost removes a host from the list.
func (p *Platform) DropHost(id string) { p.hosts.remove(id) }

// MarkLeaving marks a host as leaving. It reports false for an unknown host.
func (p *Platform) MarkLeaving(id string, leaving bool) bool {
	h, ok := p.hosts.find(id)
	h.Leaving = leaving
	if ok {
		p.hosts.put(h)
	}
	return ok
}

// Appends returns the number of appends that took effect, and their total size in
// bytes.
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
	p.router.POST(httpplatform.PathAction, p.taskAction)
	p.router.GET("/admin/log", func(ctx *fasthttp.RequestCtx) { WriteJSON(ctx, p.log.currentSwitches()) })
	p.router.PUT("/admin/log", func(ctx *fasthttp.RequestCtx) { Patch(ctx, p.log.currentSwitches(), p.log.setSwitches) })
	p.router.GET("/admin/list", func(ctx *fasthttp.RequestCtx) { WriteJSON(ctx, p.hosts.currentSwitches()) })
	p.router.PUT("/admin/list", func(ctx *fasthttp.RequestCtx) { Patch(ctx, p.hosts.currentSwitches(), p.hosts.setSwitches) })
	p.router.PUT("/admin/hosts/{host}", p.putHost)
	p.router.DELETE("/admin/hosts/{host}", func(ctx *fasthttp.RequestCtx) {
		p.hosts.remove(param(ctx, "host"))
	})
}

// Patch decodes a JSON body over the current switches, sets the result and returns it.
func Patch[T any](ctx *fasthttp.RequestCtx, current T, set func(T)) {
	if err := json.Unmarshal(ctx.PostBody(), &current); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	set(current)
	WriteJSON(ctx, current)
}

// WriteJSON writes v as a JSON response.
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

func respondUnavailable(ctx *fasthttp.RequestCtx) {
	ctx.Error("unavailable", fasthttp.StatusServiceUnavailable)
}

// closeWithoutResponse closes the connection without a response.
func closeWithoutResponse(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _ = c.Close() })
}

func (p *Platform) append(ctx *fasthttp.RequestCtx) {
	if !p.log.delayThenCheckUp() {
		respondUnavailable(ctx)
		return
	}
	data := append([]byte(nil), ctx.PostBody()...)
	offset, outcome := p.log.append(param(ctx, "stream"), data)
	switch outcome {
	case appendRejected:
		respondUnavailable(ctx)
	case appendRequestLost, appendResponseLost:
		closeWithoutResponse(ctx)
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
	if !p.log.delayThenCheckUp() {
		respondUnavailable(ctx)
		return
	}
	name := param(ctx, "stream")
	r := p.log.read(name, from, limit, wait)
	if p.log.currentSwitches().Down {
		respondUnavailable(ctx)
		return
	}
	if r.oldest > 0 {
		oldest, next := p.log.bounds(name)
		writeCBOR(ctx, fasthttp.StatusGone, httpplatform.BoundsResponse{Oldest: oldest, Next: next})
		return
	}
	body := make([]httpplatform.RecordResponse, 0, len(r.records))
	for i, data := range r.records {
		body = append(body, httpplatform.RecordResponse{Offset: r.first + uint64(i), Data: data})
	}
	writeCBOR(ctx, fasthttp.StatusOK, body)
}

func (p *Platform) bounds(ctx *fasthttp.RequestCtx) {
	if !p.log.delayThenCheckUp() {
		respondUnavailable(ctx)
		return
	}
	oldest, next := p.log.bounds(param(ctx, "stream"))
	writeCBOR(ctx, fasthttp.StatusOK, httpplatform.BoundsResponse{Oldest: oldest, Next: next})
}

func (p *Platform) list(ctx *fasthttp.RequestCtx) {
	if p.hosts.currentSwitches().Down {
		respondUnavailable(ctx)
		return
	}
	l := p.hosts.response()
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

func (p *Platform) taskAction(ctx *fasthttp.RequestCtx) {
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
