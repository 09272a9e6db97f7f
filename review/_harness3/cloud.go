package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// fullCPU is the capacity of a machine in thousandths of a core, unless a case gives another.
const fullCPU = 32000

func capacityOf(cpu int) map[string]int {
	return map[string]int{"cpu": cpu, "taskMemoryMb": 65536, "gpu": 0}
}

// The times of a move and of an upkeep, as in the settings.
const (
	moveTime   = 1500 * time.Millisecond
	upkeepTime = 2 * time.Second
)

// cloud is the platform's control of machines.
type cloud struct {
	rec      *record
	listener net.Listener

	mu       sync.Mutex
	machines []*worker
	state    map[string]string
	upkept   map[string]bool
	// waveMachines are the machines of wave 1.
	waveMachines map[string]bool
	// silentUntil is until when no call is answered and nothing is done, and onUpkeep is called
	// with each order for an upkeep before anything is done.
	silentUntil time.Time
	onUpkeep    func(machine string)
	// upkeepEnds is called when an upkeep begins on a machine that is up.
	upkeepEnds func(w *worker)
}

func newCloud(rec *record) (*cloud, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &cloud{rec: rec, listener: ln, state: map[string]string{}, upkept: map[string]bool{}, waveMachines: map[string]bool{}}
	go func() { _ = (&http.Server{Handler: http.HandlerFunc(c.serve)}).Serve(ln) }()
	return c, nil
}

func (c *cloud) address() string { return c.listener.Addr().String() }

// silence has the cloud answer and do nothing for a time.
func (c *cloud) silence(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silentUntil = time.Now().Add(d)
	c.rec.add("the cloud answers nothing for %v", d)
}

func (c *cloud) serve(resp http.ResponseWriter, r *http.Request) {
	var q struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
		Wave    int    `json:"wave"`
	}
	if r.Method == http.MethodPost && json.NewDecoder(r.Body).Decode(&q) != nil {
		resp.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.URL.Path == "/v1/machine-upkeep" {
		c.rec.add("order: upkeep of %s for wave %d, holder %s, fence %s", q.Machine, q.Wave, r.Header.Get("X-Duty-Holder"), r.Header.Get("X-Fencing-Token"))
		if c.onUpkeep != nil {
			c.onUpkeep(q.Machine)
		}
	}
	c.mu.Lock()
	silent := time.Until(c.silentUntil)
	c.mu.Unlock()
	if silent > 0 {
		select {
		case <-r.Context().Done():
		case <-time.After(silent):
		}
		panic(http.ErrAbortHandler)
	}
	switch r.URL.Path {
	case "/v1/machines":
		c.list(resp)
	case "/v1/machine-upkeep":
		c.upkeep(resp, q.Machine, q.Wave)
	case "/v1/machine-move":
		c.move(resp, q.Machine, q.Pool)
	default:
		resp.WriteHeader(http.StatusNotFound)
	}
}

func answer(resp http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	resp.Header().Set("Content-Type", "application/json")
	resp.WriteHeader(status)
	_, _ = resp.Write(data)
}

func (c *cloud) list(resp http.ResponseWriter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rows := []any{}
	for _, w := range c.machines {
		w.mu.Lock()
		state, id := "up", w.id
		if !w.up {
			state, id = "down", ""
		}
		if s := c.state[w.machine]; s != "" {
			state = s
		}
		rows = append(rows, map[string]any{"machine": w.machine, "pool": w.pool, "state": state, "zone": "a", "labels": []string{"a", w.rack}, "capacity": capacityOf(w.cpu), "id": id})
		w.mu.Unlock()
	}
	answer(resp, 200, map[string]any{"machines": rows, "nextToken": nil})
}

func (c *cloud) find(machine string) *worker {
	for _, w := range c.machines {
		if w.machine == machine {
			return w
		}
	}
	return nil
}

func (c *cloud) upkeep(resp http.ResponseWriter, machine string, wave int) {
	c.mu.Lock()
	w := c.find(machine)
	switch {
	case w == nil:
		c.mu.Unlock()
		answer(resp, http.StatusBadRequest, map[string]any{})
		return
	case c.upkept[machine]:
		c.mu.Unlock()
		answer(resp, 200, map[string]any{})
		return
	case wave != 1 || !c.waveMachines[machine]:
		c.mu.Unlock()
		answer(resp, http.StatusConflict, map[string]any{"reason": "wave"})
		return
	case c.state[machine] != "" || !w.isUp():
		c.mu.Unlock()
		answer(resp, http.StatusConflict, map[string]any{"reason": "busy"})
		return
	}
	c.upkept[machine], c.state[machine] = true, "upkeep"
	c.mu.Unlock()
	if c.upkeepEnds != nil {
		c.upkeepEnds(w)
	}
	w.end("upkeep")
	c.rejoin(w, upkeepTime, w.pool)
	answer(resp, 200, map[string]any{})
}

func (c *cloud) move(resp http.ResponseWriter, machine, pool string) {
	c.mu.Lock()
	w := c.find(machine)
	switch {
	case w == nil:
		c.mu.Unlock()
		answer(resp, http.StatusBadRequest, map[string]any{})
		return
	case c.state[machine] != "" || !w.isUp():
		c.mu.Unlock()
		answer(resp, http.StatusConflict, map[string]any{"reason": "busy"})
		return
	}
	c.rec.add("order: move of %s to %s", machine, pool)
	c.state[machine] = "moving"
	c.mu.Unlock()
	w.end("move")
	c.rejoin(w, moveTime, pool)
	answer(resp, 200, map[string]any{})
}

// rejoin begins a new life of a machine after a time.
func (c *cloud) rejoin(w *worker, after time.Duration, pool string) {
	time.AfterFunc(after, func() {
		w.mu.Lock()
		w.pool = pool
		w.mu.Unlock()
		err := w.begin()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.state[w.machine] = ""
		c.rec.add("machine %s is up again in pool %s as %s (%v)", w.machine, pool, w.id, err)
	})
}

func (w *worker) isUp() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.up
}
