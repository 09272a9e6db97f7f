package job

import (
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// TaskID names one task of one occurrence of a job.
type TaskID struct {
	Job ID
	// Occurrence counts the runs of a repeated job from 0.
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

// ParseTaskID is the inverse of String.
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

// RunID names one start of a task.
type RunID struct {
	Task TaskID
	// Number counts the task's starts from 1.
	Number int
}

// How tells how a run ended.
type How string

// The ways a run ends.
const (
	// EndDone is a success.
	EndDone How = "done"
	// EndFailed is a failure of the task or of its worker; it counts as an
	// attempt.
	EndFailed How = "failed"
	// EndStopped follows a stop.
	EndStopped How = "stopped"
	// EndLapsed runs lost their lease.
	EndLapsed How = "lapsed"
	// EndBroken gang members lost another member.
	EndBroken How = "broken"
	// EndAlone gang members waited too long for the others.
	EndAlone How = "alone"
	// EndLost runs ended with their worker, which cannot tell.
	EndLost How = "lost"
)
