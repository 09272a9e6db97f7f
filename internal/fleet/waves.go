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

// wavePartition holds which hosts of each wave have begun, so that the next
// holder of the fleet duty goes on where this one ends.
var wavePartition = logstore.Partition{Topic: "fleet", Part: 0}

// Waves are the waves that operators asked for.
type Waves struct {
	mu    sync.Mutex
	waves map[int]wanted
}

// wanted is a wave and when it was first seen, by this daemon's clock.
type wanted struct {
	Wave
	seen time.Duration
}

// NewWaves returns no waves.
func NewWaves() *Waves { return &Waves{waves: map[int]wanted{}} }

// Add takes in a wave. One that is known already keeps its time.
func (w *Waves) Add(wave Wave, now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	seen := now
	if old, ok := w.waves[wave.Number]; ok {
		seen = old.seen
	}
	w.waves[wave.Number] = wanted{wave, seen}
}

// all returns the waves in the order of their numbers.
func (w *Waves) all() []wanted {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]wanted, 0, len(w.waves))
	for _, wave := range w.waves {
		out = append(out, wave)
	}
	slices.SortFunc(out, func(a, b wanted) int { return a.Number - b.Number })
	return out
}

// progress is the value of a wave's key.
type progress struct {
	Number    int      `cbor:"1,keyasint"`
	Begun     []string `cbor:"2,keyasint,omitempty"`
	Completed bool     `cbor:"3,keyasint,omitempty"`
}

func waveKey(number int) string { return fmt.Sprintf("wave/%d", number) }

func progressEntry(p progress) (logstore.Entry, error) {
	slices.Sort(p.Begun)
	value, err := record.Encode(p)
	return logstore.Entry{Key: waveKey(p.Number), Value: value}, err
}

// handover is what a holder leaves to the next one.
type handover struct {
	Holder string `cbor:"1,keyasint"`
	// Ages is how long ago each host had its last order, for those that had
	// one lately.
	Ages map[string]time.Duration `cbor:"2,keyasint,omitempty"`
}

const handoverKey = "handover"

func handoverEntry(h handover) (logstore.Entry, error) {
	value, err := record.Encode(h)
	return logstore.Entry{Key: handoverKey, Value: value}, err
}

// loadProgress reads how far earlier holders came, and what the last one that
// gave the duty up left.
func loadProgress(ctx context.Context, l logstore.Log) (map[int]*waveState, *handover, error) {
	recs, _, err := logstore.NewestOfAllKeys(ctx, l, wavePartition)
	if err != nil {
		return nil, nil, err
	}
	out := map[int]*waveState{}
	var last *handover
	for _, r := range recs {
		if r.Key == handoverKey {
			last = &handover{}
			if record.Decode(r.Value, last) != nil {
				last = nil
			}
			continue
		}
		var p progress
		if !strings.HasPrefix(r.Key, "wave/") || record.Decode(r.Value, &p) != nil {
			continue
		}
		s := newWaveState()
		s.completed = p.Completed
		for _, m := range p.Begun {
			s.begun[m] = true
		}
		out[p.Number] = s
	}
	return out, last, nil
}

// waveState is how far a wave has come.
type waveState struct {
	begun     map[string]bool
	completed bool
	// logged is what the log and the operators know of it.
	logged   int
	reported string
}

func newWaveState() *waveState { return &waveState{begun: map[string]bool{}} }
