package platformsim

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// LogSwitches sets how the log fails. The zero value is a healthy log without
// limits.
type LogSwitches struct {
	// Down refuses every operation.
	Down bool `json:"down"`
	// SlowMs delays every operation, in milliseconds.
	SlowMs int `json:"slow_ms"`
	// LoseAnswer is the share of appends that take effect and whose answer
	// is lost, LoseRequest of those that are lost before they take effect.
	LoseAnswer  float64 `json:"lose_answer"`
	LoseRequest float64 `json:"lose_request"`
	// Seed restarts the generator that picks lost appends when it changes.
	Seed uint64 `json:"seed"`
	// Retain is how many records a stream keeps, 0 for all.
	Retain int `json:"retain"`
	// AppendsPerSecond bounds appends, 0 for no bound.
	AppendsPerSecond float64 `json:"appends_per_second"`
}

// stream is one stream of records. The record at offset first is records[0].
type stream struct {
	first   uint64
	records [][]byte
	// changed is closed and replaced when a record is added.
	changed chan struct{}
}

func newStream() *stream {
	return &stream{first: 1, changed: make(chan struct{})}
}

func (s *stream) next() uint64 { return s.first + uint64(len(s.records)) }

func (s *stream) append(data []byte, retain int) uint64 {
	offset := s.next()
	s.records = append(s.records, data)
	s.trim(retain)
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

func (s *stream) trim(retain int) {
	if retain <= 0 || len(s.records) <= retain {
		return
	}
	drop := len(s.records) - retain
	s.records = s.records[drop:]
	s.first += uint64(drop)
}

// log is a set of streams in memory.
type log struct {
	mu       sync.Mutex
	streams  map[string]*stream
	switches LogSwitches
	limiter  *rate.Limiter
	lost     *Chance
	appends  int
	bytes    int
}

func newLog(s LogSwitches) *log {
	l := &log{streams: map[string]*stream{}}
	l.set(s)
	return l
}

func (l *log) set(s LogSwitches) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lost == nil || s.Seed != l.switches.Seed {
		l.lost = NewChance(s.Seed)
	}
	limit := rate.Inf
	if s.AppendsPerSecond > 0 {
		limit = rate.Limit(s.AppendsPerSecond)
	}
	l.limiter = rate.NewLimiter(limit, max(1, int(s.AppendsPerSecond)))
	l.switches = s
	for _, st := range l.streams {
		st.trim(s.Retain)
	}
}

func (l *log) get() LogSwitches {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.switches
}

// admit waits out the log's slowness and reports whether it is up.
func (l *log) admit() bool {
	s := l.get()
	time.Sleep(time.Duration(s.SlowMs) * time.Millisecond)
	return !l.get().Down
}

// stream returns a stream by name. The caller holds l.mu.
func (l *log) stream(name string) *stream {
	st, ok := l.streams[name]
	if !ok {
		st = newStream()
		l.streams[name] = st
	}
	return st
}

// fate is what becomes of an append.
type fate int

const (
	fateAnswered fate = iota
	fateRefused
	fateLostBefore
	fateLostAfter
)

func (l *log) append(name string, data []byte) (uint64, fate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.switches.Down || !l.limiter.Allow() {
		return 0, fateRefused
	}
	if l.lost.Hit(l.switches.LoseRequest) {
		return 0, fateLostBefore
	}
	offset := l.stream(name).append(data, l.switches.Retain)
	l.appends++
	l.bytes += len(data)
	if l.lost.Hit(l.switches.LoseAnswer) {
		return offset, fateLostAfter
	}
	return offset, fateAnswered
}

func (l *log) bounds(name string) (oldest, next uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	st := l.stream(name)
	return st.first, st.next()
}

// readResult is one look at a stream. changed is closed by the next append.
type readResult struct {
	first   uint64
	records [][]byte
	changed <-chan struct{}
	// oldest is set when the read starts before the oldest kept record.
	oldest uint64
}

func (l *log) look(name string, from uint64, limit int) readResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	st := l.stream(name)
	if from < st.first {
		return readResult{oldest: st.first}
	}
	if from >= st.next() {
		return readResult{changed: st.changed}
	}
	records := st.records[from-st.first:]
	if limit > 0 && len(records) > limit {
		records = records[:limit]
	}
	return readResult{first: from, records: records, changed: st.changed}
}

// read looks at a stream and waits for a first record if there is none.
func (l *log) read(name string, from uint64, limit int, wait time.Duration) readResult {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		r := l.look(name, from, limit)
		if r.oldest > 0 || len(r.records) > 0 || wait <= 0 {
			return r
		}
		select {
		case <-r.changed:
		case <-timer.C:
			return r
		}
	}
}
