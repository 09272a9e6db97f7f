package platformsim

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// LogSwitches sets the faults and limits of the log. The zero value is a healthy log
// without limits.
type LogSwitches struct {
	// Down rejects every operation.
	Down bool `json:"down"`
	// SlowMs delays every operation, in milliseconds.
	SlowMs int `json:"slow_ms"`
	// LoseAnswer is the share of appends that take effect but get no response.
	// LoseRequest is the share of appends that are lost before they take effect.
	LoseAnswer  float64 `json:"lose_answer"`
	LoseRequest float64 `json:"lose_request"`
	// Seed seeds the generator that selects lost appends. A change of it restarts
	// the generator.
	Seed uint64 `json:"seed"`
	// Retain is how many records a stream keeps, 0 for no limit.
	Retain int `json:"retain"`
	// AppendsPerSecond is the rate limit of appends, 0 for no limit.
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

// log is a set of in-memory streams.
type log struct {
	mu          sync.Mutex
	streams     map[string]*stream
	switches    LogSwitches
	limiter     *rate.Limiter
	lossSampler *Sampler
	appends     int
	bytes       int
}

func newLog(s LogSwitches) *log {
	l := &log{streams: map[string]*stream{}}
	l.setSwitches(s)
	return l
}

func (l *log) setSwitches(s LogSwitches) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lossSampler == nil || s.Seed != l.switches.Seed {
		l.lossSampler = NewSampler(s.Seed)
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

func (l *log) currentSwitches() LogSwitches {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.switches
}

// delayThenCheckUp sleeps for the configured delay and then reports whether the log
// is up.
func (l *log) delayThenCheckUp() bool {
	s := l.currentSwitches()
	time.Sleep(time.Duration(s.SlowMs) * time.Millisecond)
	return !l.currentSwitches().Down
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

// appendOutcome is the result of an append: responded to, rejected, or lost before or
// after it took effect.
type appendOutcome int

const (
	appendResponded appendOutcome = iota
	appendRejected
	appendRequestLost
	appendResponseLost
)

func (l *log) append(name string, data []byte) (uint64, appendOutcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.switches.Down || !l.limiter.Allow() {
		return 0, appendRejected
	}
	if l.lossSampler.Draw(l.switches.LoseRequest) {
		return 0, appendRequestLost
	}
	offset := l.stream(name).append(data, l.switches.Retain)
	l.appends++
	l.bytes += len(data)
	if l.lossSampler.Draw(l.switches.LoseAnswer) {
		return offset, appendResponseLost
	}
	return offset, appendResponded
}

func (l *log) bounds(name string) (oldest, next uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	st := l.stream(name)
	return st.first, st.next()
}

// readResult is the result of one read of a stream. changed is closed by the next
// append.
type readResult struct {
	first   uint64
	records [][]byte
	changed <-chan struct{}
	// oldest is the offset of the oldest record. It is set only when the read starts
	// before that.
	oldest uint64
}

func (l *log) readOnce(name string, from uint64, limit int) readResult {
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

// read reads a stream. When there is no record yet, it waits for one for at most wait.
func (l *log) read(name string, from uint64, limit int, wait time.Duration) readResult {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		r := l.readOnce(name, from, limit)
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
