// Package joblog stores jobs in the platform's log. Each pool has intake
// partitions with submitted jobs and cancels, which any daemon writes, and a
// progress partition with the state of the jobs, which only the pool's holder
// writes.
package joblog

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"greengagedeck/internal/job"
	"greengagedeck/internal/logstore"
	"greengagedeck/internal/record"
)

const (
	topicPrefix  = "jobs."
	progressPart = 1
)

// intakeParts are the numbers of a pool's intake partitions. A partition takes one
// append at a time, so one would not keep up when a pool has no holder and all
// daemons of a large fleet append jobs.
var intakeParts = [...]int{0, 2, 3, 4}

// IntakePartitions returns the partitions of a pool's submitted jobs and cancels.
func IntakePartitions(pool string) []logstore.Partition {
	out := make([]logstore.Partition, 0, len(intakeParts))
	for _, part := range intakeParts {
		out = append(out, logstore.Partition{Topic: topicPrefix + pool, Part: part})
	}
	return out
}

// IntakePartition returns the partition of a job's submission and cancel.
func IntakePartition(pool string, id job.ID) logstore.Partition {
	part := intakeParts[xxhash.Sum64String(string(id))%uint64(len(intakeParts))]
	return logstore.Partition{Topic: topicPrefix + pool, Part: part}
}

// ProgressPartition returns the partition of the state of a pool's jobs.
func ProgressPartition(pool string) logstore.Partition {
	return logstore.Partition{Topic: topicPrefix + pool, Part: progressPart}
}

// The kind of a record is the first byte of its key. The rest of the key is the
// ID of the job or worker. In the intake partition, separator and the digest of a
// customer follow the ID in the records of customers: the log keeps the newest record of
// a key, and the submission or cancel of one customer must not replace that of another.
const (
	// kindJob is a job in the intake partition, and its progress in the
	// progress partition.
	kindJob = "j"
	// kindCancel is a cancel in the intake partition.
	kindCancel = "c"
	// kindSubmitted is a job that was submitted to the holder directly, not
	// through the intake partition.
	kindSubmitted = "s"
	// kindPart is a part of a job's progress in the progress partition.
	kindPart = "p"
	// kindCordon is a cordoned worker.
	kindCordon = "w"
	// separator separates the ID in a key from the digest of a customer.
	separator = "."
)

// intakeKey returns the key of a record in the intake partition. It has the digest of
// the given bytes, if any, which say on whose behalf the record was written.
func intakeKey(kind string, id job.ID, requester []byte) string {
	if len(requester) == 0 {
		return kind + string(id)
	}
	return fmt.Sprintf("%s%s%s%016x", kind, id, separator, xxhash.Sum64(requester))
}

// splitIntakeKey returns the ID of a job in a key without its kind.
func splitIntakeKey(rest string) job.ID {
	id, _, _ := strings.Cut(rest, separator)
	return job.ID(id)
}

// Submission is an accepted job.
type Submission struct {
	Spec  job.Spec  `cbor:"1,keyasint"`
	Terms job.Terms `cbor:"2,keyasint"`
	// AcceptedAt is the time at which a daemon accepted the job, in
	// milliseconds since 1970 by that daemon's clock.
	AcceptedAt int64 `cbor:"3,keyasint"`
}

// IntakeSubmissionEntry returns the entry of an accepted job in the intake
// partition.
func IntakeSubmissionEntry(s Submission) (logstore.Entry, error) {
	value, err := record.Encode(s)
	return logstore.Entry{Key: intakeKey(kindJob, s.Spec.ID, []byte(s.Terms.Customer)), Value: value}, err
}

// ProgressSubmissionEntry returns the entry of an accepted job in the progress
// partition.
func ProgressSubmissionEntry(s *Submission) (logstore.Entry, error) {
	value, err := record.Encode(s)
	return logstore.Entry{Key: kindSubmitted + string(s.Spec.ID), Value: value}, err
}

// CheckSubmission returns an error if the log does not take the record of a job.
func CheckSubmission(s *Submission, l logstore.Limits) error {
	limit := l.RecordBytes - maxJobKeyBytes
	terms := len(s.Terms.Entry) + len(s.Terms.Pool) + len(s.Terms.Customer) + len(s.Terms.Selector.Host) + len(s.Terms.Selector.PathPrefix)
	if s.Spec.MaxEncodedBytes()+terms+maxOtherTermsBytes <= limit {
		return nil
	}
	value, err := record.Encode(s)
	if err != nil {
		return err
	}
	if len(value) > limit {
		return eris.Errorf("the job takes %d bytes when it is stored, more than %d", len(value), limit)
	}
	return nil
}

const (
	// maxJobKeyBytes bounds what a record of a job takes beside its value, with some margin.
	maxJobKeyBytes = 64
	// maxOtherTermsBytes bounds what terms take beside their names.
	maxOtherTermsBytes = 512
)

// DeleteProgressSubmission returns the entry that deletes an accepted job from
// the progress partition.
func DeleteProgressSubmission(id job.ID) logstore.Entry {
	return logstore.Entry{Key: kindSubmitted + string(id)}
}

// cancelByAny is the value of a cancel that holds no requester: owners are not checked, or
// an earlier release has written it.
var cancelByAny = []byte{1}

// CancelEntry returns the entry of a cancel in the intake partition. Who applies it checks
// whether the requester may access the job.
func CancelEntry(id job.ID, by job.Requester) (logstore.Entry, error) {
	if by == (job.Requester{}) {
		return logstore.Entry{Key: kindCancel + string(id), Value: cancelByAny}, nil
	}
	value, err := record.Encode(by)
	return logstore.Entry{Key: intakeKey(kindCancel, id, value), Value: value}, err
}

// DeleteIntake returns the entries that delete a job and its cancel from the intake
// partition. keys are the keys of the job's records that name a customer.
func DeleteIntake(id job.ID, keys ...string) []logstore.Entry {
	out := []logstore.Entry{{Key: kindJob + string(id)}, {Key: kindCancel + string(id)}}
	for _, key := range keys {
		out = append(out, logstore.Entry{Key: key})
	}
	return out
}

// IntakeRecord is a decoded record of the intake partition. Either Submission or
// Cancelled is set.
type IntakeRecord struct {
	ID         job.ID
	Submission *Submission
	// Cancelled is set when the record is a cancel, which By requested.
	Cancelled bool
	By        job.Requester
	// CustomerKey is the key of the record if it names a customer.
	CustomerKey string
}

// DecodeIntake decodes a record of the intake partition. It returns ok false for
// the deletion of a key.
func DecodeIntake(r logstore.Record) (rec IntakeRecord, ok bool, err error) {
	if len(r.Value) == 0 {
		return IntakeRecord{}, false, nil
	}
	if strings.Contains(r.Key, separator) {
		rec.CustomerKey = r.Key
	}
	if rest, is := strings.CutPrefix(r.Key, kindCancel); is {
		rec.ID, rec.Cancelled = splitIntakeKey(rest), true
		rec.By, err = decodeCancel(r.Value)
		return rec, err == nil, eris.Wrapf(err, "cancel of job %.40q", rec.ID)
	}
	rest, is := strings.CutPrefix(r.Key, kindJob)
	if !is {
		return IntakeRecord{}, false, eris.Errorf("intake key %.40q is of no known kind", r.Key)
	}
	rec.ID = splitIntakeKey(rest)
	rec.Submission, err = decodeSubmission(string(rec.ID), r.Value)
	return rec, err == nil, err
}

// decodeCancel returns who requested a cancel.
func decodeCancel(value []byte) (by job.Requester, err error) {
	if !bytes.Equal(value, cancelByAny) {
		err = record.Decode(value, &by)
	}
	return by, err
}

// decodeSubmission decodes a submitted job and checks its form. Another daemon, perhaps of
// another version, has written it.
func decodeSubmission(id string, value []byte) (*Submission, error) {
	var s Submission
	if err := record.Decode(value, &s); err != nil {
		return nil, eris.Wrapf(err, "job %.40q", id)
	}
	if string(s.Spec.ID) != id {
		return nil, eris.Errorf("job %.40q is under the key of %.40q", s.Spec.ID, id)
	}
	return &s, eris.Wrapf(s.Spec.CheckForm(), "job %.40q", id)
}

// Cordon marks a worker that takes no new tasks of its pool.
type Cordon struct {
	Worker job.Incarnation `cbor:"1,keyasint"`
	// Reason says in words why the worker is cordoned.
	Reason string `cbor:"2,keyasint"`
	// Evacuate is set when the worker's long-running tasks are moved to other
	// workers.
	Evacuate bool `cbor:"3,keyasint,omitempty"`
}

// CordonEntry returns the entry of a cordoned worker.
func CordonEntry(c Cordon) (logstore.Entry, error) {
	value, err := record.Encode(c)
	return logstore.Entry{Key: kindCordon + c.Worker.ID, Value: value}, err
}

// DeleteCordon returns the entry that deletes the cordon of a worker.
func DeleteCordon(worker string) logstore.Entry { return logstore.Entry{Key: kindCordon + worker} }

// ProgressRecord is a decoded record of the progress partition. One of Progress,
// Submission, Cordon and EarlierLeases is set.
type ProgressRecord struct {
	ID       job.ID
	Progress *job.Progress
	// Parts are those of Progress, which holds nothing of the job's steps if there are any.
	Parts         Parts
	Submission    *Submission
	Cordon        *Cordon
	EarlierLeases *EarlierLeases
}

// DecodeProgress decodes a record of the progress partition. It returns ok false
// for the deletion of a key and for a part of a divided progress.
func DecodeProgress(r logstore.Record) (rec ProgressRecord, ok bool, err error) {
	if len(r.Value) == 0 {
		return ProgressRecord{}, false, nil
	}
	if r.Key == keyEarlierLeases {
		rec.EarlierLeases = &EarlierLeases{}
		err := record.Decode(r.Value, rec.EarlierLeases)
		return rec, err == nil, err
	}
	if _, is := strings.CutPrefix(r.Key, kindCordon); is {
		rec.Cordon = &Cordon{}
		err := record.Decode(r.Value, rec.Cordon)
		return rec, err == nil, err
	}
	if strings.HasPrefix(r.Key, kindPart) {
		return ProgressRecord{}, false, nil
	}
	if id, is := strings.CutPrefix(r.Key, kindSubmitted); is {
		rec.ID = job.ID(id)
		rec.Submission, err = decodeSubmission(id, r.Value)
		return rec, err == nil, err
	}
	id, is := strings.CutPrefix(r.Key, kindJob)
	if !is {
		return ProgressRecord{}, false, eris.Errorf("progress key %.40q is of no known kind", r.Key)
	}
	rec.ID = job.ID(id)
	var main mainRecord
	if err := record.Decode(r.Value, &main); err != nil {
		return rec, false, eris.Wrapf(err, "progress of %s", id)
	}
	rec.Progress, rec.Parts = &main.Progress, main.Parts
	if rec.Parts.Count == 0 {
		rec.Progress.CorrectPhase()
	}
	return rec, true, nil
}
