package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeat is how often a minion writes its entry.
	heartbeat = 1500 * time.Millisecond
	// stopTime is how long a stop takes.
	stopTime = 50 * time.Millisecond
	maxHold  = 2000
	maxEnds  = 500
)

// holdMax is the longest lease that a minion grants: that of kumot-hq, unless a scenario for
// another site changes it before it starts its deployment.
var holdMax = 10 * time.Second

// minion runs tasks under a lease.
type minion struct {
	id, machine, service, address string
	cpu                           int
	rec                           *recorder
	watch                         *watcher
	start                         time.Time

	mu      sync.Mutex
	token   int64
	lease   time.Duration
	running map[string]*taskRun
	highest map[string]int
	ended   [][]any
	lastEnd int64
	changed chan struct{}
	// down is set while the minion has crashed, and gone once it has left for good.
	down, gone bool
	beat       int
}

// taskRun is a run that is at work.
type taskRun struct {
	number  int
	spec    taskSpec
	begun   time.Time
	timer   *time.Timer
	stopped bool
}

// taskSpec is what the text that a job carries for its tasks means to a minion.
type taskSpec struct {
	// Ms is the running time in milliseconds.
	Ms int
	// Saves is set for tasks that save their progress, and Fails for those that fail at the
	// end of their running time.
	Saves, Fails bool
}

// String returns the text.
func (t taskSpec) String() string {
	out := strconv.Itoa(t.Ms)
	if t.Saves {
		out += " saves"
	}
	if t.Fails {
		out += " fails"
	}
	return out
}

func parseTaskSpec(text string) (t taskSpec) {
	for i, word := range strings.Fields(text) {
		switch {
		case i == 0:
			t.Ms, _ = strconv.Atoi(word)
		case word == "saves":
			t.Saves = true
		case word == "fails":
			t.Fails = true
		}
	}
	return t
}

// savedEvery is after how much work a new checkpoint is saved.
const savedEvery = 2 * time.Second

// saved returns the newest checkpoint of a run, the name of the object that holds it.
func (r *taskRun) saved(task string) string {
	n := int(time.Since(r.begun) / savedEvery)
	if !r.spec.Saves || n == 0 {
		return ""
	}
	return fmt.Sprintf("checkpoints/%s/run-%06d/%06d-%016x-%016x.ckpt", task, r.number, n, r.begun.UnixNano(), n)
}

// used returns how many runs are at work.
func (m *minion) used() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.running)
}

// watcher sees what runs on all minions.
type watcher struct {
	rec *recorder

	mu sync.Mutex
	// active names, by task, the minions on which it runs.
	active map[string]map[string]bool
	// doubles are the tasks that ran on two minions at once.
	doubles map[string]string
	begun   map[string]int
}

func newWatcher(rec *recorder) *watcher {
	return &watcher{rec: rec, active: map[string]map[string]bool{}, doubles: map[string]string{}, begun: map[string]int{}}
}

func (w *watcher) started(task, minion string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.active[task] == nil {
		w.active[task] = map[string]bool{}
	}
	for other := range w.active[task] {
		w.doubles[task] = other + " and " + minion
		w.rec.event("TWICE: task %s starts on %s while it runs on %s", task, minion, other)
	}
	w.active[task][minion] = true
	w.begun[task]++
}

func (w *watcher) ended(task, minion string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.active[task], minion)
}

// starts returns how often a task has started.
func (w *watcher) starts(task string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.begun[task]
}

// doubled returns how many tasks ran on two minions at once.
func (w *watcher) doubled() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.doubles)
}

func startMinion(id, service string, cpu int, s *store, rec *recorder, watch *watcher) (*minion, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &minion{
		id: id, machine: "m-" + id, service: service, address: ln.Addr().String(), cpu: cpu, rec: rec, watch: watch, start: time.Now(),
		running: map[string]*taskRun{}, highest: map[string]int{}, changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", m.order(m.runStart))
	mux.HandleFunc("POST /v1/run-stop", m.order(m.runStop))
	mux.HandleFunc("POST /v1/pace", m.order(func(request) (int, map[string]any) { return http.StatusOK, map[string]any{} }))
	mux.HandleFunc("POST /v1/hold", m.order(m.hold))
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	go func() { _ = http.Serve(ln, mux) }()
	go func() {
		for {
			m.report(s)
			time.Sleep(heartbeat)
		}
	}()
	go m.expire()
	return m, nil
}

// report writes the minion's entry.
func (m *minion) report(s *store) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down || m.gone {
		return
	}
	m.beat++
	s.put("servers", m.id, map[string]any{
		"service": m.service, "address": m.address, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
		"capacity": map[string]int{"cpu": m.cpu, "taskMemoryMb": 65536, "gpu": 0}, "labels": []string{"a", "r1"},
		"clockMs": m.clock().Milliseconds(), "sequence": m.beat, "born": m.start.UnixMilli(), "machine": m.machine,
	})
}

// lose ends everything that runs and forgets all. The caller holds m.mu.
func (m *minion) lose() (atWork []string) {
	for task, r := range m.running {
		r.timer.Stop()
		if !r.stopped {
			atWork = append(atWork, task)
		}
		m.watch.ended(task, m.id)
	}
	m.token, m.lease, m.lastEnd, m.ended, m.beat = 0, 0, 0, nil, 0
	m.running, m.highest = map[string]*taskRun{}, map[string]int{}
	close(m.changed)
	m.changed = make(chan struct{})
	return atWork
}

// crash has the minion crash and start again under its id after a time.
func (m *minion) crash(s *store, away time.Duration) {
	m.mu.Lock()
	m.rec.event("minion %s crashes, %d tasks run there", m.id, len(m.running))
	m.lose()
	m.down = true
	m.mu.Unlock()
	time.Sleep(away)
	m.mu.Lock()
	m.start, m.down = time.Now(), false
	m.rec.event("minion %s is back under the same id", m.id)
	m.mu.Unlock()
	m.report(s)
}

// leave ends the minion for good, with everything that runs on it. It returns what was at
// work.
func (m *minion) leave(s *store) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gone = true
	s.drop("servers", m.id)
	return m.lose()
}

// clock returns the time on the minion's own clock. The caller holds m.mu.
func (m *minion) clock() time.Duration { return time.Since(m.start) }

// expire kills everything when the lease has expired.
func (m *minion) expire() {
	for {
		time.Sleep(10 * time.Millisecond)
		m.mu.Lock()
		if m.clock() > m.lease {
			for task := range m.running {
				m.end(task, "lapsed")
			}
		}
		m.mu.Unlock()
	}
}

// end records the end of a run. The caller holds m.mu.
func (m *minion) end(task, how string) {
	r := m.running[task]
	r.timer.Stop()
	saved := ""
	if how != "done" {
		saved = r.saved(task)
	}
	delete(m.running, task)
	m.highest[task] = max(m.highest[task], r.number)
	m.lastEnd++
	m.ended = append(m.ended, []any{m.lastEnd, task, r.number, how, saved})
	m.rec.event("minion %s of %s: task %s run %d ends %s", m.id, m.service, task, r.number, how)
	m.watch.ended(task, m.id)
	close(m.changed)
	m.changed = make(chan struct{})
}

// request is the body of every call.
type request struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	UntilMs      int64  `json:"untilMs"`
	FencingToken int64  `json:"fencingToken"`
	Acknowledged int64  `json:"acknowledged"`
	WaitMs       int64  `json:"waitMs"`
}

func (m *minion) order(do func(request) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Expect-Instance") != m.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var req request
		if json.NewDecoder(r.Body).Decode(&req) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		m.mu.Lock()
		if m.down || m.gone {
			m.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		fenced := req.FencingToken < m.token
		if !fenced {
			m.token = req.FencingToken
			m.lease = max(m.lease, min(time.Duration(req.UntilMs)*time.Millisecond, m.clock()+holdMax))
		}
		m.mu.Unlock()
		status, body := http.StatusConflict, map[string]any{"reason": "fence"}
		if !fenced {
			status, body = do(req)
		}
		m.mu.Lock()
		body["clockMs"] = m.clock().Milliseconds()
		m.mu.Unlock()
		answer(w, status, body)
	}
}

func conflict(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

func (m *minion) runStart(req request) (int, map[string]any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.running[req.Task]
	switch {
	case r != nil && r.number == req.Run:
		return http.StatusOK, map[string]any{}
	case r != nil || req.Run <= m.highest[req.Task]:
		return conflict("old")
	case time.Duration(req.UntilMs)*time.Millisecond <= m.clock():
		return conflict("late")
	}
	r = &taskRun{number: req.Run, spec: parseTaskSpec(req.Spec), begun: time.Now()}
	how := "done"
	if r.spec.Fails {
		how = "failed"
	}
	r.timer = time.AfterFunc(time.Duration(r.spec.Ms)*time.Millisecond, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.running[req.Task] == r && !r.stopped {
			m.end(req.Task, how)
		}
	})
	m.running[req.Task] = r
	m.rec.event("minion %s of %s: task %s run %d starts, token %d", m.id, m.service, req.Task, req.Run, req.FencingToken)
	m.watch.started(req.Task, m.id)
	return http.StatusOK, map[string]any{}
}

func (m *minion) runStop(req request) (int, map[string]any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.highest[req.Task] = max(m.highest[req.Task], req.Run)
	if r := m.running[req.Task]; r != nil && r.number <= req.Run && !r.stopped {
		r.stopped = true
		time.AfterFunc(stopTime, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			if m.running[req.Task] == r {
				m.end(req.Task, "stopped")
			}
		})
	}
	return http.StatusOK, map[string]any{}
}

func (m *minion) hold(req request) (int, map[string]any) {
	deadline := time.After(time.Duration(min(req.WaitMs, maxHold)) * time.Millisecond)
	m.mu.Lock()
	defer m.mu.Unlock()
	for len(m.ended) > 0 && m.ended[0][0].(int64) <= req.Acknowledged {
		m.ended = m.ended[1:]
	}
	start := m.start
	for waiting := req.WaitMs > 0; waiting && len(m.ended) == 0 && !m.down && !m.gone && start.Equal(m.start); {
		changed := m.changed
		m.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		}
		m.mu.Lock()
	}
	if m.down || m.gone || !start.Equal(m.start) {
		// The life that got the call has ended.
		panic(http.ErrAbortHandler)
	}
	running := [][]any{}
	for task, r := range m.running {
		running = append(running, []any{task, r.number, r.saved(task), 100, 0})
	}
	return http.StatusOK, map[string]any{"born": m.start.UnixMilli(), "running": running, "ended": append([][]any{}, m.ended[:min(len(m.ended), maxEnds)]...)}
}
