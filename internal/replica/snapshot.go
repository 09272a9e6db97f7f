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
	// maxRecordsBetweenSnapshots is how many records may follow the last
	// snapshot before the next one is due.
	maxRecordsBetweenSnapshots = 1000
	// DefaultMaxSnapshotAge is the default of Snapshotter.MaxAge.
	DefaultMaxSnapshotAge = 30 * time.Minute
	// snapshotCheckInterval is the time between checks whether a snapshot is due.
	snapshotCheckInterval = 5 * time.Second
	// snapshotPartBytes is the maximum size of the data in one record of the
	// snapshot stream.
	snapshotPartBytes = 256 << 10
)

// ErrNoSnapshot means that the snapshot stream holds no complete snapshot with this
// StateVersion.
var ErrNoSnapshot = eris.New("no snapshot")

// snapshotPart is one record of the snapshot stream. A snapshot is complete if all
// Count parts with its ID are present.
type snapshotPart struct {
	ID           ulid.ULID `cbor:"1,keyasint"`
	Offset       uint64    `cbor:"2,keyasint"`
	StateVersion int       `cbor:"3,keyasint"`
	Index        int       `cbor:"4,keyasint"`
	Count        int       `cbor:"5,keyasint"`
	Data         []byte    `cbor:"6,keyasint"`
}

// WriteSnapshot appends the snapshot data of offset in parts. A failure leaves an
// incomplete snapshot, which readers ignore.
func WriteSnapshot(ctx context.Context, log platform.Log, offset uint64, data []byte) error {
	id := ulid.Make()
	count := (len(data) + snapshotPartBytes - 1) / snapshotPartBytes
	for i := range count {
		end := min((i+1)*snapshotPartBytes, len(data))
		part := snapshotPart{
			ID:           id,
			Offset:       offset,
			StateVersion: StateVersion,
			Index:        i,
			Count:        count,
			Data:         data[i*snapshotPartBytes : end],
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

// ReadSnapshot returns the complete snapshot with the highest offset.
func ReadSnapshot(ctx context.Context, log platform.Log) ([]byte, error) {
	oldest, next, err := log.Bounds(ctx, platform.StreamSnapshot)
	if err != nil {
		return nil, eris.Wrap(err, "snapshot stream")
	}
	var assembler snapshotAssembler
	for from := oldest; from < next; {
		recs, err := log.Read(ctx, platform.StreamSnapshot, from, readLimit, 0)
		if err != nil {
			return nil, eris.Wrap(err, "snapshot stream")
		}
		if len(recs) == 0 {
			break
		}
		for _, lr := range recs {
			assembler.add(lr.Data)
		}
		from = recs[len(recs)-1].Offset + 1
	}
	if assembler.newest == nil {
		return nil, ErrNoSnapshot
	}
	return assembler.newest, nil
}

// snapshotAssembler joins the parts of snapshots and keeps the newest complete
// snapshot. The parts of one snapshot are in order; those of several snapshots may
// interleave.
type snapshotAssembler struct {
	// partial holds the data of incomplete snapshots and next the index of their
	// next parts.
	partial map[ulid.ULID][]byte
	next    map[ulid.ULID]int
	newest  []byte
	offset  uint64
}

func (a *snapshotAssembler) add(data []byte) {
	var p snapshotPart
	if record.Decode(data, &p) != nil || p.StateVersion != StateVersion {
		return
	}
	if a.partial == nil {
		a.partial = map[ulid.ULID][]byte{}
		a.next = map[ulid.ULID]int{}
	}
	if p.Index != a.next[p.ID] {
		return
	}
	a.partial[p.ID] = append(a.partial[p.ID], p.Data...)
	a.next[p.ID]++
	if a.next[p.ID] < p.Count {
		return
	}
	if a.newest == nil || p.Offset >= a.offset {
		a.newest = a.partial[p.ID]
		a.offset = p.Offset
	}
	delete(a.partial, p.ID)
}

// Leader reports whether this daemon should write the snapshots, which one daemon
// is enough for. It does no harm if two daemons write them.
type Leader interface {
	IsLeader() bool
}

// Snapshotter writes snapshots before the log's retention deletes the records that
// they replace.
type Snapshotter struct {
	Replica *Replica
	Log     platform.Log
	Leader  Leader
	// MaxAge is the age of the last snapshot at which the next one is due. It
	// must be well below the retention time of the log.
	MaxAge time.Duration
	Logger zerolog.Logger
	Scope  tally.Scope

	lastOffset    uint64
	lastWrittenAt time.Time
}

// Run writes a snapshot whenever one is due, until ctx ends.
func (s *Snapshotter) Run(ctx context.Context) error {
	scope := s.Scope.SubScope("replica")
	written := scope.Counter("snapshots_written")
	size := scope.Gauge("snapshot_bytes")
	for ctx.Err() == nil {
		clock.Sleep(ctx, snapshotCheckInterval)
		if !s.Leader.IsLeader() || !s.snapshotDue(ctx) {
			continue
		}
		n, err := s.write(ctx)
		if err != nil {
			s.Logger.Warn().Err(err).Msg("cannot write the snapshot")
			continue
		}
		written.Inc(1)
		size.Update(float64(n))
	}
	return ctx.Err()
}

// snapshotDue reports whether at least maxRecordsBetweenSnapshots records follow the last
// snapshot, whether it is older than MaxAge, or whether, in a log that has been
// truncated, more than half of the remaining records follow it.
func (s *Snapshotter) snapshotDue(ctx context.Context) bool {
	offset := s.Replica.State().Offset
	if offset == 0 {
		return false
	}
	if offset >= s.lastOffset+maxRecordsBetweenSnapshots || time.Since(s.lastWrittenAt) > s.MaxAge {
		return true
	}
	if offset == s.lastOffset {
		return false
	}
	oldest, next, err := s.Log.Bounds(ctx, platform.StreamControl)
	if err != nil || oldest <= 1 {
		return false
	}
	return oldest+(next-oldest)/2 > s.lastOffset
}

// write writes a snapshot of the current state and returns its size in bytes.
func (s *Snapshotter) write(ctx context.Context) (int, error) {
	offset, data, err := s.Replica.Snapshot()
	if err != nil {
		return 0, err
	}
	if err := WriteSnapshot(ctx, s.Log, offset, data); err != nil {
		return 0, err
	}
	s.lastOffset = offset
	s.lastWrittenAt = time.Now()
	return len(data), nil
}
