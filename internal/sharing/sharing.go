// Package sharing keeps tasks that serve their own users fast while other tasks
// use what they leave of a worker. It decides from what the worker reports each
// half second and does no I/O.
package sharing

import (
	"time"

	"greengagedeck/internal/worker"
)

// Serving is a task that serves, as it was last reported.
type Serving struct {
	// Tail is the tail of its response times, and Target what that must stay
	// below.
	Tail, Target time.Duration
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
	// step is added to the pace while all is calm, in percent.
	step = 10
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
	percent int
	begun   bool
	// judged is when the pace was last changed, and over since when a target
	// has been missed, 0 for not.
	judged, over time.Duration
}

// Pace returns the pace in percent for what a worker reported at a time.
func (g *Governor) Pace(now time.Duration, serving []Serving) int {
	if len(serving) == 0 {
		*g = Governor{}
		return worker.FullSpeed
	}
	if !g.begun {
		*g = Governor{percent: firstPace, begun: true, judged: now}
		return g.percent
	}
	worst := worst(serving)
	g.noteOver(now, worst)
	switch {
	case g.over > 0 && now-g.over >= holdAfter:
		g.set(now, 0)
	case now-g.judged < sample:
	case worst >= 1:
		g.set(now, int(float64(g.percent)*halved))
	case worst >= guard:
		g.set(now, int(float64(g.percent)*slower))
	case worst < calm:
		g.set(now, g.percent+step)
	}
	return g.percent
}

func (g *Governor) noteOver(now time.Duration, worst float64) {
	switch {
	case worst < 1:
		g.over = 0
	case g.over == 0:
		g.over = now
	}
}

func (g *Governor) set(now time.Duration, percent int) {
	if percent < lowest {
		percent = 0
	}
	g.percent = min(percent, worker.FullSpeed)
	g.judged = now
}

// worst returns the largest tail as a part of its target.
func worst(serving []Serving) float64 {
	w := 0.0
	for _, s := range serving {
		w = max(w, float64(s.Tail)/float64(s.Target))
	}
	return w
}
