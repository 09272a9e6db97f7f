package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

const (
	// recordBytes and callBytes are the limits in the settings with these names.
	recordBytes = 262144
	callBytes   = 2097152
	// storeDelay is how long a call takes.
	storeDelay = 4 * time.Millisecond
	// pageRecords and pageBytes bound a page of the newest records.
	pageRecords = 500
	pageBytes   = 1 << 20
	// repeatsKnown is how many of the last appends of a producer may be repeated.
	repeatsKnown = 5
)

// store is the platform's log, with topics of which the newest record of each key counts.
type store struct {
	ln  net.Listener
	mu  sync.Mutex
	all map[string]*partition
}

// partition is one partition of a topic.
type partition struct {
	records   [][]byte
	newest    map[string]int
	producers map[string]*producer
	changed   chan struct{}
}

// producer is what a partition knows of a producer's appends.
type producer struct {
	epoch, last int64
	begun       bool
	answers     map[int64]appended
}

// appended is the answer to an append.
type appended struct {
	Offset int64 `json:"offset"`
	End    int64 `json:"end"`
}

func startStore() (*store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{ln: ln, all: map[string]*partition{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log-append", s.append)
	mux.HandleFunc("GET /v1/log-read", s.read)
	mux.HandleFunc("GET /v1/log-newest", s.newestRecords)
	go func() { _ = http.Serve(ln, mux) }()
	return s, nil
}

func (s *store) address() string { return s.ln.Addr().String() }

// part returns a partition. The caller holds s.mu.
func (s *store) part(topic, number string) *partition {
	key := topic + "/" + number
	p := s.all[key]
	if p == nil {
		p = &partition{newest: map[string]int{}, producers: map[string]*producer{}, changed: make(chan struct{})}
		s.all[key] = p
	}
	return p
}

// add appends records. The caller holds s.mu.
func (p *partition) add(records [][]byte) appended {
	first := len(p.records)
	for _, r := range records {
		n := int(r[0])
		key := string(r[1 : 1+n])
		if len(r) == 1+n {
			delete(p.newest, key)
		} else {
			p.newest[key] = len(p.records)
		}
		p.records = append(p.records, r)
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return appended{int64(first), int64(len(p.records))}
}

// put writes a record on behalf of the operator or a minion.
func (s *store) put(topic, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.part("keyed."+topic, "0").add([][]byte{append(append([]byte{byte(len(key))}, key...), data...)})
}

// drop deletes a key.
func (s *store) drop(topic, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.part("keyed."+topic, "0").add([][]byte{append([]byte{byte(len(key))}, key...)})
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// framed splits the body of an append into records.
func framed(body []byte) (out [][]byte, ok bool) {
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(body))
		if n < 1 || n > recordBytes || n > len(body)-4 || int(body[4]) > n-1 {
			return nil, false
		}
		out = append(out, body[4:4+n])
		body = body[4+n:]
	}
	return out, true
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	body, err := io.ReadAll(r.Body)
	q := r.URL.Query()
	if err != nil || q.Get("topic") == "keyed.op" || q.Get("topic") == "keyed.servers" {
		answer(w, http.StatusForbidden, map[string]string{})
		return
	}
	records, ok := framed(body)
	if !ok || len(body) > callBytes {
		answer(w, http.StatusBadRequest, map[string]string{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(q.Get("topic"), q.Get("part"))
	if at := q.Get("at"); at != "" && at != strconv.Itoa(len(p.records)) {
		answer(w, http.StatusPreconditionFailed, map[string]int{"end": len(p.records)})
		return
	}
	name := q.Get("producer")
	if name == "" {
		answer(w, http.StatusOK, p.add(records))
		return
	}
	epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)
	sequence, _ := strconv.ParseInt(q.Get("sequence"), 10, 64)
	known := p.producers[name]
	switch {
	case known != nil && epoch < known.epoch:
		answer(w, http.StatusConflict, map[string]string{"reason": "fenced"})
		return
	case known == nil || epoch > known.epoch:
		known = &producer{epoch: epoch, answers: map[int64]appended{}}
		p.producers[name] = known
	}
	if first, repeated := known.answers[sequence]; repeated {
		answer(w, http.StatusOK, first)
		return
	}
	if known.begun && sequence != known.last+1 {
		answer(w, http.StatusConflict, map[string]any{"reason": "seq", "expected": known.last + 1})
		return
	}
	a := appended{int64(len(p.records)), int64(len(p.records))}
	if len(records) > 0 {
		a = p.add(records)
	}
	known.begun, known.last = true, sequence
	known.answers[sequence] = a
	delete(known.answers, sequence-repeatsKnown)
	answer(w, http.StatusOK, a)
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		p := s.part(q.Get("topic"), q.Get("part"))
		end, changed := len(p.records), p.changed
		var list [][]byte
		if from < end {
			list = p.records[from:end]
		}
		s.mu.Unlock()
		if len(list) > 0 || wait == 0 {
			writeRecords(w, end, list)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func writeRecords(w http.ResponseWriter, end int, list [][]byte) {
	out := binary.BigEndian.AppendUint64(nil, uint64(end))
	out = binary.BigEndian.AppendUint64(out, 0)
	for i, rec := range list {
		if i > 0 && len(out) > pageBytes {
			break
		}
		out = binary.BigEndian.AppendUint32(out, uint32(len(rec)))
		out = append(out, rec...)
	}
	_, _ = w.Write(out)
}

func (s *store) newestRecords(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	q := r.URL.Query()
	s.mu.Lock()
	p := s.part(q.Get("topic"), q.Get("part"))
	var keys []string
	for k := range p.newest {
		if k > q.Get("after") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items, size, more := []item{}, 0, false
	for _, k := range keys {
		rec := p.records[p.newest[k]]
		size += len(rec)
		if len(items) == pageRecords || len(items) > 0 && size > pageBytes {
			more = true
			break
		}
		items = append(items, item{k, rec[1+len(k):], p.newest[k]})
	}
	end := len(p.records)
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"items": items, "more": more, "end": end})
}
