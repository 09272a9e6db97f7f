package jobsim

import (
	"encoding/json"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"greengagedeck/internal/job"
)

const (
	// heartbeatInterval is the interval at which a worker publishes its state in the
	// list of workers.
	heartbeatInterval = 700 * time.Millisecond
	// tickInterval is the interval at which a worker checks its runs.
	tickInterval = 10 * time.Millisecond
	// maxLease is the longest lease that a worker allows unless AllowLease is called.
	maxLease = 6 * time.Second
	// maxStopTime is the longest time that a run takes to stop.
	maxStopTime = 150 * time.Millisecond
	// pollPath is the path of polls.
	pollPath = "/v1/hold"
	// endDone is the reason of a run's end with success.
	endDone = "done"
)

// Worker simulates running tasks. A task's spec is its run time in milliseconds. It
// starts every task that it is told to start, whatever its capacity.
type Worker struct {
	// unreachable is set while calls get no answer.
	unreachable atomic.Bool
	name        string
	pool        string
	store       *Store
	checker     *RunChecker
	stop        chan struct{}

	mu   sync.Mutex
	rand *rand.Rand
	// id is the name until the worker comes back with a new one after a crash.
	id           string
	replacements int
	addr         string
	server       *fasthttp.Server
	listener     *crashListener
	// silent is set while the worker does not write its entry in the list.
	silent bool
	// up is unset from a crash until backAt.
	up     bool
	backAt time.Time
	// comeback is as what it comes back then.
	comeback comeback
	// silentEntries holds when to remove the entries of crashed incarnations from
	// the list, by ID.
	silentEntries map[string]time.Time
	// capacities is the course of the capacity, the present one last.
	capacities []capacityChange

	startTime time.Time
	token     int64
	// leaseEnd is when the lease expires on the worker's own clock, the time since
	// startTime.
	leaseEnd time.Duration
	running  map[job.TaskID]*run
	// newestRun is the highest number of an ended or stopped run, by task.
	newestRun map[job.TaskID]int
	lease     lease
	strays    strays
	ended     []endedRun
	// lastEnd is the sequence number of the last ended run.
	lastEnd int64
}

type run struct {
	number int
	endsAt time.Time
	// stopping is set once the run was told to stop, which it has at endsAt.
	stopping bool
	// crashesAt is when the run crashes its worker, or zero.
	crashesAt time.Time
	// killTime is how long after the expiry of its lease the run ends, and killedAt when it
	// does, or zero while the lease has not expired.
	killTime time.Duration
	killedAt time.Time
}

// endedRun is a run that has ended and whose end is not acknowledged yet.
type endedRun struct {
	sequence int64
	task     job.TaskID
	run      int
	reason   string
}

// StartWorker starts a worker of a pool. seed determines what the worker does at
// random.
func StartWorker(name, pool string, s *Store, checker *RunChecker, seed uint64) (*Worker, error) {
	w := &Worker{
		name: name, id: name, pool: pool, store: s, checker: checker, stop: make(chan struct{}),
		rand:          rand.New(rand.NewPCG(seed, 1)),
		lease:         newLease(seed),
		strays:        strays{rand: rand.New(rand.NewPCG(seed, 3))},
		silentEntries: map[string]time.Time{},
		capacities:    []capacityChange{{capacity: fullCapacity}},
		up:            true,
	}
	w.reset()
	if err := w.serve(anyLoopbackAddress); err != nil {
		return nil, err
	}
	go w.loop()
	return w, nil
}

// Close stops the worker.
func (w *Worker) Close() error {
	close(w.stop)
	w.mu.Lock()
	server := w.server
	w.mu.Unlock()
	return server.Shutdown()
}

// Restart simulates a restart of the worker: all runs end and all state is lost. ID
// and address stay the same. It has no effect on a worker that is down.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return
	}
	w.checker.workerCrashed(crash{worker: w.id, injected: true}, slices.Collect(maps.Keys(w.running)))
	w.reset()
}

// SetSilent keeps the worker from writing its entry in the list, which lapses at once, or
// lets it write again.
func (w *Worker) SetSilent(silent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent = silent
	if silent {
		w.store.Remove(workersTopic, w.id)
	}
}

// SetUnreachable has calls to the worker get no answer and no effect, and loses the answers of
// those that it is carrying out, while it writes its entry.
func (w *Worker) SetUnreachable(unreachable bool) { w.unreachable.Store(unreachable) }

// holdCall holds a call back while its token does not reach the worker. It reports whether it did: the
// call gets no answer then.
func (w *Worker) holdCall(token int64) bool {
	held := false
	for w.hides(token) {
		held = true
		time.Sleep(tickInterval)
	}
	return held
}

// dropAnswer has the connection of a call be closed without an answer.
func dropAnswer(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}

func (w *Worker) reset() {
	w.startTime = time.Now()
	w.token, w.leaseEnd, w.lastEnd, w.ended = 0, 0, 0, nil
	w.running, w.newestRun = map[job.TaskID]*run{}, map[job.TaskID]int{}
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
			w.removeSilentEntries(now)
			if !w.awaitReturn(now) {
				continue
			}
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
	if !w.up || w.silent {
		return
	}
	capacity := w.capacity()
	// The in-memory log accepts every record.
	_ = w.store.Put(workersTopic, w.id, map[string]any{
		"service": w.pool, "address": w.addr, "zone": "a", "version": "1", "slots": 1, "coldRemainingMs": 0, "sequence": 1,
		"state": "ready", "born": w.startTime.UnixMilli(), "labels": []string{"kind", "rack"}, "machine": w.name, "clockMs": w.clock().Milliseconds(),
		"capacity": map[string]int{"cpu": capacity.CPU, "taskMemoryMb": capacity.MemoryMB},
	})
}

// currentID returns the worker's ID.
func (w *Worker) currentID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.id
}

func (w *Worker) endDueRuns(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expireRuns(now)
	for t, r := range w.running {
		switch {
		case !r.killedAt.IsZero() && now.After(r.killedAt):
			w.checker.lapse(t)
			w.endRun(t, r, "lapsed")
		case !r.killedAt.IsZero():
		case !r.crashesAt.IsZero() && now.After(r.crashesAt):
			w.crash()
			return
		case now.Before(r.endsAt):
		case r.stopping:
			w.endRun(t, r, "stopped")
		case r.crashesAt.IsZero():
			w.endRun(t, r, endDone)
		}
	}
}

func (w *Worker) endRun(task job.TaskID, r *run, reason string) {
	delete(w.running, task)
	w.newestRun[task] = max(w.newestRun[task], r.number)
	w.lastEnd++
	w.ended = append(w.ended, endedRun{w.lastEnd, task, r.number, reason})
	w.checker.end(task, w.id)
	if reason == endDone {
		w.checker.succeed(task)
	}
}

// savedProgress is what every task has saved. The progress of most jobs is longer with it than
// a record of the store.
var savedProgress = strings.Repeat("saved.", 100)

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
	path, instance := string(ctx.Path()), string(ctx.Request.Header.Peek("X-Expect-Instance"))
	a, ok := w.receive(path, instance, req)
	if !ok || w.holdCall(req.FencingToken) {
		dropAnswer(ctx)
		return
	}
	ctx.SetStatusCode(a.status)
	ctx.SetBody(a.body)
}

// receive carries out a call once it has reached the worker. It returns false if it gets no answer.
func (w *Worker) receive(path, instance string, req request) (answer, bool) {
	if o, ok := w.drawStray(path); ok {
		return w.receiveStray(o, path, instance, req)
	}
	if w.holdCall(req.FencingToken) {
		return answer{}, false
	}
	a := w.carryOut(path, instance, req)
	w.delayAnswer()
	return a, true
}

// answer is what a worker answers to a call.
type answer struct {
	status int
	body   []byte
}

// carryOut carries out a call to an instance, which is the ID of a worker.
func (w *Worker) carryOut(path, instance string, req request) answer {
	task, err := job.ParseTaskID(req.Task)
	if err != nil && req.Task != "" {
		return answer{status: fasthttp.StatusBadRequest}
	}
	if instance != w.currentID() {
		return answer{status: fasthttp.StatusMisdirectedRequest}
	}
	body := map[string]any{}
	switch path {
	case "/v1/run-start":
		body["reason"] = w.startRun(task, req)
	case "/v1/run-stop":
		body["reason"] = w.stopRun(task, req)
	case pollPath:
		body = w.poll(req)
	}
	w.mu.Lock()
	body["clockMs"] = w.clock().Milliseconds()
	w.mu.Unlock()
	status := fasthttp.StatusOK
	if r, ok := body["reason"].(string); ok && r != "" {
		status = fasthttp.StatusConflict
	}
	data, err := json.Marshal(body)
	if err != nil {
		return answer{status: fasthttp.StatusInternalServerError}
	}
	return answer{status, data}
}

// renewLease rejects a fencing token older than the current one. Otherwise it stores
// the token and extends the lease.
func (w *Worker) renewLease(req request) bool {
	if req.FencingToken < w.token {
		return false
	}
	w.expireRuns(time.Now())
	w.token = req.FencingToken
	until := min(time.Duration(req.UntilMs)*time.Millisecond, w.clock()+w.lease.allowed)
	w.leaseEnd = max(w.leaseEnd, until)
	w.recordLease()
	return true
}

// startRun starts a run. It returns the reason when it rejects the request, or "".
func (w *Worker) startRun(task job.TaskID, req request) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.running[task]
	switch {
	case !w.up:
		// The connection of the request is broken off.
		return ""
	case !w.renewLease(req):
		return "fence"
	case time.Duration(req.UntilMs)*time.Millisecond <= w.clock():
		return "late"
	case r != nil && r.number == req.Run:
		return ""
	case r != nil || req.Run <= w.newestRun[task]:
		return "old"
	}
	ms, err := strconv.Atoi(req.Spec)
	if err != nil {
		ms = 0
	}
	w.checkCapacity(task)
	r = &run{number: req.Run, endsAt: time.Now().Add(time.Duration(ms) * time.Millisecond), killTime: time.Duration(w.lease.rand.Int64N(int64(maxKillTime)))}
	w.running[task] = r
	w.checker.start(task, w.id)
	w.recordLease()
	if w.checker.isDeadly(task) {
		w.crashAfterStart(r)
	}
	return ""
}

// stopRun has a run stop. It returns the reason when it rejects the request, or "".
func (w *Worker) stopRun(task job.TaskID, req request) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case !w.up:
		return ""
	case !w.renewLease(req):
		return "fence"
	}
	w.newestRun[task] = max(w.newestRun[task], req.Run)
	if r := w.running[task]; r != nil && r.number <= req.Run && !r.stopping {
		r.stopping = true
		r.endsAt = time.Now().Add(time.Duration(w.rand.Int64N(int64(maxStopTime))))
	}
	return ""
}

// poll responds as soon as a run has ended or the requested wait is over. It first
// drops the ended runs that the request acknowledges.
func (w *Worker) poll(req request) map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case !w.up:
		return map[string]any{}
	case !w.renewLease(req):
		return map[string]any{"reason": "fence"}
	}
	for len(w.ended) > 0 && w.ended[0].sequence <= req.Acknowledged {
		if w.ended[0].reason == endDone {
			w.checker.acknowledge(w.ended[0].task)
		}
		w.ended = w.ended[1:]
	}
	startTime := w.startTime
	for until := time.Now().Add(time.Duration(req.WaitMs) * time.Millisecond); len(w.ended) == 0 && time.Now().Before(until) && w.up && w.startTime.Equal(startTime); {
		w.mu.Unlock()
		time.Sleep(tickInterval)
		w.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for t, r := range w.running {
		running = append(running, []any{t.String(), r.number, savedProgress, 100, 0})
	}
	for _, e := range w.ended {
		ended = append(ended, []any{e.sequence, e.task.String(), e.run, e.reason, ""})
	}
	return map[string]any{"born": w.startTime.UnixMilli(), "running": running, "ended": ended}
}
