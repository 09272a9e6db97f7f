package job

import "slices"

const (
	// maxCrashes is the number of workers that may crash under a task before its
	// job fails, if the task alone can be the cause of the last crash, and
	// maxSuspectedCrashes that number if other tasks may be the cause too.
	maxCrashes          = 2
	maxSuspectedCrashes = 3
	// maxPartlyCertainCrashes is that number if it is known for one crash that the
	// task was on the worker, and if one worker crashed each time, which may be at
	// fault itself.
	maxPartlyCertainCrashes = 4
	// maxPossibleCrashes is that number if it is known for none.
	maxPossibleCrashes = 5
	// minPossibleCrashes is the number of workers that may have crashed under a task
	// from which on the task is a suspect if none is known to have. With one it is not:
	// after a takeover that holds for each task of a worker that is gone.
	minPossibleCrashes = 2
)

// CrashCount is how many workers in a row have crashed soon after a task had
// started on them.
type CrashCount struct {
	Occurrence int `cbor:"1,keyasint,omitempty"`
	Step       int `cbor:"2,keyasint,omitempty"`
	Index      int `cbor:"3,keyasint,omitempty"`
	// Certain counts the workers that are known to have crashed with the task on
	// them, and Possible the others.
	Certain  int `cbor:"4,keyasint,omitempty"`
	Possible int `cbor:"5,keyasint,omitempty"`
	// Unverified is set if a start of the task was sent to a worker that may have
	// been gone before.
	Unverified bool `cbor:"6,keyasint,omitempty"`
	// Worker is the first worker that is known to have crashed, or if there is none
	// the last one that may have. It is empty in counts of earlier versions.
	Worker string `cbor:"7,keyasint,omitempty"`
	// Several is set if not all crashes were of one worker, and CertainSeveral if
	// those that are known were not.
	Several        bool `cbor:"8,keyasint,omitempty"`
	CertainSeveral bool `cbor:"9,keyasint,omitempty"`
}

// isOf reports whether the count is that of a task.
func (c *CrashCount) isOf(t TaskID) bool {
	return c.Occurrence == t.Occurrence && c.Step == t.Step && c.Index == t.Index
}

// add counts a crash of a worker.
func (c *CrashCount) add(worker string, reason EndReason) {
	if reason == EndStartUnverified {
		c.Unverified = true
		return
	}
	c.noteWorker(worker, reason != EndCrashPossible)
	if reason == EndCrashPossible {
		c.Possible++
	} else {
		c.Certain++
	}
}

// noteWorker records on which worker a crash was, before it is counted. A worker that
// is not known counts as a different one.
func (c *CrashCount) noteWorker(worker string, certain bool) {
	if c.Certain+c.Possible > 0 && (c.Worker == "" || c.Worker != worker) {
		c.Several = true
		c.CertainSeveral = c.CertainSeveral || certain && c.Certain > 0
	}
	if c.Certain == 0 {
		c.Worker = worker
	}
}

// total returns how many workers may have crashed.
func (c *CrashCount) total() int {
	n := c.Certain + c.Possible
	if c.Unverified {
		n++
	}
	return n
}

// suspect reports whether the task has to start where it alone can be the cause of
// a crash.
func (c *CrashCount) suspect() bool { return c.Certain > 0 || c.Possible >= minPossibleCrashes }

// exhausted reports whether the task must not be started again after a crash.
func (c *CrashCount) exhausted(reason EndReason) bool {
	switch {
	case c.total() >= maxPossibleCrashes:
		return true
	case reason == EndStartUnverified:
		return false
	case c.CertainSeveral && c.Certain >= maxSuspectedCrashes:
		return true
	case c.Certain > 0 && c.total() >= maxPartlyCertainCrashes:
		return true
	default:
		return reason == EndCrashedWorker && c.CertainSeveral && c.Certain >= maxCrashes
	}
}

// CrashCount returns how many workers may have crashed soon after a task had
// started on them.
func (j *Job) CrashCount(t TaskID) int {
	for i := range j.Crashes {
		if j.Crashes[i].isOf(t) {
			return j.Crashes[i].total()
		}
	}
	return 0
}

// Suspect reports whether a worker is known to have crashed soon after a task had
// started on it, or several workers may have.
func (j *Job) Suspect(t TaskID) bool {
	return slices.ContainsFunc(j.Crashes, func(c CrashCount) bool { return c.isOf(t) && c.suspect() })
}

// HasCrashes reports whether workers may have crashed soon after a task of the
// job had started on them.
func (j *Job) HasCrashes() bool { return len(j.Crashes) > 0 }

// CountCrash counts a crash of a worker on which a task had been started. The job
// fails once the task may not be started again. now is the time of day in
// milliseconds since 1970.
func (j *Job) CountCrash(t TaskID, worker string, reason EndReason, now int64) {
	if task := j.Task(t); task == nil || task.Done {
		return
	}
	c := j.crashCountOf(t)
	c.add(worker, reason)
	if c.exhausted(reason) && !j.Phase.Final() {
		j.finish(Failed, now)
	}
}

// TakeBackCrash removes the count of a task if the crash of a worker is all that it
// counts. It reports whether it did.
func (j *Job) TakeBackCrash(t TaskID, worker string) bool {
	before := len(j.Crashes)
	j.Crashes = slices.DeleteFunc(j.Crashes, func(c CrashCount) bool {
		return c.isOf(t) && c.total() == 1 && c.Worker == worker
	})
	return len(j.Crashes) < before
}

// crashCountOf returns the count of a task, which it adds if there is none.
func (j *Job) crashCountOf(t TaskID) *CrashCount {
	i := slices.IndexFunc(j.Crashes, func(c CrashCount) bool { return c.isOf(t) })
	if i < 0 {
		i = len(j.Crashes)
		j.Crashes = append(j.Crashes, CrashCount{Occurrence: t.Occurrence, Step: t.Step, Index: t.Index})
	}
	return &j.Crashes[i]
}

// Survived records that a worker has survived the start of a task, which is then
// not the cause of earlier crashes. It reports whether there were any.
func (j *Job) Survived(t TaskID) bool {
	before := len(j.Crashes)
	j.Crashes = slices.DeleteFunc(j.Crashes, func(c CrashCount) bool { return c.isOf(t) })
	return len(j.Crashes) < before
}

// pruneCrashes removes the counts of tasks that are done or no longer known.
func (j *Job) pruneCrashes() {
	j.Crashes = slices.DeleteFunc(j.Crashes, func(c CrashCount) bool {
		task := j.Task(TaskID{Job: j.Spec.ID, Occurrence: c.Occurrence, Step: c.Step, Index: c.Index})
		return task == nil || task.Done
	})
}
