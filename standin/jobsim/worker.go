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
	// heartbeatInterval is the interval at which a worker publishes its state in the
	// list of workers.
	heartbeatInterval = 700 * time.Millisecond
	// tickInterval is the interval at which a worker checks its runs.
	tickInterval = 10 * time.Millisecond
	// maxLease is the longest lease that a worker grants.
	maxLease = 6 * time.Second
	// cpuCapacity and memoryCapacityMB are the resources of a worker.
	cpuCapacity, memoryCapacityMB = 8000, 8192
)

// Worker simulates running tasks. A task's spec is its run time in milliseconds.
type Worker struct {
	id      string
	pool    string
	store   *Store
	checker *RunChecker
	server  *fasthttp.Server
	stop    chan struct{}

	mu        sync.Mutex
	addr      string
	startTime time.Time
	token     int64
	// leaseEnd is when the lease expires on the worker's own clock, the time since
	// startTime.
	leaseEnd time.Duration
	running  map[string]*run
	// newestRun is the highest number of an ended or stopped run, by task.
	newestRun map[string]int
	ended     []endedRun
	// lastEnd is the sequence number of the last ended run.
	lastEnd int64
}

type run struct {
	number int
	endsAt time.Time
}

// endedRun is a run that has ended and whose end is not acknowledged yet.
type endedRun struct {
	sequence int64
	task     string
	run      int
	reason   string
}

// StartWorker starts a worker of a pool.
func StartWorker(id, pool string, s *Store, checker *RunChecker) (*Worker, error) {
	w := &Worker{id: id, pool: pool, store: s, checker: checker, stop: make(chan struct{})}
	w.reset()
	w.server = &fasthttp.Server{Handler: w.handle, CloseOnShutdown: true}
	addr, err := listen(w.server)
	if err != nil {
		return nil, err
	}
	w.addr = addr
	go w.loop()
	return w, nil
}

// Close stops the worker.
func (w *Worker) Close() error {
	close(w.stop)
	return w.server.Shutdown()
}

// Restart simulates a restart of the worker: all runs end and all state is lost. ID
// and address stay the same.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for t := range w.running {
		w.checker.end(t, w.id)
	}
	w.reset()
}

func (w *Worker) reset() {
	w.startTime = time.Now()
	w.token, w.leaseEnd, w.lastEnd, w.ended = 0, 0, 0, nil
	w.running, w.newestRun = map[string]*run{}, map[string]int{}
}

// loop publishes heartbeats and ends due runs until the worker is closed.
func (w *Worker) loop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var lastHeartbeat time.Time
	for {
		select {
		case <-w.stop:
			return
		case now := <-ticker.C:
			if now.Sub(lastHeartbeat) > heartbeatInterval {
				lastHeartbeat = now
				w.publishHeartbeat()
			}
			w.endDueRuns(now)
		}
	}
}

func (w *Worker) publishHeartbeat() {
	w.mu.Lock()
	defer w.mu.Unlock()
	// The in-memory log accepts every record.
	_ = w.store.Put("servers", w.id, map[string]any{
		"service": w.pool, "address": w.addr, "zone": "a", "version": "1", "slots": 1, "coldRemainingMs": 0, "sequence": 1,
		"state": "ready", "born": w.startTime.UnixMilli(), "labels": []string{"kind", "rack"}, "machine": w.id, "clockMs": w.clock().Milliseconds(),
		"capacity": map[string]int{"cpu": cpuCapacity, "taskMemoryMb": memoryCapacityMB},
	})
}

func (w *Worker) clock() time.Duration { return time.Since(w.startTime) }

func (w *Worker) endDueRuns(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	expired := w.clock() > w.leaseEnd
	for t, r := range w.running {
		switch {
		case expired:
			w.endRun(t, r, "lapsed")
		case now.After(r.endsAt):
			w.endRun(t, r, "done")
		}
	}
}

func (w *Worker) endRun(task string, r *run, reason string) {
	delete(w.running, task)
	w.newestRun[task] = max(w.newestRun[task], r.number)
	w.lastEnd++
	w.ended = append(w.ended, endedRun{w.lastEnd, task, r.number, reason})
	w.checker.end(task, w.id)
}

// request is the body of every request to a worker.
type request struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	UntilMs      int64  `json:"untilMs"`
	FencingToken int64  `json:"fencingToken"`
	Acknowledged int64  `json:"acknowledged"`
	WaitMs       int64  `json:"waitMs"`
}

func (w *Worker) handle(ctx *fasthttp.RequestCtx) {
	var req request
	if err := json.Unmarshal(ctx.PostBody(), &req); err != nil {
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
		body["reason"] = w.startRun(req)
	case "/v1/run-stop":
		body["reason"] = w.stopRun(req)
	case "/v1/hold":
		body = w.poll(req)
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

// renewLease rejects a fencing token older than the current one. Otherwise it stores
// the token and extends the lease.
func (w *Worker) renewLease(req request) bool {
	if req.FencingToken < w.token {
		return false
	}
	w.token = req.FencingToken
	until := min(time.Duration(req.UntilMs)*time.Millisecond, w.clock()+maxLease)
	w.leaseEnd = max(w.leaseEnd, until)
	return true
}

// startRun starts a run. It returns the reason when it rejects the request, or "".
func (w *Worker) startRun(req request) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.running[req.Task]
	switch {
	case !w.renewLease(req):
		return "fence"
	case time.Duration(req.UntilMs)*time.Millisecond <= w.clock():
		return "late"
	case r != nil && r.number == req.Run:
		return ""
	case r != nil || req.Run <= w.newestRun[req.Task]:
		return "old"
	}
	ms, err := strconv.Atoi(req.Spec)
	if err != nil {
		ms = 0
	}
	w.running[req.Task] = &run{req.Run, time.Now().Add(time.Duration(ms) * time.Millisecond)}
	job, _, _ := strings.Cut(req.Task, ".")
	w.checker.start(req.Task, job, w.id)
	return ""
}

// stopRun stops a run. It returns the reason when it rejects the request, or "".
func (w *Worker) stopRun(req request) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.renewLease(req) {
		return "fence"
	}
	w.newestRun[req.Task] = max(w.newestRun[req.Task], req.Run)
	if r := w.running[req.Task]; r != nil && r.number <= req.Run {
		w.endRun(req.Task, r, "stopped")
	}
	return ""
}

// poll responds as soon as a run has ended or the requested wait is over. It first
// drops the ended runs that the request acknowledges.
func (w *Worker) poll(req request) map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.renewLease(req) {
		return map[string]any{"reason": "fence"}
	}
	for len(w.ended) > 0 && w.ended[0].sequence <= req.Acknowledged {
		if w.ended[0].reason == "done" {
			w.checker.acknowledge(w.ended[0].task)
		}
		w.ended = w.ended[1:]
	}
	startTime := w.startTime
	for until := time.Now().Add(time.Duration(req.WaitMs) * time.Millisecond); len(w.ended) == 0 && time.Now().Before(until) && w.startTime.Equal(startTime); {
		w.mu.Unlock()
		time.Sleep(tickInterval)
		w.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for t, r := range w.running {
		running = append(running, []any{t, r.number, "", 100, 0})
	}
	for _, e := range w.ended {
		ended = append(ended, []any{e.sequence, e.task, e.run, e.reason, ""})
	}
	return map[string]any{"born": w.startTime.UnixMilli(), "running": running, "ended": ended}
}
