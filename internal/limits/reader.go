package limits

import (
	"cmp"
	"context"
	"slices"

	"github.com/rotisserie/eris"

	"greengagedeck/internal/logstore"
)

// list returns the newest records of all keys of the partition by offset, followed by those
// that were appended meanwhile, and the offset at which the partition ended then. The pages of
// a listing alone are no consistent state.
func list(ctx context.Context, l logstore.Log) ([]logstore.Record, int64, error) {
	recs, from, err := logstore.NewestOfAllKeys(ctx, l, Partition)
	if err != nil {
		return nil, 0, err
	}
	slices.SortStableFunc(recs, func(a, b logstore.Record) int { return cmp.Compare(a.Offset, b.Offset) })
	more, end, err := readToEnd(ctx, l, from)
	return append(recs, more...), end, err
}

// readToEnd returns the records from an offset to the end of the partition, and that end. An
// append is either read whole or not at all.
func readToEnd(ctx context.Context, l logstore.Log, from int64) ([]logstore.Record, int64, error) {
	var out []logstore.Record
	for {
		b, err := l.Read(ctx, Partition, from, 0)
		if err != nil {
			return nil, 0, err
		}
		out = append(out, b.Records...)
		if n := len(b.Records); n > 0 {
			from = b.Records[n-1].Offset + 1
		}
		if from >= b.End {
			return out, from, nil
		}
		if len(b.Records) == 0 {
			return nil, 0, eris.Errorf("reading %v: there is nothing at %d before the end at %d", Partition, from, b.End)
		}
	}
}
