// Package joblog keeps jobs in the platform's log: what callers handed in and
// cancelled in a pool's intake partition, which any daemon writes, and what
// became of it in the progress partition, which only the pool's holder writes.
package joblog

import (
	"strings"

	"github.com/rotisserie/eris"

	"greengagedeck/internal/job"
	"greengagedeck/internal/logstore"
	"greengagedeck/internal/record"
)

const (
	topicPrefix  = "jobs."
	intakePart   = 0
	progressPart = 1
)

// Intake returns the partition of a pool's accepted and cancelled jobs.
func Intake(pool string) logstore.Partition {
	return logstore.Partition{Topic: topicPrefix + pool, Part: intakePart}
}

// Progress returns the partition of what became of a pool's jobs.
func Progress(pool string) logstore.Partition {
	return logstore.Partition{Topic: topicPrefix + pool, Part: progressPart}
}

// Kinds of records, by the first byte of the key. The rest is the ID.
const (
	// kindJob is a job in the intake, and its progress in the progress
	// partition.
	kindJob    = "j"
	kindCancel = "c"
	// kindSubmitted is a job that reached the holder before the log.
	kindSubmitted = "s"
	kindClosed    = "w"
)

// Submission is an accepted job.
type Submission struct {
	Spec  job.Spec  `cbor:"1,keyasint"`
	Terms job.Terms `cbor:"2,keyasint"`
	// Accepted is the time of day, in milliseconds since 1970, at the daemon
	// that accepted the job.
	Accepted int64 `cbor:"3,keyasint"`
}

// SubmissionEntry returns the record of an accepted job.
func SubmissionEntry(s Submission) (logstore.Entry, error) {
	value, err := record.Encode(s)
	return logstore.Entry{Key: kindJob + string(s.Spec.ID), Value: value}, err
}

// SubmittedEntry returns the record of a job in the progress partition.
func SubmittedEntry(s *Submission) (logstore.Entry, error) {
	value, err := record.Encode(s)
	return logstore.Entry{Key: kindSubmitted + string(s.Spec.ID), Value: value}, err
}

// ForgetSubmitted returns the entry that removes it.
func ForgetSubmitted(id job.ID) logstore.Entry {
	return logstore.Entry{Key: kindSubmitted + string(id)}
}

// CancelEntry returns the record of a cancelled job.
func CancelEntry(id job.ID) logstore.Entry {
	return logstore.Entry{Key: kindCancel + string(id), Value: []byte{1}}
}

// Forget returns the entries that remove what the intake holds of a job.
func Forget(id job.ID) []logstore.Entry {
	return []logstore.Entry{{Key: kindJob + string(id)}, {Key: kindCancel + string(id)}}
}

// Handed is a record of the intake. One of Submission and Cancelled is set.
type Handed struct {
	ID         job.ID
	Submission *Submission
	// Cancelled is set for a cancel.
	Cancelled bool
}

// DecodeIntake reads a record of the intake. It returns ok false for the
// removal of a key.
func DecodeIntake(r logstore.Record) (h Handed, ok bool, err error) {
	if len(r.Value) == 0 {
		return Handed{}, false, nil
	}
	if id, is := strings.CutPrefix(r.Key, kindCancel); is {
		return Handed{ID: job.ID(id), Cancelled: true}, true, nil
	}
	id, is := strings.CutPrefix(r.Key, kindJob)
	if !is {
		return Handed{}, false, eris.Errorf("intake key %.40q is of no known kind", r.Key)
	}
	var s Submission
	if err := record.Decode(r.Value, &s); err != nil {
		return Handed{}, false, eris.Wrapf(err, "job %s", id)
	}
	return Handed{ID: job.ID(id), Submission: &s}, true, nil
}

// ProgressEntry returns the record of a job's progress.
func ProgressEntry(id job.ID, p *job.Progress) (logstore.Entry, error) {
	value, err := record.Encode(p)
	return logstore.Entry{Key: kindJob + string(id), Value: value}, err
}

// ForgetProgress returns the entry that removes a job's progress.
func ForgetProgress(id job.ID) logstore.Entry { return logstore.Entry{Key: kindJob + string(id)} }

// Closed says why a worker takes no new tasks of its pool.
type Closed struct {
	Worker job.Incarnation `cbor:"1,keyasint"`
	// Reason is for people.
	Reason string `cbor:"2,keyasint"`
	// Evacuate is set when its long-running tasks are moved elsewhere.
	Evacuate bool `cbor:"3,keyasint,omitempty"`
}

// ClosedEntry returns the record of a closed worker.
func ClosedEntry(c Closed) (logstore.Entry, error) {
	value, err := record.Encode(c)
	return logstore.Entry{Key: kindClosed + c.Worker.ID, Value: value}, err
}

// OpenEntry returns the entry that removes the record of a closed worker.
func OpenEntry(worker string) logstore.Entry { return logstore.Entry{Key: kindClosed + worker} }

// Kept is a record of the progress partition. One of Progress, Submission and
// Closed is set.
type Kept struct {
	ID         job.ID
	Progress   *job.Progress
	Submission *Submission
	Closed     *Closed
}

// DecodeProgress reads a record of the progress partition. It returns ok false
// for the removal of a key.
func DecodeProgress(r logstore.Record) (k Kept, ok bool, err error) {
	if len(r.Value) == 0 {
		return Kept{}, false, nil
	}
	if _, is := strings.CutPrefix(r.Key, kindClosed); is {
		k.Closed = &Closed{}
		err := record.Decode(r.Value, k.Closed)
		return k, err == nil, err
	}
	if id, is := strings.CutPrefix(r.Key, kindSubmitted); is {
		k.ID = job.ID(id)
		k.Submission = &Submission{}
		err := record.Decode(r.Value, k.Submission)
		return k, err == nil, eris.Wrapf(err, "job %s", id)
	}
	id, is := strings.CutPrefix(r.Key, kindJob)
	if !is {
		return Kept{}, false, eris.Errorf("progress key %.40q is of no known kind", r.Key)
	}
	k.ID = job.ID(id)
	k.Progress = &job.Progress{}
	err = record.Decode(r.Value, k.Progress)
	return k, err == nil, eris.Wrapf(err, "progress of %s", id)
}
