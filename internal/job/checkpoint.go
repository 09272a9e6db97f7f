package job

// Checkpoint returns the checkpoint from which the next run of a task resumes.
// The members of a gang share one checkpoint.
func (j *Job) Checkpoint(t TaskID) string {
	if !j.Step(t).Gang {
		return j.Task(t).Checkpoint
	}
	// A checkpoint saved by any member is valid for the whole gang. It is
	// stored with the first member.
	return j.occurrence(t.Occurrence).Steps[t.Step].Tasks[0].Checkpoint
}

// maxCheckpointsBytes bounds the checkpoints of a job together, and maxCheckpointBytes each.
const (
	maxCheckpointsBytes = 1 << 20
	maxCheckpointBytes  = 64 << 10
)

// TakesCheckpoint reports whether a checkpoint is short enough to be stored. The progress of a
// job is logged whole and has to stay small, however many tasks it has and whatever
// they save: a task with a longer checkpoint resumes from an earlier one, or anew.
func (j *Job) TakesCheckpoint(checkpoint string) bool {
	tasks := j.Spec.tasks()
	if j.Spec.Repeat > 1 {
		tasks = MaxTasks
	}
	return len(checkpoint) <= min(maxCheckpointBytes, maxCheckpointsBytes/max(1, tasks))
}

// SaveCheckpoint stores a checkpoint that a task saved. An empty one is ignored, and one that
// the job does not take.
func (j *Job) SaveCheckpoint(t TaskID, checkpoint string) {
	task := j.Task(t)
	if task == nil || checkpoint == "" || !j.TakesCheckpoint(checkpoint) {
		return
	}
	if j.Step(t).Gang {
		task = &j.occurrence(t.Occurrence).Steps[t.Step].Tasks[0]
	}
	task.Checkpoint = checkpoint
}
