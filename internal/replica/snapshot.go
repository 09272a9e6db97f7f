package replica

import (
	"context"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/clock"
	"greengagedeck/internal/platform"
	"greengagedeck/internal/record"
)

const (
	// snapshotEvery is how many records may follow the last snapshot.
	snapshotEvery = 1000
	// DefaultSnapshotAge is how old the last snapshot may get.
	DefaultSnapshotAge = 30 * time.Minute
	// snapshotCheck is the time between looks whether one is due.
	snapshotCheck = 5 * time.Second
	// snapshotPartBytes bounds one record of the snapshot stream.
	snapshotPartBytes = 256 << 10
)

// ErrNoSnapshot means that the snapshot stream holds no whole snapshot of this
// fold version.
var ErrNoSnapshot = eris.New("no snapshot")

// snapshotPart is one record of the snapshot stream. A snapshot is whole when
// all Count parts with one ID are there.
type snapshotPart struct {
	ID          ulid.ULID `cbor:"1,keyasint"`
	Offset      uint64    `cbor:"2,keyasint"`
	FoldVersion int       `cbor:"3,keyasint"`
	Index       int       `cbor:"4,keyasint"`
	Count       int       `cbor:"5,keyasint"`
	Data        []byte    `cbor:"6,keyasint"`
}

// WriteSnapshot appends the snapshot data of offset in parts. A failure leaves
// an incomplete snapshot, which readers pass over.
func WriteSnapshot(ctx context.Context, log platform.Log, offset uint64, data []byte) error {
	id := ulid.Make()
	count := (len(data) + snapshotPartBytes - 1) / snapshotPartBytes
	for i := range count {
		end := min((i+1)*snapshotPartBytes, len(data))
		part := snapshotPart{
			ID:          id,
			Offset:      offset,
			FoldVersion: FoldVersion,
			Index:       i,
			Count:       count,
			Data:        data[i*snapshotPartBytes : end],
		}
		enc, err := record.Encode(part)
		if err != nil {
			return err
		}
		if _, err := log.Append(ctx, platform.StreamSnapshot, enc); err != nil {
			return eris.Wrapf(err, "snapshot part %d of %d", i+1, count)
		}
	}
	return nil
}

// ReadSnapshot returns the whole snapshot with the highest offset.
func ReadSnapshot(ctx context.Context, log platform.Log) ([]byte, error) {
	oldest, next, err := log.Bounds(ctx, platform.StreamSnapshot)
	if err != nil {
		return nil, eris.Wrap(err, "snapshot stream")
	}
	var best assembler
	for from := oldest; from < next; {
		recs, err := log.Read(ctx, platform.StreamSnapshot, from, readLimit, 0)
		if err != nil {
			return nil, eris.Wrap(err, "snapshot stream")
		}
		if len(recs) == 0 {
			break
		}
		for _, lr := range recs {
			best.add(lr.Data)
		}
		from = recs[len(recs)-1].Offset + 1
	}
	if best.whole == nil {
		return nil, ErrNoSnapshot
	}
	return best.whole, nil
}

// assembler puts parts together and keeps the newest whole snapshot. Parts of
// one snapshot are in order; those of several may interleave.
type assembler struct {
	open   map[ulid.ULID][]byte
	next   map[ulid.ULID]int
	whole  []byte
	offset uint64
}

func (a *assembler) add(data []byte) {
	var p snapshotPart
	if record.Decode(data, &p) != nil || p.FoldVersion != FoldVersion {
		return
	}
	if a.open == nil {
		a.open = map[ulid.ULID][]byte{}
		a.next = map[ulid.ULID]int{}
	}
	if p.Index != a.next[p.ID] {
		return
	}
	a.open[p.ID] = append(a.open[p.ID], p.Data...)
	a.next[p.ID]++
	if a.next[p.ID] < p.Count {
		return
	}
	if a.whole == nil || p.Offset >= a.offset {
		a.whole = a.open[p.ID]
		a.offset = p.Offset
	}
	delete(a.open, p.ID)
}

// Leader says whether this daemon is the one that does a duty of which one
// daemon is enough. Two that believe so do no harm.
type Leader interface {
	Leads() bool
}

// Snapshotter writes snapshots before retention can eat what they replace.
type Snapshotter struct {
	Replica *Replica
	Log     platform.Log
	Leader  Leader
	// MaxAge is how old the last snapshot may get before it is written
	// again: it must stay well below the time that the log keeps records.
	MaxAge time.Duration
	Logger zerolog.Logger
	Scope  tally.Scope

	last   uint64
	lastAt time.Time
}

// Run writes a snapshot whenever one is due, until ctx ends.
func (s *Snapshotter) Run(ctx context.Context) error {
	scope := s.Scope.SubScope("replica")
	written := scope.Counter("snapshots_written")
	size := scope.Gauge("snapshot_bytes")
	for ctx.Err() == nil {
		clock.Sleep(ctx, snapshotCheck)
		if !s.Leader.Leads() || !s.due(ctx) {
			continue
		}
		n, err := s.write(ctx)
		if err != nil {
			s.Logger.Warn().Err(err).Msg("snapshot not written")
			continue
		}
		written.Inc(1)
		size.Update(float64(n))
	}
	return ctx.Err()
}

// due reports whether enough records followed the last snapshot, it is too
// old, or the log has dropped half of the records that followed.
func (s *Snapshotter) due(ctx context.Context) bool {
	offset := s.Replica.State().Offset
	if offset == 0 {
		return false
	}
	if offset >= s.last+snapshotEvery || time.Since(s.lastAt) > s.MaxAge {
		return true
	}
	if offset == s.last {
		return false
	}
	oldest, next, err := s.Log.Bounds(ctx, platform.StreamControl)
	if err != nil || oldest <= 1 {
		return false
	}
	return oldest+(next-oldest)/2 > s.last
}

func (s *Snapshotter) write(ctx context.Context) (int, error) {
	offset, data, err := s.Replica.Snapshot()
	if err != nil {
		return 0, err
	}
	if err := WriteSnapshot(ctx, s.Log, offset, data); err != nil {
		return 0, err
	}
	s.last = offset
	s.lastAt = time.Now()
	return len(data), nil
}
