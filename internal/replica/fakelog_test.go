package replica_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"greengagedeck/internal/platform"
)

// fakeLog is an in-memory log that can be down, truncated, or lose the answers of
// appends.
type fakeLog struct {
	mu      sync.Mutex
	streams map[platform.Stream][]platform.LogRecord
	oldest  map[platform.Stream]uint64
	rng     *rand.Rand
	// loseAnswers is the share of appends that take effect and then return
	// ErrUncertain.
	loseAnswers float64
	down        bool
}

func newFakeLog(seed uint64) *fakeLog {
	return &fakeLog{
		streams: map[platform.Stream][]platform.LogRecord{},
		oldest:  map[platform.Stream]uint64{},
		rng:     rand.New(rand.NewPCG(seed, seed)),
	}
}

func (l *fakeLog) Append(_ context.Context, s platform.Stream, data []byte) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, platform.ErrUnavailable
	}
	offset := uint64(len(l.streams[s]) + 1)
	l.streams[s] = append(l.streams[s], platform.LogRecord{Offset: offset, Data: data})
	if l.rng.Float64() < l.loseAnswers {
		return 0, platform.ErrUncertain
	}
	return offset, nil
}

func (l *fakeLog) Read(ctx context.Context, s platform.Stream, from uint64, limit int, wait time.Duration) ([]platform.LogRecord, error) {
	deadline := time.Now().Add(wait)
	for {
		recs, err := l.read(s, from, limit)
		if err != nil || len(recs) > 0 || !time.Now().Before(deadline) {
			return recs, err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (l *fakeLog) read(s platform.Stream, from uint64, limit int) ([]platform.LogRecord, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, platform.ErrUnavailable
	}
	if oldest := max(l.oldest[s], 1); from < oldest {
		return nil, &platform.TruncatedError{Oldest: oldest}
	}
	recs := l.streams[s]
	if from > uint64(len(recs)) {
		return nil, nil
	}
	recs = recs[from-1:]
	return recs[:min(limit, len(recs))], nil
}

func (l *fakeLog) Bounds(_ context.Context, s platform.Stream) (uint64, uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, 0, platform.ErrUnavailable
	}
	return max(l.oldest[s], 1), uint64(len(l.streams[s]) + 1), nil
}

func (l *fakeLog) update(f func(*fakeLog)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l)
}
