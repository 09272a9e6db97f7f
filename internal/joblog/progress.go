package joblog

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"greengagedeck/internal/job"
	"greengagedeck/internal/logstore"
	"greengagedeck/internal/record"
)

// The progress of a job is one record, or where the log takes no record of that size a main
// record and several parts. The main record names the generation of its parts. Those of a
// generation are appended before the main record that names it, and deleted after the next
// one, so that the log holds a whole progress whichever appends are the last.

// Parts tells in which records, apart from the main one, the log holds a job's progress.
type Parts struct {
	// Generation is the number of times that the progress was divided.
	Generation int `cbor:"1,keyasint,omitempty"`
	// Count is the number of parts, 0 if the main record holds the whole progress.
	Count int `cbor:"2,keyasint,omitempty"`
	// Sum is a hash of the divided progress.
	Sum uint64 `cbor:"3,keyasint,omitempty"`
}

// mainRecord is the main record of a job's progress. If the progress is divided, it holds
// only what tells of the job's phase and owner.
type mainRecord struct {
	job.Progress
	Parts Parts `cbor:"8,keyasint,omitzero"`
}

// partKey returns the key of a part.
func partKey(id job.ID, generation, part int) string {
	return fmt.Sprintf("%s%s%s%d%s%d", kindPart, id, separator, generation, separator, part)
}

// Deletions returns the entries that delete the parts of a job.
func (p Parts) Deletions(id job.ID) []logstore.Entry {
	out := make([]logstore.Entry, 0, p.Count)
	for i := range p.Count {
		out = append(out, logstore.Entry{Key: partKey(id, p.Generation, i)})
	}
	return out
}

// ProgressEntry returns the entry of a job's progress as one record.
func ProgressEntry(id job.ID, p *job.Progress) (logstore.Entry, error) {
	value, err := record.Encode(p)
	return logstore.Entry{Key: kindJob + string(id), Value: value}, err
}

// ProgressEntries returns the entries of a job's progress in the order in which they must be
// appended, and the parts that the log holds afterwards. It holds old before.
func ProgressEntries(id job.ID, p *job.Progress, old Parts, l logstore.Limits) ([]logstore.Entry, Parts, error) {
	whole, err := ProgressEntry(id, p)
	if err != nil {
		return nil, old, err
	}
	next := Parts{Generation: old.Generation}
	if len(whole.Value) <= l.ValueBytes(whole.Key) {
		return append([]logstore.Entry{whole}, old.Deletions(id)...), next, nil
	}
	next.Generation++
	next.Sum = xxhash.Sum64(whole.Value)
	var out []logstore.Entry
	for chunk := range slices.Chunk(whole.Value, l.ValueBytes(partKey(id, next.Generation, job.MaxTasks))) {
		out = append(out, logstore.Entry{Key: partKey(id, next.Generation, next.Count), Value: chunk})
		next.Count++
	}
	value, err := record.Encode(mainRecord{Progress: p.Summary(), Parts: next})
	out = append(out, logstore.Entry{Key: whole.Key, Value: value})
	return append(out, old.Deletions(id)...), next, err
}

// DeleteProgress returns the entry that deletes a job's progress that is not divided.
func DeleteProgress(id job.ID) logstore.Entry { return logstore.Entry{Key: kindJob + string(id)} }

// ProgressPage holds the decoded records of a progress partition.
type ProgressPage struct {
	Records []ProgressRecord
	// Stale are the entries that delete parts which belong to no progress: a holder ended
	// between two appends.
	Stale []logstore.Entry
	// Malformed are the errors of the records that are left out.
	Malformed []error
}

// DecodeProgressPage decodes the newest records of all keys of a progress partition.
func DecodeProgressPage(recs []logstore.Record) ProgressPage {
	var page ProgressPage
	parts := map[string][]byte{}
	for _, r := range recs {
		if strings.HasPrefix(r.Key, kindPart) && len(r.Value) > 0 {
			parts[r.Key] = r.Value
		}
	}
	for _, r := range recs {
		rec, ok, err := DecodeProgress(r)
		if err == nil && ok && rec.Parts.Count > 0 {
			rec.Progress, err = rec.join(parts)
		}
		if err != nil {
			page.Malformed = append(page.Malformed, eris.Wrapf(err, "record at offset %d", r.Offset))
		}
		if ok {
			page.Records = append(page.Records, rec)
		}
	}
	for key := range parts {
		page.Stale = append(page.Stale, logstore.Entry{Key: key})
	}
	return page
}

// join returns the progress that is divided into parts, and removes these from the given ones.
// If it is damaged, the result fits no job.
func (rec *ProgressRecord) join(parts map[string][]byte) (*job.Progress, error) {
	var whole []byte
	for i := range rec.Parts.Count {
		key := partKey(rec.ID, rec.Parts.Generation, i)
		whole = append(whole, parts[key]...)
		delete(parts, key)
	}
	p := &job.Progress{}
	err := record.Decode(whole, p)
	if xxhash.Sum64(whole) != rec.Parts.Sum {
		err = eris.Errorf("%d parts of %d bytes have another sum", rec.Parts.Count, len(whole))
	}
	if err != nil {
		return rec.Progress.Damaged(), eris.Wrapf(err, "progress of %s", rec.ID)
	}
	p.CorrectPhase()
	return p, nil
}
