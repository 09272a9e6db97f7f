package main

import (
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
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
	silentUntil time.Time
}

func newStoreProxy(store string, rec *record) (*storeProxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &storeProxy{listener: ln, rec: rec}
	next := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: store})
	next.ErrorLog = log.New(io.Discard, "", 0)
	next.Transport = &http.Transport{MaxIdleConnsPerHost: 200}
	go func() {
		_ = http.Serve(ln, http.HandlerFunc(func(resp http.ResponseWriter, r *http.Request) {
			p.mu.Lock()
			silent := time.Duration(0)
			if r.URL.Query().Get("topic") == p.topic {
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

// silence has the partitions of a topic do and answer nothing for a time.
func (p *storeProxy) silence(topic string, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.topic, p.silentUntil = topic, time.Now().Add(d)
	p.rec.add("the store is down in part: the partitions of %s do and answer nothing for %v", topic, d)
}
