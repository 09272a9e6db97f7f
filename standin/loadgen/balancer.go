package loadgen

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	probeInterval = 50 * time.Millisecond
	probeTimeout  = 2 * time.Second
)

// Daemon is one daemon behind the balancer.
type Daemon struct {
	// URL is the address for callers, ReadyURL the readiness endpoint that
	// the balancer probes. A daemon without a ReadyURL is skipped only while
	// it refuses connections.
	URL      string `json:"url"`
	ReadyURL string `json:"ready_url"`
}

// balancer replaces the load balancer of the platform. It distributes requests
// by round robin over the daemons that are ready.
type balancer struct {
	daemons []Daemon
	// clients holds the connections to each daemon.
	clients []*fasthttp.Client
	probes  *fasthttp.Client

	mu        sync.Mutex
	available []bool
	next      int
}

func newBalancer(daemons []Daemon) *balancer {
	b := &balancer{daemons: daemons, probes: newClient(), available: make([]bool, len(daemons))}
	for i := range b.available {
		b.available[i] = true
		b.clients = append(b.clients, newClient())
	}
	return b
}

func (b *balancer) close() {
	for _, c := range append(b.clients, b.probes) {
		c.CloseIdleConnections()
	}
}

// pick returns the index of the next available daemon that is not excluded. If
// there is none, it returns the next daemon in order. An excluded index of -1
// excludes no daemon.
func (b *balancer) pick(excluded int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := len(b.daemons)
	for i := range n {
		d := (b.next + i) % n
		if b.available[d] && d != excluded {
			b.next = d + 1
			return d
		}
	}
	b.next = (b.next + 1) % n
	return b.next
}

// setAvailable records whether a daemon is available. At each change it closes the
// idle connections to the daemon, since they may lead to a process that has ended.
func (b *balancer) setAvailable(d int, available bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available[d] != available {
		b.clients[d].CloseIdleConnections()
	}
	b.available[d] = available
}

// probe checks the readiness of every daemon periodically until stop is closed.
func (b *balancer) probe(stop <-chan struct{}) {
	var wg sync.WaitGroup
	for d := range b.daemons {
		wg.Go(func() { b.probeOne(d, stop) })
	}
	wg.Wait()
}

func (b *balancer) probeOne(d int, stop <-chan struct{}) {
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		b.setAvailable(d, b.ready(b.daemons[d]))
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
