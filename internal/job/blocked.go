package job

// EachBlockedStep calls f with the index of every step that waits for earlier steps, once
// for each current occurrence.
func (j *Job) EachBlockedStep(f func(step int)) {
	if j.Phase.Final() {
		return
	}
	for _, o := range j.Occurrences {
		for i, s := range j.Spec.Steps {
			if !o.dependenciesDone(s) {
				f(i)
			}
		}
	}
}
