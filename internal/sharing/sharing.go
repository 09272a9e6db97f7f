// Package sharing keeps tasks that serve their own users fast while other tasks
// use what they leave of a worker. It decides from what the worker reports each
// half second and does no I/O.
package sharing

import (
	"time"

	"greengagedeck/internal/worker"
)

// ServingTask is a task that serves, as it was last reported.
type ServingTask struct {
	// TailLatency is the tail of its response times, and TargetLatency what that must stay
	// below.
	TailLatency, TargetLatency time.Duration
}

const (
	// firstPace is where they begin beside a task that serves: how much they
	// disturb it is not known yet.
	firstPace = 30
	// guard is the part of a target from which on the pace is lowered, and
	// calm the part below which it is raised. Figures are rough, and a task
	// reacts only after a while.
	guard = 0.85
	calm  = 0.65
	// slower and halved multiply the pace above the guard and above the
	// target.
	slower = 0.8
	halved = 0.5
	// speedupStep is added to the pace while all is calm, in percent.
	speedupStep = 10
	// lowest is the pace below which tasks are held altogether, in percent.
	lowest = 5
	// sample is the time that a report covers: a pace is judged only after it.
	sample = 500 * time.Millisecond
	// holdAfter is how long a target may be missed before everything that
	// fills is held.
	holdAfter = 1200 * time.Millisecond
)

// Governor sets the pace of the tasks that fill one worker. It raises the pace by
// steps and lowers it in proportion, so that it settles below where it
// disturbs, and follows when that changes. The zero value is ready for use.
type Governor struct {
	speed int
	begun   bool
	// judged is when the pace was last changed, and overTargetSince since when a target
	// has been missed, 0 for not.
	judged, overTargetSince time.Duration
}

// Update returns the pace in percent for what a worker reported at a time.
func (g *Governor) Update(now time.Duration, serving []ServingTask) int {
	if len(serving) == 0 {
		*g = Governor{}
		return worker.FullSpeed
	}
	if !g.begun {
		*g = Governor{speed: firstPace, begun: true, judged: now}
		return g.speed
	}
	worst := worst(serving)
	g.noteOver(now, worst)
	switch {
	case g.overTargetSince > 0 && now-g.overTargetSince >= holdAfter:
		g.setSpeed(now, 0)
	case now-g.judged < sample:
	case worst >= 1:
		g.setSpeed(now, int(float64(g.speed)*halved))
	case worst >= guard:
		g.setSpeed(now, int(float64(g.speed)*slower))
	case worst < calm:
		g.setSpeed(now, g.speed+speedupStep)
	}
	return g.speed
}

func (g *Governor) noteOver(now time.Duration, worst float64) {
	switch {
	case worst < 1:
		g.overTargetSince = 0
	case g.overTargetSince == 0:
		g.overTargetSince = now
	}
}

func (g *Governor) setSpeed(now time.Duration, percent int) {
	if percent < lowest {
		percent = 0
	}
	g.speed = min(percent, worker.FullSpeed)
	g.judged = now
}

// worst returns the largest tail as a part of its target.
func worst(serving []ServingTask) float64 {
	w := 0.0
	for _, s := range serving {
		w = max(w, float64(s.TailLatency)/float64(s.TargetLatency))
	}
	return w
}
