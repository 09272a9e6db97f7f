package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"greengagedeck/standin/jobsim"
)

// The times of a worker, within what the platform's pages and the settings say.
const (
	heartbeatMs   = 1500
	maxLease      = 10 * time.Second
	stopTime      = 100 * time.Millisecond
	startupTime   = 60 * time.Millisecond
	workerTick    = 10 * time.Millisecond
	fullProgress  = 100
	entryLifetime = 3 * heartbeatMs * time.Millisecond
)

// run is a run of a task on a worker.
type run struct {
	number  int
	started time.Time
	// endsAt is when the task is done, or zero for one that lasts.
	endsAt time.Time
	// stopsAt is when a stop takes effect, or zero.
	stopsAt time.Time
}

// endRow is an end that is not acknowledged.
type endRow struct {
	number  int64
	task    string
	run     int
	how     string
	started time.Time
}

// worker is one machine with its present minion.
type worker struct {
	machine, rack string
	store         *jobsim.Store
	rec           *record

	mu    sync.Mutex
	pool  string
	id    string
	addr  string
	lives int
	up    bool
	// silentSince is since when the entry of a life that has ended has not been renewed.
	gone     map[string]time.Time
	born     time.Time
	token    int64
	lease    time.Duration
	running  map[string]*run
	highest  map[string]int
	ended    []endRow
	lastEnd  int64
	changed  chan struct{}
	beatAt   time.Time
	listener net.Listener
	server   *http.Server
	cpu      int
	// entryDelay is how long after its start a life first writes its entry.
	entryDelay time.Duration
	// keepID is set if the next life has the ID of the one before.
	keepID bool
	// dark is set from a crash after which nothing answers until the machine is back.
	dark    bool
	onEnd   func(task, how string)
	onStart func(task string)
}

func newWorker(machine, rack, pool string, s *jobsim.Store, rec *record) (*worker, error) {
	w := &worker{machine: machine, rack: rack, pool: pool, store: s, rec: rec, cpu: fullCPU, gone: map[string]time.Time{}, changed: make(chan struct{})}
	w.addr = "127.0.0.1:0"
	if err := w.begin(); err != nil {
		return nil, err
	}
	go w.loop()
	return w, nil
}

// begin starts a new life under a new ID, at the address of the one before.
func (w *worker) begin() error {
	ln, err := net.Listen("tcp", w.addr)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/run-start", w.order(w.start))
	mux.HandleFunc("/v1/run-stop", w.order(w.stop))
	mux.HandleFunc("/v1/hold", w.order(w.hold))
	mux.HandleFunc("/v1/pace", w.order(func(request) (int, map[string]any) { return 200, map[string]any{} }))
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.keepID || w.id == "" {
		w.lives++
		w.id = fmt.Sprintf("%s-life%d", w.machine, w.lives)
	}
	delete(w.gone, w.id)
	w.addr = ln.Addr().String()
	w.listener, w.server = ln, &http.Server{Handler: mux}
	w.born, w.token, w.lease, w.lastEnd, w.ended = time.Now(), 0, 0, 0, nil
	w.running, w.highest = map[string]*run{}, map[string]int{}
	w.up, w.beatAt = true, time.Now().Add(w.entryDelay-heartbeatMs*time.Millisecond)
	go func(s *http.Server, l net.Listener) { _ = s.Serve(l) }(w.server, ln)
	return nil
}

// end ends the present life: all that runs ends with it. how is for the record.
func (w *worker) end(how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return
	}
	w.up = false
	w.rec.add("worker %s (machine %s, pool %s) ends: %s; %d runs end with it", w.id, w.machine, w.pool, how, len(w.running))
	for _, t := range slices.Sorted(maps.Keys(w.running)) {
		w.rec.add("  %s run %d ends with %s", t, w.running[t].number, w.id)
		if w.onEnd != nil {
			w.onEnd(t, how)
		}
	}
	w.running = map[string]*run{}
	w.gone[w.id] = time.Now()
	_ = w.server.Close()
	w.notify()
}

// goDark ends the present life: all that runs ends with it, and whoever calls gets no answer
// until comeBack.
func (w *worker) goDark() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rec.add("worker %s (machine %s, rack %s) crashes and is silent; %d runs end with it", w.id, w.machine, w.rack, len(w.running))
	w.dark, w.running = true, map[string]*run{}
	w.gone[w.id] = time.Now()
}

// comeBack begins the next life after goDark.
func (w *worker) comeBack() error {
	w.mu.Lock()
	w.up, w.dark = false, false
	_ = w.server.Close()
	w.mu.Unlock()
	err := w.begin()
	w.rec.add("machine %s is back with the minion %s (%v)", w.machine, w.id, err)
	return err
}

// notify wakes the polls that wait. It must be called with mu held.
func (w *worker) notify() {
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) clock() time.Duration { return time.Since(w.born) }

func (w *worker) loop() {
	for range time.Tick(workerTick) {
		w.tick(time.Now())
	}
}

func (w *worker) tick(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, at := range w.gone {
		if now.Sub(at) > entryLifetime {
			w.store.Remove("servers", id)
			delete(w.gone, id)
		}
	}
	if !w.up || w.dark {
		return
	}
	if now.Sub(w.beatAt) >= heartbeatMs*time.Millisecond {
		w.beatAt = now
		_ = w.store.Put("servers", w.id, map[string]any{
			"service": w.pool, "address": w.addr, "zone": "a", "version": "1", "slots": 8, "coldRemainingMs": 0,
			"sequence": now.UnixMilli(), "state": "ready", "born": w.born.UnixMilli(), "clockMs": w.clock().Milliseconds(),
			"labels": []string{"a", w.rack}, "machine": w.machine, "capacity": capacityOf(w.cpu),
		})
	}
	for t, r := range w.running {
		switch {
		case w.clock() > w.lease:
			w.finish(t, r, "lapsed")
		case !r.stopsAt.IsZero() && now.After(r.stopsAt):
			w.finish(t, r, "stopped")
		case !r.endsAt.IsZero() && now.After(r.endsAt):
			w.finish(t, r, "done")
		}
	}
}

// finish ends a run. It must be called with mu held.
func (w *worker) finish(task string, r *run, how string) {
	delete(w.running, task)
	w.highest[task] = max(w.highest[task], r.number)
	w.lastEnd++
	w.ended = append(w.ended, endRow{w.lastEnd, task, r.number, how, r.started})
	w.rec.add("%s run %d on %s ends: %s", task, r.number, w.id, how)
	if w.onEnd != nil {
		w.onEnd(task, how)
	}
	w.notify()
}

// request is the body of an order.
type request struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	UntilMs      int64  `json:"untilMs"`
	FencingToken int64  `json:"fencingToken"`
	Acknowledged int64  `json:"acknowledged"`
	WaitMs       int64  `json:"waitMs"`
}

// order serves one kind of order.
func (w *worker) order(f func(request) (int, map[string]any)) http.HandlerFunc {
	return func(resp http.ResponseWriter, r *http.Request) {
		var q request
		if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
			resp.WriteHeader(http.StatusBadRequest)
			return
		}
		w.mu.Lock()
		id, born, dark := w.id, w.born, w.dark
		w.mu.Unlock()
		if dark {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if r.Header.Get("X-Expect-Instance") != id {
			resp.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		status, body := f(q)
		w.mu.Lock()
		same := w.up && w.born.Equal(born)
		dark = w.dark
		body["clockMs"] = w.clock().Milliseconds()
		w.mu.Unlock()
		if dark {
			<-r.Context().Done()
		}
		if !same || dark {
			panic(http.ErrAbortHandler)
		}
		data, _ := json.Marshal(body)
		resp.Header().Set("Content-Type", "application/json")
		resp.WriteHeader(status)
		_, _ = resp.Write(data)
	}
}

func conflict(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

// renew takes the token and the lease of an order, and reports whether the token is not lower
// than one seen before. It must be called with mu held.
func (w *worker) renew(q request) bool {
	if q.FencingToken < w.token {
		return false
	}
	w.token = q.FencingToken
	w.lease = max(w.lease, min(time.Duration(q.UntilMs)*time.Millisecond, w.clock()+maxLease))
	return true
}

func (w *worker) start(q request) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.running[q.Task]
	switch {
	case !w.renew(q):
		return conflict("fence")
	case time.Duration(q.UntilMs)*time.Millisecond <= w.clock():
		return conflict("late")
	case r != nil && r.number == q.Run:
		return 200, map[string]any{}
	case r != nil || q.Run <= w.highest[q.Task]:
		return conflict("old")
	}
	r = &run{number: q.Run, started: time.Now()}
	var ms int
	if n, _ := fmt.Sscanf(q.Spec, "run %d", &ms); n == 1 {
		r.endsAt = r.started.Add(time.Duration(ms) * time.Millisecond)
	}
	w.running[q.Task] = r
	w.rec.add("%s run %d starts on %s", q.Task, q.Run, w.id)
	if w.onStart != nil {
		w.onStart(q.Task)
	}
	return 200, map[string]any{}
}

func (w *worker) stop(q request) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.renew(q) {
		return conflict("fence")
	}
	w.highest[q.Task] = max(w.highest[q.Task], q.Run)
	if r := w.running[q.Task]; r != nil && r.number <= q.Run && r.stopsAt.IsZero() {
		r.stopsAt = time.Now().Add(stopTime)
		w.rec.add("%s run %d on %s is told to stop", q.Task, r.number, w.id)
	}
	return 200, map[string]any{}
}

func (w *worker) hold(q request) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.renew(q) {
		return conflict("fence")
	}
	for len(w.ended) > 0 && w.ended[0].number <= q.Acknowledged {
		w.ended = w.ended[1:]
	}
	born := w.born
	timeout := time.After(time.Duration(min(q.WaitMs, 2000)) * time.Millisecond)
	for expired := q.WaitMs == 0; len(w.ended) == 0 && !expired && w.up && w.born.Equal(born); {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			expired = true
		}
		w.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for t, r := range w.running {
		percent := 0
		if time.Since(r.started) >= startupTime {
			percent = fullProgress
		}
		running = append(running, []any{t, r.number, "", percent, 0})
	}
	for _, e := range w.ended {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	return 200, map[string]any{"born": w.born.UnixMilli(), "running": running, "ended": ended}
}
