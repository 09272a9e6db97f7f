package main

import (
	"io"
	"log"
	"maps"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"
)

// storeProxy stands before the store and can be silent for some topics: such calls are not
// passed on and get no answer.
type storeProxy struct {
	listener net.Listener
	rec      *record

	mu          sync.Mutex
	topic       string
	parts       []int
	silentUntil time.Time
	// used are the partitions that were called.
	used map[string]bool
}

func newStoreProxy(store string, rec *record) (*storeProxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &storeProxy{listener: ln, rec: rec, used: map[string]bool{}}
	next := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: store})
	next.ErrorLog = log.New(io.Discard, "", 0)
	next.Transport = &http.Transport{MaxIdleConnsPerHost: 200}
	go func() {
		_ = http.Serve(ln, http.HandlerFunc(func(resp http.ResponseWriter, r *http.Request) {
			p.mu.Lock()
			silent := time.Duration(0)
			topic, text := r.URL.Query().Get("topic"), r.URL.Query().Get("part")
			part, _ := strconv.Atoi(text)
			p.used[topic+" "+text] = true
			if topic == p.topic && slices.Contains(p.parts, part) {
				silent = time.Until(p.silentUntil)
			}
			p.mu.Unlock()
			if silent > 0 {
				select {
				case <-r.Context().Done():
				case <-time.After(silent):
				}
				panic(http.ErrAbortHandler)
			}
			next.ServeHTTP(resp, r)
		}))
	}()
	return p, nil
}

// logUse records which partitions are in use.
func (p *storeProxy) logUse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rec.add("%d partitions are in use: %v", len(p.used), slices.Sorted(maps.Keys(p.used)))
}

// silence has some partitions of a topic do and answer nothing for a time.
func (p *storeProxy) silence(topic string, parts []int, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.topic, p.parts, p.silentUntil = topic, parts, time.Now().Add(d)
	p.rec.add("the store is down in part: the partitions %v of %s do and answer nothing for %v", parts, topic, d)
}
