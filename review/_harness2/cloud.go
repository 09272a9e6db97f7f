package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// migration is how long a move takes.
const migration = 1500 * time.Millisecond

// cloud lists the machines and moves them. Machines of the standby service are off.
type cloud struct {
	ln      net.Listener
	rec     *recorder
	store   *store
	standby string

	mu       sync.Mutex
	machines []*machine
	// silent is set while the cloud answers nobody and does nothing.
	silent bool
	// onMove is called with each order to move a machine, before anything is done. It may
	// be nil.
	onMove func(m *machine)
	// onMoved is called with what was at work on a machine that was moved. It may be nil.
	onMoved func(m *machine, atWork []string)
}

// machine is a machine and the minion that runs on it, if any.
type machine struct {
	name, pool, state string
	minion            *minion
}

func startCloud(rec *recorder, s *store) (*cloud, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &cloud{ln: ln, rec: rec, store: s}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/machines", c.list)
	mux.HandleFunc("POST /v1/machine-move", c.move)
	mux.HandleFunc("POST /v1/machine-upkeep", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, http.StatusConflict, map[string]string{"reason": "wave"})
	})
	go func() { _ = http.Serve(ln, mux) }()
	return c, nil
}

func (c *cloud) address() string { return c.ln.Addr().String() }

// add adds a machine on which a minion runs.
func (c *cloud) add(m *minion) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machines = append(c.machines, &machine{m.machine, m.service, "up", m})
}

// setSilent begins or ends a time in which the cloud answers nobody.
func (c *cloud) setSilent(silent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = silent
	c.rec.event("cloud: silent is %v", silent)
}

// awaitCaller leaves a call without an answer if the cloud is silent. The caller holds c.mu,
// which is free if it returns true.
func (c *cloud) unanswered(r *http.Request) bool {
	if !c.silent {
		return false
	}
	c.mu.Unlock()
	<-r.Context().Done()
	return true
}

func (c *cloud) list(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	if c.unanswered(r) {
		return
	}
	defer c.mu.Unlock()
	out := []map[string]any{}
	for _, m := range c.machines {
		id := ""
		if m.minion != nil {
			id = m.minion.id
		}
		out = append(out, map[string]any{
			"machine": m.name, "pool": m.pool, "state": m.state, "zone": "z1", "labels": []string{"a", "r1"},
			"capacity": map[string]int{"cpu": cpuOfMinion, "taskMemoryMb": 65536, "gpu": 0}, "id": id,
		})
	}
	answer(w, http.StatusOK, map[string]any{"machines": out, "nextToken": nil})
}

func (c *cloud) move(w http.ResponseWriter, r *http.Request) {
	var order struct{ Machine, Pool string }
	if json.NewDecoder(r.Body).Decode(&order) != nil {
		answer(w, http.StatusBadRequest, map[string]string{})
		return
	}
	c.mu.Lock()
	var m *machine
	for _, other := range c.machines {
		if other.name == order.Machine {
			m = other
		}
	}
	if m != nil && c.onMove != nil {
		c.onMove(m)
	}
	c.rec.event("cloud: order of %s with token %s to move %s to %s, silent is %v", r.Header.Get("X-Duty-Holder"), r.Header.Get("X-Fencing-Token"), order.Machine, order.Pool, c.silent)
	if c.unanswered(r) {
		return
	}
	defer c.mu.Unlock()
	switch {
	case m == nil:
		answer(w, http.StatusBadRequest, map[string]string{})
		return
	case m.pool == order.Pool:
		answer(w, http.StatusOK, map[string]string{})
		return
	case m.state != "up":
		answer(w, http.StatusConflict, map[string]string{"reason": "busy"})
		return
	}
	m.pool, m.state = order.Pool, "moving"
	old := m.minion
	m.minion = nil
	if old != nil {
		atWork := old.leave(c.store)
		c.rec.event("cloud: %s leaves %s, which ends minion %s with %d tasks at work", m.name, old.service, old.id, len(atWork))
		if c.onMoved != nil {
			c.onMoved(m, atWork)
		}
	}
	time.AfterFunc(migration, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		m.state = "up"
		if m.pool != c.standby && old != nil {
			if n, err := startMinion(old.id+"x", m.pool, old.cpu, c.store, old.rec, old.watch); err == nil {
				n.machine = m.name
				m.minion = n
			}
		}
	})
	answer(w, http.StatusOK, map[string]string{})
}
