package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// recordBytes and callBytes are the limits of the settings with these names.
	recordBytes = 262144
	callBytes   = 2097152
	// pageKeys and pageBytes bound a page of the newest records.
	pageKeys  = 500
	pageBytes = 1 << 20
	// appendTime is how long a partition takes for one append.
	appendTime = 3 * time.Millisecond
)

// storedRecord is a record of a keyed topic.
type storedRecord struct {
	Offset int64
	Key    string
	Value  []byte
	// raw is the record as it was appended, without its length.
	raw []byte
}

// producerState is what the store knows of a producer in one partition.
type producerState struct {
	epoch, sequence int64
	started         bool
	recent          []pastAppend
}

type pastAppend struct{ sequence, offset, end int64 }

type partition struct {
	appending sync.Mutex
	records   []storedRecord
	newest    map[string]storedRecord
	producers map[string]*producerState
	grown     chan struct{}
}

// store is a stand-in of the platform's store.
type store struct {
	rec      *recorder
	listener net.Listener
	// down makes the store answer every call of the daemons with status 503.
	down atomic.Bool

	mu    sync.Mutex
	parts map[string]*partition
}

func startStore(rec *recorder) (*store, error) {
	s := &store{rec: rec, parts: map[string]*partition{}}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.listener = ln
	go func() { _ = http.Serve(ln, http.HandlerFunc(s.serve)) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// partition returns a partition. The caller holds s.mu.
func (s *store) partition(topic, part string) *partition {
	key := topic + "/" + part
	p := s.parts[key]
	if p == nil {
		p = &partition{newest: map[string]storedRecord{}, producers: map[string]*producerState{}, grown: make(chan struct{})}
		s.parts[key] = p
	}
	return p
}

// put writes a record on behalf of an operator or a worker.
func (s *store) put(topic, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partition("keyed."+topic, "0").add([][]byte{append(append([]byte{byte(len(key))}, key...), data...)})
}

// remove deletes a key on behalf of an operator or a worker.
func (s *store) remove(topic, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partition("keyed."+topic, "0").add([][]byte{append([]byte{byte(len(key))}, key...)})
}

// value returns the newest value of a key.
func (s *store) value(topic, part, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.partition("keyed."+topic, part).newest[key].Value
}

func (p *partition) add(raw [][]byte) {
	for _, r := range raw {
		n := int(r[0])
		rec := storedRecord{Offset: int64(len(p.records)), Key: string(r[1 : 1+n]), Value: r[1+n:], raw: r}
		p.records = append(p.records, rec)
		if len(rec.Value) == 0 {
			delete(p.newest, rec.Key)
		} else {
			p.newest[rec.Key] = rec
		}
	}
	close(p.grown)
	p.grown = make(chan struct{})
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.down.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/v1/log-append":
		s.append(w, r, body)
	case "/v1/log-read":
		s.read(w, r)
	case "/v1/log-newest":
		s.pageOfNewest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func number(r *http.Request, name string) int64 {
	n, _ := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	return n
}

// split returns the records of an append, or false if one exceeds a limit.
func split(body []byte) (raw [][]byte, ok bool) {
	if len(body) > callBytes {
		return nil, false
	}
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > recordBytes || n > len(body)-4 || n < 1 || int(body[4]) > n-1 {
			return nil, false
		}
		raw = append(raw, append([]byte(nil), body[4:4+n]...))
		body = body[4+n:]
	}
	return raw, len(body) == 0
}

func (s *store) append(w http.ResponseWriter, r *http.Request, body []byte) {
	q := r.URL.Query()
	raw, ok := split(body)
	if !ok {
		s.rec.event("store rejects an append to %s/%s: a record of over %d bytes (%d bytes in the call)", q.Get("topic"), q.Get("part"), recordBytes, len(body))
		reply(w, http.StatusBadRequest, map[string]string{"reason": "size"})
		return
	}
	s.mu.Lock()
	p := s.partition(q.Get("topic"), q.Get("part"))
	s.mu.Unlock()
	p.appending.Lock()
	defer p.appending.Unlock()
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	end := int64(len(p.records))
	if q.Has("at") && number(r, "at") != end {
		reply(w, http.StatusPreconditionFailed, map[string]int64{"end": end})
		return
	}
	var from *producerState
	sequence := number(r, "sequence")
	if q.Has("producer") {
		from = p.producers[q.Get("producer")]
		if from == nil {
			from = &producerState{}
			p.producers[q.Get("producer")] = from
		}
		switch epoch := number(r, "epoch"); {
		case epoch < from.epoch:
			reply(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		case epoch > from.epoch:
			*from = producerState{epoch: epoch}
		}
		if len(raw) > 0 {
			for _, past := range from.recent {
				if past.sequence == sequence {
					reply(w, http.StatusOK, map[string]int64{"offset": past.offset, "end": past.end})
					return
				}
			}
			if from.started && sequence != from.sequence+1 {
				reply(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": from.sequence + 1})
				return
			}
		}
	}
	if len(raw) > 0 {
		p.add(raw)
	}
	result := pastAppend{sequence: sequence, offset: end, end: int64(len(p.records))}
	if from != nil && len(raw) > 0 {
		from.started, from.sequence = true, sequence
		from.recent = append(from.recent, result)
		from.recent = from.recent[max(0, len(from.recent)-5):]
	}
	reply(w, http.StatusOK, map[string]int64{"offset": result.offset, "end": result.end})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from := number(r, "from")
	limit := time.After(time.Duration(number(r, "waitMs")) * time.Millisecond)
	for {
		s.mu.Lock()
		p := s.partition(q.Get("topic"), q.Get("part"))
		records, grown := p.records, p.grown
		s.mu.Unlock()
		if from < int64(len(records)) {
			writeRecords(w, records, from)
			return
		}
		select {
		case <-grown:
		case <-limit:
			writeRecords(w, records, from)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeRecords(w http.ResponseWriter, records []storedRecord, from int64) {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for i := from; i < int64(len(records)) && len(out) < pageBytes; i++ {
		out = binary.BigEndian.AppendUint32(out, uint32(len(records[i].raw)))
		out = append(out, records[i].raw...)
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(out)
}

func (s *store) pageOfNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	p := s.partition(q.Get("topic"), q.Get("part"))
	var keys []string
	for k := range p.newest {
		if strings.Compare(k, q.Get("after")) > 0 {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int64  `json:"offset"`
	}
	items, size, more := []item{}, 0, false
	for _, k := range keys {
		rec := p.newest[k]
		if len(items) == pageKeys || size > pageBytes {
			more = true
			break
		}
		items = append(items, item{k, rec.Value, rec.Offset})
		size += len(rec.Value)
	}
	end := len(p.records)
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "more": more, "end": end})
}
