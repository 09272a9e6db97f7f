// Package logstore defines the interface to the platform's log: partitions of
// keyed records, of which the log keeps at least the newest of each key.
package logstore

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// Partition identifies one ordered sequence of records.
type Partition struct {
	Topic string
	Part  int
}

// String returns the form used in logs.
func (p Partition) String() string { return fmt.Sprintf("%s/%d", p.Topic, p.Part) }

// Entry is a record to append. An entry without a value deletes its key.
type Entry struct {
	Key   string
	Value []byte
}

// Record is an entry that is stored in the log.
type Record struct {
	Offset int64
	Key    string
	// Value is empty when the key was deleted.
	Value []byte
}

// AppendResult holds the offsets of the entries of one append.
type AppendResult struct {
	// Offset is the offset of the first entry.
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
	// ExpectedEnd, if set, is the offset at which the partition must end.
	ExpectedEnd *int64
	// Fence, if set, makes the append exactly-once and exclusive.
	Fence *Fence
}

// Batch is the result of a read.
type Batch struct {
	Records []Record
	// End is the offset that the next append will get.
	End int64
}

// Page is one page of a listing of the newest records of all keys, in the order
// of keys. The pages of a listing do not form a consistent snapshot.
type Page struct {
	Records []Record
	// More is set when further keys follow the last one.
	More bool
	// End is the offset that the next append would have got.
	End int64
}

// Log is the platform's log. A failed append returns one of the errors of this package or a
// *verdict.Error, whose verdict tells whether the append may have taken effect or
// may still do so.
type Log interface {
	// Append adds entries to a partition, all or none. Without entries it only
	// acquires the fence.
	Append(ctx context.Context, p Partition, entries []Entry, c Condition) (AppendResult, error)
	// Read returns the records from the offset from on. When there are none
	// yet, it waits for up to wait. It fails with *TruncatedError when records
	// from that offset on are no longer kept.
	Read(ctx context.Context, p Partition, from int64, wait time.Duration) (Batch, error)
	// Newest returns a page of the newest records of the keys after the given
	// one.
	Newest(ctx context.Context, p Partition, after string) (Page, error)
	// Limits returns what the log takes.
	Limits() Limits
}

// ErrFenced means that a writer with a higher epoch has acquired the fence of the
// partition. Nothing was appended.
var ErrFenced = eris.New("another writer has taken the partition")

// ConflictError means that the partition does not end at the offset that the
// append named. Nothing was appended.
type ConflictError struct {
	// End is where the partition ends.
	End int64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the partition ends at %d", e.End)
}

// SequenceError means that a fenced append skipped or repeated a sequence
// number. Nothing was appended.
type SequenceError struct {
	// Expected is the sequence number that would be accepted.
	Expected int64
}

// Error implements error.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("expected sequence %d", e.Expected)
}

// TruncatedError means that records from the requested offset on have expired.
type TruncatedError struct {
	// First is the oldest offset that can still be read.
	First int64
}

// Error implements error.
func (e *TruncatedError) Error() string { return fmt.Sprintf("the oldest kept offset is %d", e.First) }

// NewestOfAllKeys returns the newest records of all keys, and the offset from
// which a reader must continue to miss no record.
func NewestOfAllKeys(ctx context.Context, l Log, p Partition) ([]Record, int64, error) {
	var out []Record
	from := int64(-1)
	after := ""
	for {
		page, err := l.Newest(ctx, p, after)
		if err != nil {
			return nil, 0, err
		}
		// Records appended while later pages were read may be missing from the
		// earlier ones, so reading continues at the end offset of the first
		// page.
		if from < 0 {
			from = page.End
		}
		out = append(out, page.Records...)
		if !page.More {
			return out, from, nil
		}
		// Without progress the rest stays unread: that must not look as if there were
		// none.
		next := after
		if n := len(page.Records); n > 0 {
			next = page.Records[n-1].Key
		}
		if next <= after {
			return nil, 0, eris.Errorf("listing %v: no page follows the key %.40q", p, after)
		}
		after = next
	}
}
