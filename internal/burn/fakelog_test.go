package burn

import (
	"context"
	"flag"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"greengagedeck/internal/platform"
)

// testSeed makes runs reproducible. -rapid.seed overrides it for rapid.
const testSeed = 20260301

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20260301")
	goleak.VerifyTestMain(m)
}

// fakeLog is an in-memory log of one stream. It drops records after retention,
// can be down, and can lose the responses of appends that took effect.
type fakeLog struct {
	mu            sync.Mutex
	records       []timedRecord
	oldest        uint64
	retention     time.Duration
	down          bool
	loseResponses float64
	rng           *rand.Rand
}

type timedRecord struct {
	platform.LogRecord
	at time.Time
}

func newFakeLog(retention time.Duration) *fakeLog {
	return &fakeLog{oldest: 1, retention: retention, rng: rand.New(rand.NewPCG(testSeed, 0))}
}

func (l *fakeLog) next() uint64 { return l.oldest + uint64(len(l.records)) }

// expire drops records older than the retention. l.mu must be held.
func (l *fakeLog) expire() {
	for l.retention > 0 && len(l.records) > 0 && time.Since(l.records[0].at) > l.retention {
		l.records = l.records[1:]
		l.oldest++
	}
}

func (l *fakeLog) Append(_ context.Context, _ platform.Stream, data []byte) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, platform.ErrUnavailable
	}
	l.expire()
	rec := platform.LogRecord{Offset: l.next(), Data: data}
	l.records = append(l.records, timedRecord{rec, time.Now()})
	if l.rng.Float64() < l.loseResponses {
		return 0, platform.ErrUncertain
	}
	return rec.Offset, nil
}

func (l *fakeLog) Read(_ context.Context, _ platform.Stream, from uint64, limit int, _ time.Duration) ([]platform.LogRecord, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, platform.ErrUnavailable
	}
	l.expire()
	if from < l.oldest {
		return nil, &platform.TruncatedError{Oldest: l.oldest}
	}
	var out []platform.LogRecord
	for i := from - l.oldest; i < uint64(len(l.records)) && len(out) < limit; i++ {
		out = append(out, l.records[i].LogRecord)
	}
	return out, nil
}

func (l *fakeLog) Bounds(context.Context, platform.Stream) (oldest, next uint64, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, 0, platform.ErrUnavailable
	}
	l.expire()
	return l.oldest, l.next(), nil
}

func (l *fakeLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

func (l *fakeLog) setLoseResponses(share float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loseResponses = share
}

// daemon holds the counter, store and reader of one daemon.
type daemon struct {
	counter *Counter
	store   *Store
	reader  *Reader
	stop    func()
}

// startDaemon starts a publisher and a reader that run until stop is called.
func startDaemon(log platform.Log, id string, leader bool, maxPending int) *daemon {
	d := &daemon{counter: NewCounter(nil), store: NewStore()}
	d.reader = NewReader(ReaderOptions{Store: d.store, Log: log, IsLeader: func() bool { return leader }})
	p := NewPublisher(PublisherOptions{Daemon: id, Counter: d.counter, Log: log, MaxPending: maxPending})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { p.Run(ctx) })
	wg.Go(func() { d.reader.Run(ctx) })
	d.stop = func() {
		cancel()
		wg.Wait()
	}
	return d
}

// totalRequests returns the number of requests that a store has counted between
// from and to.
func totalRequests(s *Store, from, to time.Time) uint64 {
	var n uint64
	for _, c := range s.between(from, to) {
		n += c.Requests()
	}
	return n
}
