// Package sharing limits the speed of best-effort tasks on a worker, so that the
// serving tasks there meet their latency targets. It decides by what the worker
// reports each half second and does no I/O.
package sharing

import (
	"time"

	"greengagedeck/internal/worker"
)

// ServingTask is the last report on a task that answers requests of its own
// users.
type ServingTask struct {
	// TailLatency is the tail of the task's response times, and TargetLatency
	// the value that it must stay below.
	TailLatency, TargetLatency time.Duration
}

const (
	// initialSpeed is the speed, in percent, at which best-effort tasks begin
	// beside a serving task: how much they slow it down is not known yet.
	initialSpeed = 30
	// slowdownRatio is the ratio of tail latency to target from which the speed
	// is lowered, and speedupRatio the ratio below which it is raised. They leave
	// a margin, since reported latencies are rough and react with a delay.
	slowdownRatio = 0.85
	speedupRatio  = 0.65
	// slowdownFactor multiplies the speed from slowdownRatio on, and
	// overTargetFactor from the target on.
	slowdownFactor   = 0.8
	overTargetFactor = 0.5
	// speedupStep is added to the speed below speedupRatio, in percent.
	speedupStep = 10
	// minSpeed is the speed below which best-effort tasks are paused, in percent.
	minSpeed = 5
	// reportInterval is the time that a report covers. A speed is not changed
	// again before a report can show its effect.
	reportInterval = 500 * time.Millisecond
	// pauseAfter is how long a target may be missed before all best-effort tasks
	// are paused.
	pauseAfter = 1200 * time.Millisecond
)

// Governor sets the speed of the best-effort tasks of one worker. It increases the
// speed additively and decreases it multiplicatively, so that it settles below the
// speed that slows serving tasks down too much, and follows when that changes. The
// zero value is ready for use.
type Governor struct {
	speed   int
	started bool
	// adjustedAt is when the speed was last set. overTargetSince is since when a
	// target has been missed, 0 if all are met.
	adjustedAt, overTargetSince time.Duration
}

// Update takes in what a worker reported of its serving tasks and returns the new
// speed of its best-effort tasks in percent, 0 to pause them.
func (g *Governor) Update(now time.Duration, serving []ServingTask) int {
	if len(serving) == 0 {
		*g = Governor{}
		return worker.FullSpeed
	}
	if !g.started {
		*g = Governor{speed: initialSpeed, started: true, adjustedAt: now}
		return g.speed
	}
	ratio := worstRatio(serving)
	g.trackOverTarget(now, ratio)
	switch {
	case g.overTargetSince > 0 && now-g.overTargetSince >= pauseAfter:
		g.setSpeed(now, 0)
	case now-g.adjustedAt < reportInterval:
	case ratio >= 1:
		g.setSpeed(now, int(float64(g.speed)*overTargetFactor))
	case ratio >= slowdownRatio:
		g.setSpeed(now, int(float64(g.speed)*slowdownFactor))
	case ratio < speedupRatio:
		g.setSpeed(now, g.speed+speedupStep)
	}
	return g.speed
}

func (g *Governor) trackOverTarget(now time.Duration, ratio float64) {
	switch {
	case ratio < 1:
		g.overTargetSince = 0
	case g.overTargetSince == 0:
		g.overTargetSince = now
	}
}

func (g *Governor) setSpeed(now time.Duration, percent int) {
	if percent < minSpeed {
		percent = 0
	}
	g.speed = min(percent, worker.FullSpeed)
	g.adjustedAt = now
}

// worstRatio returns the largest ratio of tail latency to target.
func worstRatio(serving []ServingTask) float64 {
	worst := 0.0
	for _, s := range serving {
		worst = max(worst, float64(s.TailLatency)/float64(s.TargetLatency))
	}
	return worst
}
