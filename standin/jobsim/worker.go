package jobsim

import (
	"encoding/json"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// heartbeat is the time between two entries of a worker in the list.
	heartbeat = 700 * time.Millisecond
	// tick is the time between two looks of a worker at what runs.
	tick = 10 * time.Millisecond
	// maxLease is the longest lease that a worker grants.
	maxLease = 6 * time.Second
	// cpu and memoryMB are a worker's room.
	cpu, memoryMB = 8000, 8192
)

// Worker runs tasks. A task works for as many milliseconds as its text says.
type Worker struct {
	id     string
	pool   string
	store  *Store
	ledger *Ledger
	server *fasthttp.Server
	stop   chan struct{}

	mu    sync.Mutex
	addr  string
	born  time.Time
	token int64
	// lease is the end of the lease on the worker's own clock.
	lease   time.Duration
	running map[string]*run
	newest  map[string]int
	ended   []ended
	number  int64
}

type run struct {
	number int
	ends   time.Time
}

type ended struct {
	number int64
	task   string
	run    int
	how    string
}

// StartWorker starts a worker of a pool.
func StartWorker(id, pool string, s *Store, l *Ledger) (*Worker, error) {
	w := &Worker{id: id, pool: pool, store: s, ledger: l, stop: make(chan struct{})}
	w.reset()
	w.server = &fasthttp.Server{Handler: w.handle, CloseOnShutdown: true}
	addr, err := listen(w.server)
	if err != nil {
		return nil, err
	}
	w.addr = addr
	go w.work()
	return w, nil
}

// Close ends the worker.
func (w *Worker) Close() error {
	close(w.stop)
	return w.server.Shutdown()
}

// Restart ends everything that runs. The next life keeps ID and address.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for t := range w.running {
		w.ledger.end(t, w.id)
	}
	w.reset()
}

func (w *Worker) reset() {
	w.born = time.Now()
	w.token, w.lease, w.number, w.ended = 0, 0, 0, nil
	w.running, w.newest = map[string]*run{}, map[string]int{}
}

// work lists the worker and ends what is over.
func (w *Worker) work() {
	ticks := time.NewTicker(tick)
	defer ticks.Stop()
	var listed time.Time
	for {
		select {
		case <-w.stop:
			return
		case now := <-ticks.C:
			if now.Sub(listed) > heartbeat {
				listed = now
				w.list()
			}
			w.step(now)
		}
	}
}

func (w *Worker) list() {
	w.mu.Lock()
	defer w.mu.Unlock()
	// The log in memory takes every record.
	_ = w.store.Put("servers", w.id, map[string]any{
		"service": w.pool, "address": w.addr, "zone": "a", "version": "1", "slots": 1, "coldRemainingMs": 0, "sequence": 1,
		"state": "ready", "born": w.born.UnixMilli(), "labels": []string{"kind", "rack"}, "machine": w.id, "clockMs": w.clock().Milliseconds(),
		"capacity": map[string]int{"cpu": cpu, "taskMemoryMb": memoryMB},
	})
}

func (w *Worker) clock() time.Duration { return time.Since(w.born) }

func (w *Worker) step(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	lapsed := w.clock() > w.lease
	for t, r := range w.running {
		switch {
		case lapsed:
			w.end(t, r, "lapsed")
		case now.After(r.ends):
			w.end(t, r, "done")
		}
	}
}

func (w *Worker) end(task string, r *run, how string) {
	delete(w.running, task)
	w.newest[task] = max(w.newest[task], r.number)
	w.number++
	w.ended = append(w.ended, ended{w.number, task, r.number, how})
	w.ledger.end(task, w.id)
}

// order is the body of every call of a worker.
type order struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	UntilMs      int64  `json:"untilMs"`
	FencingToken int64  `json:"fencingToken"`
	Acknowledged int64  `json:"acknowledged"`
	WaitMs       int64  `json:"waitMs"`
}

func (w *Worker) handle(ctx *fasthttp.RequestCtx) {
	var o order
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	if string(ctx.Request.Header.Peek("X-Expect-Instance")) != w.id {
		ctx.SetStatusCode(fasthttp.StatusMisdirectedRequest)
		return
	}
	body := map[string]any{}
	switch string(ctx.Path()) {
	case "/v1/run-start":
		body["reason"] = w.begin(o)
	case "/v1/run-stop":
		body["reason"] = w.halt(o)
	case "/v1/hold":
		body = w.report(o)
	}
	w.mu.Lock()
	body["clockMs"] = w.clock().Milliseconds()
	w.mu.Unlock()
	if r, ok := body["reason"].(string); ok && r != "" {
		ctx.SetStatusCode(fasthttp.StatusConflict)
	}
	data, err := json.Marshal(body)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(data)
}

// admit checks and keeps a token, and extends the lease.
func (w *Worker) admit(o order) bool {
	if o.FencingToken < w.token {
		return false
	}
	w.token = o.FencingToken
	until := min(time.Duration(o.UntilMs)*time.Millisecond, w.clock()+maxLease)
	w.lease = max(w.lease, until)
	return true
}

// begin starts a run. It returns why not, or "".
func (w *Worker) begin(o order) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.running[o.Task]
	switch {
	case !w.admit(o):
		return "fence"
	case time.Duration(o.UntilMs)*time.Millisecond <= w.clock():
		return "late"
	case r != nil && r.number == o.Run:
		return ""
	case r != nil || o.Run <= w.newest[o.Task]:
		return "old"
	}
	ms, err := strconv.Atoi(o.Spec)
	if err != nil {
		ms = 0
	}
	w.running[o.Task] = &run{o.Run, time.Now().Add(time.Duration(ms) * time.Millisecond)}
	id, _, _ := strings.Cut(o.Task, ".")
	w.ledger.start(o.Task, id, w.id)
	return ""
}

// halt stops a run. It returns why not, or "".
func (w *Worker) halt(o order) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.admit(o) {
		return "fence"
	}
	w.newest[o.Task] = max(w.newest[o.Task], o.Run)
	if r := w.running[o.Task]; r != nil && r.number <= o.Run {
		w.end(o.Task, r, "stopped")
	}
	return ""
}

// report answers a look, once there is an end or its wait is over.
func (w *Worker) report(o order) map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.admit(o) {
		return map[string]any{"reason": "fence"}
	}
	for len(w.ended) > 0 && w.ended[0].number <= o.Acknowledged {
		if w.ended[0].how == "done" {
			w.ledger.note(w.ended[0].task)
		}
		w.ended = w.ended[1:]
	}
	born := w.born
	for until := time.Now().Add(time.Duration(o.WaitMs) * time.Millisecond); len(w.ended) == 0 && time.Now().Before(until) && w.born.Equal(born); {
		w.mu.Unlock()
		time.Sleep(tick)
		w.mu.Lock()
	}
	running, over := [][]any{}, [][]any{}
	for t, r := range w.running {
		running = append(running, []any{t, r.number, "", 100, 0})
	}
	for _, e := range w.ended {
		over = append(over, []any{e.number, e.task, e.run, e.how, ""})
	}
	return map[string]any{"born": w.born.UnixMilli(), "running": running, "ended": over}
}
