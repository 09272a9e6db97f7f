package job

import (
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// TaskID identifies one task of one occurrence of a job.
type TaskID struct {
	Job ID
	// Occurrence is the number of the job's occurrence, from 0.
	Occurrence int
	Step       int
	Index      int
}

// String returns the form ID.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string {
	b := make([]byte, 0, idLength+12)
	b = append(b, t.Job...)
	for _, n := range [...]int{t.Occurrence, t.Step, t.Index} {
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return string(b)
}

// ParseTaskID parses the form that String returns.
func ParseTaskID(s string) (TaskID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return TaskID{}, eris.Errorf("task %q has not four parts", s)
	}
	var n [3]int
	for i, p := range parts[1:] {
		v, err := strconv.Atoi(p)
		if err != nil || v < 0 {
			return TaskID{}, eris.Errorf("task %q: %q is not a number", s, p)
		}
		n[i] = v
	}
	return TaskID{Job: ID(parts[0]), Occurrence: n[0], Step: n[1], Index: n[2]}, nil
}

// RunID identifies one start of a task.
type RunID struct {
	Task TaskID
	// Number counts the task's starts from 1.
	Number int
}

// EndReason is how a run ended.
type EndReason string

// The reasons for which a run ends.
const (
	// EndDone means that the task succeeded.
	EndDone EndReason = "done"
	// EndFailed means that the task or its worker failed. Only such ends count
	// towards Terms.MaxAttempts.
	EndFailed EndReason = "failed"
	// EndStopped means that the run was ordered to stop.
	EndStopped EndReason = "stopped"
	// EndLeaseExpired means that the run's lease expired.
	EndLeaseExpired EndReason = "lapsed"
	// EndGangMemberLost means that another member of the gang was lost.
	EndGangMemberLost EndReason = "broken"
	// EndGangTimeout means that a gang member waited too long for the others.
	EndGangTimeout EndReason = "alone"
	// EndWorkerLost means that the run's worker is gone and cannot report how the
	// run ended.
	EndWorkerLost EndReason = "lost"
	// EndStartUnverified means that the run's worker is gone or has restarted, and
	// that it may have been before the run's start was sent, which got no answer.
	EndStartUnverified EndReason = "start-unverified"
	// EndCrashPossible means that the run's worker is gone or has restarted, and
	// that the run may have started there shortly before.
	EndCrashPossible EndReason = "crash-possible"
	// EndCrashSuspected means that the run's worker crashed soon after the run
	// had started there, but that the run may not be the cause: other runs had
	// started there too, or its start got no answer.
	EndCrashSuspected EndReason = "crash-suspected"
	// EndCrashedWorker means that the run's worker crashed soon after the run, and
	// no other one, had started there, as far as is known from answers.
	EndCrashedWorker EndReason = "crashed-worker"
)
