package logstore

import (
	"errors"
	"fmt"

	"greengagedeck/internal/verdict"
)

// Limits bounds what the log takes.
type Limits struct {
	// RecordBytes bounds a record: its key, its value and one byte.
	RecordBytes int
	// AppendBytes bounds the records of one append together.
	AppendBytes int
}

// DefaultLimits apply where the platform names none.
var DefaultLimits = Limits{RecordBytes: 256 << 10, AppendBytes: 2 << 20}

const (
	// recordOverhead and frameOverhead are the bytes that the lengths of a key and of a
	// record take.
	recordOverhead = 1
	frameOverhead  = 4
	// maxKeyBytes is the largest length of a key.
	maxKeyBytes = 255
)

// Size returns how many bytes of an append an entry takes.
func (e Entry) Size() int { return frameOverhead + recordOverhead + len(e.Key) + len(e.Value) }

// ValueBytes returns the size of the largest value that fits into a record with a key.
func (l Limits) ValueBytes(key string) int { return l.RecordBytes - recordOverhead - len(key) }

// Check returns a *RefusedError if the log does not take an append of the entries.
func (l Limits) Check(entries []Entry) error {
	total := 0
	for _, e := range entries {
		if len(e.Key) > maxKeyBytes {
			return &RefusedError{fmt.Sprintf("the key %.40q has %d bytes", e.Key, len(e.Key))}
		}
		if n := len(e.Value) - l.ValueBytes(e.Key); n > 0 {
			return &RefusedError{fmt.Sprintf("the record of %.40q is %d bytes longer than the log takes", e.Key, n)}
		}
		total += e.Size()
	}
	if total > l.AppendBytes {
		return &RefusedError{fmt.Sprintf("%d records of %d bytes are more than an append takes", len(entries), total)}
	}
	return nil
}

// RefusedError means that the log does not take the entries of an append, however often it is
// repeated. Nothing was appended.
type RefusedError struct{ Reason string }

// isRefused reports whether an error is a *RefusedError.
func isRefused(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused)
}

// Error implements error.
func (e *RefusedError) Error() string { return "refused by the log for good: " + e.Reason }

// Unwrap returns the verdict not-run.
func (e *RefusedError) Unwrap() error {
	return verdict.NewNotRun(verdict.ReasonBadRequest, "%s", e.Reason)
}
