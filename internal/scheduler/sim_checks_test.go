package scheduler_test

import (
	"fmt"
	"slices"
	"time"

	"greengagedeck/internal/job"
	"greengagedeck/internal/worker"
)

// checkStart checks a start against the invariants.
func (w *simWorld) checkStart(s *simWorker, o worker.StartOrder) {
	t := o.Run.Task
	spec, ok := w.specs[t.Job]
	if !ok || o.Payload != spec.Payload {
		w.addViolation("UNASKED start of %s", t)
		return
	}
	if o.Checkpoint != "" && !w.isOwnCheckpoint(t, o.Checkpoint) {
		w.addViolation("UNASKED checkpoint %s for %s", o.Checkpoint, t)
	}
	if at, ok := w.cancelled[t.Job]; ok && w.now > at+simCancelTimeout && w.order.holder == w.token && !s.partitioned {
		w.addViolation("UNASKED start of %s, cancelled %v ago", t, w.now-at)
	}
	step := spec.Steps[t.Step]
	if !step.Speculative {
		w.checkNoDuplicateRun(s, o.Run)
	}
	w.checkStepOrder(spec, t)
	if !step.LongRunning && !step.Gang && w.failures[t] >= w.maxFailures[t.Job] {
		w.addViolation("BUDGET start of %s after %d failures", t, w.failures[t])
	}
	if step.Gang && len(w.gangFailures[worker.StepKeyOf(t)]) >= w.maxFailures[t.Job] {
		w.addViolation("BUDGET start of gang %s after %d failures", t, len(w.gangFailures[worker.StepKeyOf(t)]))
	}
	if step.Label != "" && !slices.Contains(s.labels, step.Label) {
		w.addViolation("ROUTE start of %s on %s without label %s", t, s.id, step.Label)
	}
	w.checkTasksPerWorker(s, t, step)
	w.checkCapacity(s, step)
	w.started[t.Job] = true
	w.customers.checkStart(o)
	w.crashes.checkStart(s, o)
}

// checkQueuedJobs checks that the holder counts at least those jobs as queued of which no worker
// has started a task.
func (w *simWorld) checkQueuedJobs() {
	if w.holder == nil || !w.holder.active() {
		return
	}
	notStarted := 0
	for _, id := range w.ids {
		if phase, known := w.holder.core.Lookup(id); known && !phase.Final() && !w.started[id] {
			notStarted++
		}
	}
	if n := w.holder.core.QueuedJobs("e", job.Selector{}); n < notStarted {
		w.addViolation("MIXED %d jobs counted as queued, %d have started no task", n, notStarted)
	}
}

func (w *simWorld) isOwnCheckpoint(t job.TaskID, checkpoint string) bool {
	if !w.specs[t.Job].Steps[t.Step].Gang {
		return len(checkpoint) > len(t.String()) && checkpoint[:len(t.String())] == t.String()
	}
	prefix := fmt.Sprintf("%s.%d.%d.", t.Job, t.Occurrence, t.Step)
	return checkpoint[:len(prefix)] == prefix
}

// checkNoDuplicateRun checks that a start on a worker begins the task's only run.
func (w *simWorld) checkNoDuplicateRun(at *simWorker, run job.RunID) {
	t := run.Task
	if w.doneAcknowledged[t] {
		w.noteDoubleRun(at.startOrigin(run), w.doneOrigins[t])
		w.addViolation("TWICE start of %s run %d after an acknowledged end", t, run.Number)
	}
	for _, s := range w.workers {
		if r := s.running[t]; s.up && r != nil {
			w.noteDoubleRun(at.startOrigin(run), s.originOf(r))
			w.addViolation("TWICE %s: run %d starts while run %d is active on %s", t, run.Number, r.id.Number, s.id)
		}
	}
}

// checkTasksPerWorker checks the number of a step's tasks on a worker against the
// step's limit.
func (w *simWorld) checkTasksPerWorker(s *simWorker, t job.TaskID, step job.Step) {
	if step.MaxPerWorker == 0 {
		return
	}
	n := 1
	for other := range s.running {
		if other != t && worker.StepKeyOf(other) == worker.StepKeyOf(t) {
			n++
		}
	}
	if n > step.MaxPerWorker {
		w.addViolation("ROUTE %d tasks of the step of %s on %s", n, t, s.id)
	}
}

// checkStop checks that the stop of a long-running task leaves no more tasks of its
// step unavailable than the step allows.
func (w *simWorld) checkStop(s *simWorker, run job.RunID) {
	spec := w.specs[run.Task.Job]
	r := s.running[run.Task]
	if r == nil || r.id.Number > run.Number || !r.step.LongRunning || !r.active(w.now) || s.draining {
		return
	}
	if _, cancelled := w.cancelled[run.Task.Job]; cancelled {
		return
	}
	unavailable := 0
	for k := range spec.Steps[run.Task.Step].Count {
		t := run.Task
		t.Index = k
		if t != run.Task && w.isUnavailable(t) {
			unavailable++
		}
	}
	if unavailable >= r.step.MaxUnavailable {
		w.crashes.addUnlessFailed(run.Task.Job, fmt.Sprintf("AVAIL stop of %s while %d others are unavailable", run.Task, unavailable))
	}
	w.unavailableSince[run.Task] = w.now
	w.stopOrdered[run.Task] = true
}

// isUnavailable reports whether a long-running task is inactive because of an order,
// or has been inactive for longer than simUnavailableAfter.
func (w *simWorld) isUnavailable(t job.TaskID) bool {
	for _, s := range w.workers {
		if r := s.running[t]; s.up && r != nil && r.active(w.now) {
			return false
		}
	}
	since, known := w.unavailableSince[t]
	return known && (w.stopOrdered[t] || w.now > since+simUnavailableAfter)
}

// gangEndReason returns how a member of a gang ends now, or "" if it continues.
// Members work only while all of them are running, and end together.
func (w *simWorld) gangEndReason(r *simRun) job.EndReason {
	key := worker.StepKeyOf(r.id.Task)
	members := 0
	for _, s := range w.workers {
		for t, other := range s.running {
			if worker.StepKeyOf(t) == key && other.id.Number == r.id.Number {
				members++
			}
		}
	}
	switch {
	case members == r.step.Count && !r.gangComplete:
		r.gangComplete = true
		r.endsAt = w.now + time.Second
	case members < r.step.Count && r.gangComplete && w.done[r.id.Task]:
		return job.EndDone
	case members < r.step.Count && r.gangComplete:
		return job.EndGangMemberLost
	case !r.gangComplete && w.now > r.started+simGangTimeout:
		return job.EndGangTimeout
	case r.gangComplete && w.now >= r.endsAt:
		return r.endReason
	}
	return ""
}

func (w *simWorld) checkStepOrder(spec job.Spec, t job.TaskID) {
	for _, a := range spec.Steps[t.Step].After {
		for k := range spec.Steps[a].Count {
			if !w.done[job.TaskID{Job: t.Job, Occurrence: t.Occurrence, Step: a, Index: k}] {
				w.addViolation("ORDER start of %s before step %d is done", t, a)
				return
			}
		}
	}
}

func (w *simWorld) checkCapacity(s *simWorker, step job.Step) {
	used := step.ReservedResources()
	for _, r := range s.running {
		used = used.Add(r.step.ReservedResources())
	}
	if counted, judged := s.countedCapacity(w.order); judged && !used.FitsIn(counted) {
		w.addViolation("LIMIT %s: tasks need %+v, capacity is %+v", s.id, used, counted)
	}
}

// newRun starts a run and chooses at random when and how it will end.
func (w *simWorld) newRun(s *simWorker, o worker.StartOrder) *simRun {
	t := o.Run.Task
	step := w.specs[t.Job].Steps[t.Step]
	r := &simRun{id: o.Run, step: step, origin: s.startOrigin(o.Run), started: w.now, endReason: job.EndDone}
	w.losses.started(r)
	r.endsAt = w.now + time.Duration(50+w.rng.IntN(2000))*time.Millisecond
	if step.LongRunning {
		r.endsAt = w.now + time.Duration(1000+w.rng.IntN(20000))*time.Millisecond
		r.endReason = job.EndFailed
	}
	if w.maxRun > 0 {
		r.endsAt = w.now + time.Duration(w.rng.Int64N(int64(w.maxRun)))
	}
	if s.failing || w.rng.IntN(20) == 0 {
		r.endReason = job.EndFailed
	}
	w.starts[t]++
	return r
}

// runEnded records the end of a run on a worker.
func (w *simWorld) runEnded(_ *simWorker, r *simRun, reason job.EndReason) {
	w.crashes.runEnded(r, reason)
	w.losses.ended(r, reason)
	if reason == job.EndDone {
		w.done[r.id.Task] = true
		for k := range r.step.Count {
			if t := r.id.Task; r.step.Gang {
				t.Index = k
				w.done[t] = true
			}
		}
	}
	if r.step.LongRunning && reason != job.EndStopped {
		w.unavailableSince[r.id.Task] = w.now
		w.stopOrdered[r.id.Task] = false
	}
}

// endAcknowledged records that the holder acknowledged the end of a run.
func (w *simWorld) endAcknowledged(s *simWorker, e worker.RunEnd) {
	t := e.Run.Task
	if s.leaseExpiredAt >= s.endedAt[e.Number] {
		// An end does not count if the lease expired before it was acknowledged.
		return
	}
	if e.Reason == job.EndDone && !w.specs[t.Job].Steps[t.Step].LongRunning {
		w.doneAcknowledged[t] = true
		done := s.endOrigins[e.Number]
		done.acknowledgement = w.order
		if s.strayLease.holder != 0 {
			// The end counts since the lease has not expired until now.
			done.lease = s.strayLease
		}
		w.doneOrigins[t] = done
	}
	if e.Reason == job.EndFailed {
		w.failures[t]++
		key := worker.StepKeyOf(t)
		if w.gangFailures[key] == nil {
			w.gangFailures[key] = map[int]bool{}
		}
		w.gangFailures[key][e.Run.Number] = true
	}
}

// checkCancelledJobs checks that no tasks of cancelled jobs are running. This
// holds only after a time without faults.
func (w *simWorld) checkCancelledJobs() {
	if w.faultActive() {
		w.lastFault = w.now
	}
	if w.now < w.lastFault+simCancelTimeout+2*simStopTimeout {
		return
	}
	for _, s := range w.workers {
		for t := range s.running {
			if at, ok := w.cancelled[t.Job]; ok && w.now > at+simCancelTimeout+2*simStopTimeout {
				w.addViolation("UNASKED %s is active on %s %v after its cancel", t, s.id, w.now-at)
			}
		}
	}
}

// faultActive reports whether a fault is active.
func (w *simWorld) faultActive() bool {
	if w.lostRate+w.delayedRate+w.unansweredRate > 0 || w.logDown || !w.holder.active() {
		return true
	}
	return slices.ContainsFunc(w.workers, func(s *simWorker) bool { return s.partitioned || !s.up })
}
