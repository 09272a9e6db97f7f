package loadgen

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	probeEvery   = 50 * time.Millisecond
	probeTimeout = 2 * time.Second
)

// Daemon is one daemon behind the balancer.
type Daemon struct {
	// URL is where callers reach it, ReadyURL what the balancer probes. A
	// daemon without a ReadyURL is left out only while it refuses
	// connections.
	URL      string `json:"url"`
	ReadyURL string `json:"ready_url"`
}

// balancer stands in for the platform's: round robin over the daemons that
// are ready.
type balancer struct {
	daemons []Daemon
	// clients holds the connections to each daemon.
	clients []*fasthttp.Client
	probes  *fasthttp.Client

	mu   sync.Mutex
	up   []bool
	next int
}

func newBalancer(daemons []Daemon) *balancer {
	b := &balancer{daemons: daemons, probes: newClient(), up: make([]bool, len(daemons))}
	for i := range b.up {
		b.up[i] = true
		b.clients = append(b.clients, newClient())
	}
	return b
}

func (b *balancer) close() {
	for _, c := range append(b.clients, b.probes) {
		c.CloseIdleConnections()
	}
}

// pick returns the index of the next daemon that is up, other than not, or of
// the next one at all when none is. A not of -1 excludes nothing.
func (b *balancer) pick(not int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := len(b.daemons)
	for i := range n {
		d := (b.next + i) % n
		if b.up[d] && d != not {
			b.next = d + 1
			return d
		}
	}
	b.next = (b.next + 1) % n
	return b.next
}

// set notes whether a daemon is up. At each change its idle connections are
// closed: they may lead to a process that is gone.
func (b *balancer) set(d int, up bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.up[d] != up {
		b.clients[d].CloseIdleConnections()
	}
	b.up[d] = up
}

// probe asks every daemon for readiness until stop closes.
func (b *balancer) probe(stop <-chan struct{}) {
	var wg sync.WaitGroup
	for d := range b.daemons {
		wg.Go(func() { b.probeOne(d, stop) })
	}
	wg.Wait()
}

func (b *balancer) probeOne(d int, stop <-chan struct{}) {
	tick := time.NewTicker(probeEvery)
	defer tick.Stop()
	for {
		b.set(d, b.ready(b.daemons[d]))
		select {
		case <-tick.C:
		case <-stop:
			return
		}
	}
}

func (b *balancer) ready(d Daemon) bool {
	url := d.ReadyURL
	if url == "" {
		url = d.URL
	}
	status, _, err := b.probes.GetTimeout(nil, url, probeTimeout)
	if err != nil {
		return false
	}
	return d.ReadyURL == "" || status == fasthttp.StatusOK
}
