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

// testSeed makes runs repeatable; -rapid.seed overrides it for rapid.
const testSeed = 20260301

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20260301")
	goleak.VerifyTestMain(m)
}

// fakeLog is one stream in memory that keeps records for a time and can be
// down or lose answers.
type fakeLog struct {
	mu          sync.Mutex
	records     []timedRecord
	oldest      uint64
	retention   time.Duration
	down        bool
	loseAnswers float64
	rng         *rand.Rand
}

type timedRecord struct {
	platform.LogRecord
	at time.Time
}

func newFakeLog(retention time.Duration) *fakeLog {
	return &fakeLog{oldest: 1, retention: retention, rng: rand.New(rand.NewPCG(testSeed, 0))}
}

func (l *fakeLog) next() uint64 { return l.oldest + uint64(len(l.records)) }

// expire drops what is older than the retention; mu must be held.
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
	if l.rng.Float64() < l.loseAnswers {
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

func (l *fakeLog) setLoseAnswers(share float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loseAnswers = share
}

// daemon is one daemon's burn service.
type daemon struct {
	counter *Counter
	store   *Store
	reader  *Reader
	stop    func()
}

// startDaemon runs a daemon until stop is called.
func startDaemon(log platform.Log, id string, lowest bool, maxPending int) *daemon {
	d := &daemon{counter: NewCounter(nil), store: NewStore()}
	d.reader = NewReader(ReaderOptions{Store: d.store, Log: log, Lowest: func() bool { return lowest }})
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

// total returns the requests that a store knows of a span of time.
func total(s *Store, from, to time.Time) uint64 {
	var n uint64
	for _, c := range s.between(from, to) {
		n += c.Requests()
	}
	return n
}
