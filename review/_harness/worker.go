package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat = 1500 * time.Millisecond
	// silentBeats is after how many heartbeats of silence an entry is removed.
	silentBeats = 3
	holdMax     = 10 * time.Second
	stopTime    = 100 * time.Millisecond
	// endsAtOnce is how many ends an answer lists.
	endsAtOnce = 500
)

type capacity struct {
	CPU          int `json:"cpu"`
	TaskMemoryMB int `json:"taskMemoryMb"`
	GPU          int `json:"gpu"`
}

// worker is a stand-in of a minion. The spec of a job tells how long its tasks
// work: "work=MS", or "lasts".
type worker struct {
	rec     *recorder
	store   *store
	id      string
	machine string
	service string
	rack    string
	size    capacity
	address string
	// onStart, if set, is called when a task starts.
	onStart func(w *worker, k runKey)

	mu       sync.Mutex
	up       bool
	listener net.Listener
	server   *http.Server
	born     time.Time
	sequence int
	token    int64
	leaseEnd time.Duration
	// lapsedAt is when the lease last was lapsed.
	lapsedAt time.Time
	running  map[string]*activeRun
	// barred is the highest run of a task that was stopped or ended.
	barred  map[string]int
	ends    []endRow
	lastEnd int64
	changed chan struct{}
	// silent is set while the worker cannot write its entry in the list. The entry
	// lapses after silentBeats heartbeats.
	silent bool
}

type activeRun struct {
	number   int
	endsAt   time.Time
	lasts    bool
	stopping bool
	since    time.Time
}

type endRow struct {
	n   int64
	key runKey
	how string
}

func (w *worker) start() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	addr := w.address
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	w.address = ln.Addr().String()
	w.listener = ln
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve)}
	w.up, w.born, w.sequence = true, time.Now(), 0
	w.token, w.leaseEnd, w.lastEnd, w.ends = 0, 0, 0, nil
	w.running, w.barred, w.changed = map[string]*activeRun{}, map[string]int{}, make(chan struct{})
	go func(s *http.Server) { _ = s.Serve(ln) }(w.server)
	go w.live(w.born)
	return nil
}

// crash ends the worker at once, with all that runs on it.
func (w *worker) crash() {
	w.mu.Lock()
	if !w.up {
		w.mu.Unlock()
		return
	}
	w.up = false
	server := w.server
	for t, r := range w.running {
		w.rec.ended(w.id, runKey{t, r.number}, "lost with its worker")
	}
	w.running = map[string]*activeRun{}
	close(w.changed)
	w.changed = make(chan struct{})
	w.mu.Unlock()
	w.rec.event("%s crashes", w.id)
	_ = server.Close()
}

// setSilent keeps the worker from writing its entry in the list, or lets it write again.
func (w *worker) setSilent(silent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent = silent
}

func (w *worker) clock() time.Duration { return time.Since(w.born) }

// live ends due runs and writes the entry in the list until the life that began
// at born is over.
func (w *worker) live(born time.Time) {
	var beat time.Time
	listed := false
	for {
		w.mu.Lock()
		if !w.up || !w.born.Equal(born) {
			w.mu.Unlock()
			return
		}
		now := time.Now()
		if listed && w.silent && now.Sub(beat) >= silentBeats*heartbeat {
			listed = false
			w.store.remove("servers", w.id)
			w.rec.event("the entry of %s lapses", w.id)
		}
		if now.Sub(beat) >= heartbeat && !w.silent {
			beat, listed = now, true
			w.sequence++
			w.store.put("servers", w.id, map[string]any{
				"service": w.service, "address": w.address, "zone": "north-a", "version": "v1", "slots": 8, "coldRemainingMs": 0,
				"sequence": w.sequence, "state": "ready", "born": born.UnixMilli(), "capacity": w.size, "labels": []string{"a", w.rack},
				"machine": w.machine, "clockMs": w.clock().Milliseconds(),
			})
		}
		lapsed := w.clock() > w.leaseEnd
		if lapsed {
			w.lapsedAt = now
		}
		for t, r := range w.running {
			switch {
			case lapsed:
				w.end(t, r, "lapsed")
			case now.Before(r.endsAt):
			case r.stopping:
				w.end(t, r, "stopped")
			case !r.lasts:
				w.end(t, r, "done")
			}
		}
		w.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
	}
}

// end ends a run. The caller holds w.mu.
func (w *worker) end(task string, r *activeRun, how string) {
	delete(w.running, task)
	w.barred[task] = max(w.barred[task], r.number)
	w.lastEnd++
	w.ends = append(w.ends, endRow{w.lastEnd, runKey{task, r.number}, how})
	w.rec.ended(w.id, runKey{task, r.number}, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

type order struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	UntilMs      int64  `json:"untilMs"`
	FencingToken int64  `json:"fencingToken"`
	Acknowledged int64  `json:"acknowledged"`
	WaitMs       int64  `json:"waitMs"`
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		rw.Header().Set("X-Instance-Id", w.id)
		return
	}
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	body := map[string]any{}
	reason := ""
	switch {
	case !w.up:
		return
	case o.FencingToken < w.token:
		reason = "fence"
	default:
		w.token = o.FencingToken
		switch r.URL.Path {
		case "/v1/run-start":
			reason = w.startRun(o)
		case "/v1/run-stop":
			w.stopRun(o)
		case "/v1/hold":
			w.hold(o, body)
		case "/v1/pace":
		default:
			rw.WriteHeader(http.StatusNotFound)
			return
		}
	}
	if !w.up {
		return
	}
	body["clockMs"] = w.clock().Milliseconds()
	if reason != "" {
		body["reason"] = reason
		reply(rw, http.StatusConflict, body)
		return
	}
	reply(rw, http.StatusOK, body)
}

// extend extends the lease up to a time on the worker's clock.
func (w *worker) extend(untilMs int64) {
	until := min(time.Duration(untilMs)*time.Millisecond, w.clock()+holdMax)
	w.leaseEnd = max(w.leaseEnd, until)
}

func (w *worker) startRun(o order) string {
	if time.Duration(o.UntilMs)*time.Millisecond <= w.clock() {
		return "late"
	}
	w.extend(o.UntilMs)
	if r := w.running[o.Task]; r != nil && r.number == o.Run {
		return ""
	} else if r != nil || o.Run <= w.barred[o.Task] {
		return "old"
	}
	r := &activeRun{number: o.Run, since: time.Now(), lasts: o.Spec == "lasts"}
	if ms, ok := strings.CutPrefix(o.Spec, "work="); ok {
		n, _ := strconv.Atoi(ms)
		r.endsAt = time.Now().Add(time.Duration(n) * time.Millisecond)
	}
	w.running[o.Task] = r
	k := runKey{o.Task, o.Run}
	w.rec.started(w.id, k)
	if w.onStart != nil {
		go w.onStart(w, k)
	}
	return ""
}

func (w *worker) stopRun(o order) {
	w.barred[o.Task] = max(w.barred[o.Task], o.Run)
	if r := w.running[o.Task]; r != nil && r.number <= o.Run && !r.stopping {
		r.stopping = true
		r.endsAt = time.Now().Add(stopTime)
	}
}

// hold answers a poll. Ends up to the acknowledged one are forgotten, the others
// are listed, at most endsAtOnce of them, the oldest first.
func (w *worker) hold(o order, body map[string]any) {
	if o.UntilMs > 0 {
		w.extend(o.UntilMs)
	}
	for len(w.ends) > 0 && w.ends[0].n <= o.Acknowledged {
		w.rec.acknowledged(w.ends[0].key, w.lapsedAt)
		w.ends = w.ends[1:]
	}
	born := w.born
	limit := time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	for waiting := true; waiting && w.up && w.born.Equal(born) && len(w.ends) == 0; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-limit:
			waiting = false
		}
		w.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for t, r := range w.running {
		running = append(running, []any{t, r.number, "", 100, 0})
	}
	sort.Slice(running, func(i, j int) bool { return running[i][0].(string) < running[j][0].(string) })
	for _, e := range w.ends[:min(len(w.ends), endsAtOnce)] {
		ended = append(ended, []any{e.n, e.key.task, e.key.run, e.how, ""})
	}
	if len(w.ends) > endsAtOnce {
		w.rec.event("%s lists %d of %d ends", w.id, endsAtOnce, len(w.ends))
	}
	body["born"], body["running"], body["ended"] = w.born.UnixMilli(), running, ended
}

func (w *worker) String() string { return fmt.Sprintf("%s at %s", w.id, w.address) }
