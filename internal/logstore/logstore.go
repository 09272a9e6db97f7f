// Package logstore declares what the fleet slices use of the platform's log:
// partitions of keyed records, of which the newest of each key is kept.
package logstore

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// Partition names one ordered sequence of records.
type Partition struct {
	Topic string
	Part  int
}

// String returns the form used in logs.
func (p Partition) String() string { return fmt.Sprintf("%s/%d", p.Topic, p.Part) }

// Entry is a record to append. An entry without a value removes its key.
type Entry struct {
	Key   string
	Value []byte
}

// Record is an entry that the log holds.
type Record struct {
	Offset int64
	Key    string
	// Value is empty when the key was removed.
	Value []byte
}

// Appended tells where the entries of one append went.
type Appended struct {
	// Offset is that of the first entry.
	Offset int64
	// End is the offset that the next append will get.
	End int64
}

// Fence makes an append exactly-once and exclusive: of all writers of a
// partition that use the same Producer only the one with the highest epoch may
// append, and a repeated sequence number has no further effect.
type Fence struct {
	Producer string
	Epoch    int64
	Sequence int64
}

// Condition restricts an append. The zero value restricts nothing.
type Condition struct {
	// At, if set, is the offset at which the partition must end.
	At *int64
	// Fence, if set, is the writer's claim on the partition.
	Fence *Fence
}

// Batch is the answer to a read.
type Batch struct {
	Records []Record
	// End is the offset that the next append will get.
	End int64
}

// Page is a part of the newest records of all keys, in the order of keys.
// Pages of one listing are not a snapshot.
type Page struct {
	Records []Record
	// More is set when further keys follow the last one.
	More bool
	// End is the offset that the next append would have got.
	End int64
}

// Log is the platform's log. A failed append returns one of the errors below
// or a *verdict.Error, whose verdict tells whether it may have taken effect or
// may still take effect.
type Log interface {
	// Append adds entries to a partition, all or none. Without entries it
	// only takes the fence.
	Append(ctx context.Context, p Partition, entries []Entry, c Condition) (Appended, error)
	// Read returns the records from offset from on. With none there yet it
	// waits up to wait. It fails with *TruncatedError when records from that
	// offset on are no longer kept.
	Read(ctx context.Context, p Partition, from int64, wait time.Duration) (Batch, error)
	// Newest returns the newest records of the keys after the given one.
	Newest(ctx context.Context, p Partition, after string) (Page, error)
}

// ErrFenced means that another writer has taken the partition. Nothing was
// appended.
var ErrFenced = eris.New("another writer has taken the partition")

// ConflictError means that the partition does not end at the offset that the
// append named. Nothing was appended.
type ConflictError struct {
	// End is where the partition ends.
	End int64
}

// Error implements error.
func (e *ConflictError) Error() string { return fmt.Sprintf("the partition ends at %d", e.End) }

// SequenceError means that a fenced append skipped or repeated a sequence
// number. Nothing was appended.
type SequenceError struct {
	// Expected is the sequence number that would be accepted.
	Expected int64
}

// Error implements error.
func (e *SequenceError) Error() string { return fmt.Sprintf("expected sequence %d", e.Expected) }

// TruncatedError means that records from the wanted offset on have expired.
type TruncatedError struct {
	// First is the oldest offset that can still be read.
	First int64
}

// Error implements error.
func (e *TruncatedError) Error() string { return fmt.Sprintf("the oldest kept offset is %d", e.First) }

// All returns the newest records of all keys and the offset from which a
// reader has to go on to miss nothing.
func All(ctx context.Context, l Log, p Partition) ([]Record, int64, error) {
	var out []Record
	from := int64(-1)
	after := ""
	for {
		page, err := l.Newest(ctx, p, after)
		if err != nil {
			return nil, 0, err
		}
		// Records appended while later pages were read may be missing from
		// the earlier ones, so reading goes on where the first page ended.
		if from < 0 {
			from = page.End
		}
		out = append(out, page.Records...)
		if !page.More || len(page.Records) == 0 {
			return out, from, nil
		}
		after = page.Records[len(page.Records)-1].Key
	}
}
