package scheduler

import (
	"time"

	"greengagedeck/internal/job"
	"greengagedeck/internal/placement"
	"greengagedeck/internal/worker"
)

// explainInterval is the time between two looks why a step still waits.
const explainInterval = time.Second

// wait is why a step's tasks were not placed when that was looked at last.
type wait struct {
	why placement.Obstacle
	at  time.Duration
}

// noteWait notes that a group finds no room, and logs why when that is new.
func (c *Core) noteWait(w waiting, nodes []*placement.Node, now time.Duration) {
	if w.it.stillSince == 0 && !w.it.HasActiveRuns() {
		w.it.stillSince = now
	}
	last, seen := w.it.waits[w.group.Step]
	if seen && now < last.at+explainInterval {
		return
	}
	req := c.request(w.it, w.group)
	why, most := placement.Explain(nodes, req)
	if w.it.waits == nil {
		w.it.waits = map[int]wait{}
	}
	w.it.waits[w.group.Step] = wait{why: why, at: now}
	if seen && last.why == why {
		return
	}
	c.opt.Logger.Info().Str("job", string(w.it.Spec.ID)).Int("step", w.group.Step).Int("tasks", len(w.group.Waiting)).
		Str("limit", string(why)).Int("workers", len(nodes)).Int("listed", len(c.workers)).Int("most_free_cpu", most).
		Int("needs_cpu", req.Room.CPU).Int("needs_mb", req.Room.MemoryMB).
		Int("priority", w.it.Terms.Priority).Dur("slack", w.slack).Dur("waited", now-w.it.arrived).Msg("tasks wait")
}

// logPlaced logs that a run is in the log and will be ordered.
func (c *Core) logPlaced(it *item, r *worker.Run, b *worker.Book, now time.Duration) {
	e := c.opt.Logger.Info().Stringer("task", r.ID.Task).Int("run", r.ID.Number).Str("worker", b.Incarnation.ID).
		Int("free_cpu", b.Free().CPU).Dur("heard", now-b.Answered).Dur("after", now-it.arrived)
	if w, ok := it.waits[r.ID.Task.Step]; ok {
		e.Str("had_waited_for", string(w.why))
	}
	if it.Checkpoint(r.ID.Task) != "" {
		e.Bool("checkpoint", true)
	}
	e.Msg("run placed")
}

// logEnd logs the end of a run.
func (c *Core) logEnd(it *item, b *worker.Book, r *worker.Run, how job.EndReason, now time.Duration) {
	e := c.opt.Logger.Info().Stringer("task", r.ID.Task).Int("run", r.ID.Number).Str("worker", b.Incarnation.ID).
		Str("how", string(how)).Dur("ran", now-r.Since).Bool("confirmed", r.State == worker.Confirmed)
	if r.StopReason != "" {
		e.Str("stopped_for", r.StopReason)
	}
	if t := it.Task(r.ID.Task); t != nil && t.Failures > 0 {
		e.Int("failures", t.Failures).Int("most_failures", it.Terms.MaxAttempts)
	}
	e.Msg("run ended")
}
