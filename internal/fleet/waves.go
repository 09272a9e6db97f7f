package fleet

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"greengagedeck/internal/logstore"
	"greengagedeck/internal/record"
)

// fleetPartition holds which hosts of each wave have started, and the handover
// record, so that the next holder of the fleet duty continues where this one
// stops.
var fleetPartition = logstore.Partition{Topic: "fleet", Part: 0}

// WaveSet holds the waves that operators requested. It is safe for concurrent
// use.
type WaveSet struct {
	mu sync.Mutex
	// byNumber holds the waves by their number.
	byNumber map[int]requestedWave
}

// requestedWave is a wave and the time, by this daemon's clock, at which it was
// first seen.
type requestedWave struct {
	Wave
	firstSeen time.Duration
}

// NewWaveSet returns an empty set.
func NewWaveSet() *WaveSet { return &WaveSet{byNumber: map[int]requestedWave{}} }

// Add adds a wave or replaces the one with the same number, which keeps the time
// at which it was first seen.
func (w *WaveSet) Add(wave Wave, now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	firstSeen := now
	if old, ok := w.byNumber[wave.Number]; ok {
		firstSeen = old.firstSeen
	}
	w.byNumber[wave.Number] = requestedWave{wave, firstSeen}
}

// sorted returns the waves in ascending order of their numbers.
func (w *WaveSet) sorted() []requestedWave {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]requestedWave, 0, len(w.byNumber))
	for _, wave := range w.byNumber {
		out = append(out, wave)
	}
	slices.SortFunc(out, func(a, b requestedWave) int { return a.Number - b.Number })
	return out
}

// waveProgress is the record of a wave in fleetPartition.
type waveProgress struct {
	Number    int      `cbor:"1,keyasint"`
	Started   []string `cbor:"2,keyasint,omitempty"`
	Completed bool     `cbor:"3,keyasint,omitempty"`
}

func waveKey(number int) string { return fmt.Sprintf("wave/%d", number) }

func progressEntry(p waveProgress) (logstore.Entry, error) {
	slices.Sort(p.Started)
	value, err := record.Encode(p)
	return logstore.Entry{Key: waveKey(p.Number), Value: value}, err
}

// handoverRecord is what a holder writes for the next one when it gives up the
// duty.
type handoverRecord struct {
	Holder string `cbor:"1,keyasint"`
	// OrderAges is how long ago the last order for each host ended, for hosts
	// with a recent order. It is 0 if the outcome of the order is unknown.
	OrderAges map[string]time.Duration `cbor:"2,keyasint,omitempty"`
	// Token is the token under which it held the duty.
	Token int64 `cbor:"3,keyasint,omitempty"`
}

const handoverKey = "handover"

func handoverEntry(h handoverRecord) (logstore.Entry, error) {
	value, err := record.Encode(h)
	return logstore.Entry{Key: handoverKey, Value: value}, err
}

// loadProgress reads the progress of the waves and the last handover record. The
// record is nil if there is none or it cannot be decoded.
func loadProgress(ctx context.Context, l logstore.Log) (map[int]*waveState, *handoverRecord, error) {
	recs, _, err := logstore.NewestOfAllKeys(ctx, l, fleetPartition)
	if err != nil {
		return nil, nil, err
	}
	out := map[int]*waveState{}
	var last *handoverRecord
	for _, r := range recs {
		if r.Key == handoverKey {
			last = &handoverRecord{}
			if record.Decode(r.Value, last) != nil {
				last = nil
			}
			continue
		}
		var p waveProgress
		if !strings.HasPrefix(r.Key, "wave/") || record.Decode(r.Value, &p) != nil {
			continue
		}
		s := newWaveState()
		s.completed = p.Completed
		for _, host := range p.Started {
			s.started[host] = true
		}
		out[p.Number] = s
	}
	return out, last, nil
}

// waveState is the progress of a wave.
type waveState struct {
	// started holds the hosts whose maintenance was ordered successfully.
	started   map[string]bool
	completed bool
	// loggedStarted is the number of started hosts in the last progress record,
	// and publishedState the last state published to operators.
	loggedStarted  int
	publishedState string
}

func newWaveState() *waveState { return &waveState{started: map[string]bool{}} }
