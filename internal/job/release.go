package job

// NextDue returns when the next occurrence of a repeated job is due, in
// milliseconds since 1970. It returns false when no occurrence is left, or none can be
// released before an earlier one has ended.
func (j *Job) NextDue() (int64, bool) {
	if j.Phase.Final() || j.NextOccurrence >= j.Spec.Repeat || j.atOpenLimit() {
		return 0, false
	}
	return j.Spec.FirstDue + int64(j.NextOccurrence)*j.Spec.Interval.Milliseconds(), true
}

// atOpenLimit reports whether the released occurrences have as many tasks as a job may
// have. Occurrences may overlap, and any number may be due at the same time.
func (j *Job) atOpenLimit() bool {
	return len(j.Occurrences) > 0 && (len(j.Occurrences)+1)*j.Spec.tasks() > MaxTasks
}

// Release adds the occurrences that are due at the time now, in milliseconds
// since 1970. It reports whether it added any.
func (j *Job) Release(now int64) bool {
	released := false
	for {
		due, ok := j.NextDue()
		if !ok || due > now {
			return released
		}
		j.Occurrences = append(j.Occurrences, newOccurrence(j.NextOccurrence, j.Spec.Steps))
		j.NextOccurrence++
		released = true
	}
}
