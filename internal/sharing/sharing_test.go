package sharing_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/sharing"
	"greengagedeck/internal/worker"
)

const (
	target = 100 * time.Millisecond
	// look is the time between two reports.
	look = 500 * time.Millisecond
	// harm is how long a task may be over its target.
	harm = 4 * time.Second
)

// world is a worker whose serving task is disturbed in proportion to the pace of
// what fills beside it. The pace works, and shows, with a delay.
type world struct {
	// own is the tail without any disturbance, and disturb what full pace
	// adds to it.
	own, disturb time.Duration
	pace, before int
}

// tail returns what the worker reports: the mean over the last half second, in
// which the pace changed.
func (w *world) tail() time.Duration {
	mean := float64(w.pace+w.before) / 2 / worker.FullSpeed
	return w.own + time.Duration(mean*float64(w.disturb))
}

// drive runs a governor for a time and returns the longest time that the task
// was over its target on end, and the mean pace.
func drive(w *world, g *sharing.Governor, start, length time.Duration) (over time.Duration, mean float64) {
	var run time.Duration
	sum, n := 0, 0
	for now := start; now < start+length; now += look {
		tail := w.tail()
		if tail >= target {
			run += look
		} else {
			run = 0
		}
		over = max(over, run)
		w.before, w.pace = w.pace, g.Update(now, []sharing.ServingTask{{TailLatency: tail, TargetLatency: target}})
		sum += w.pace
		n++
	}
	return over, float64(sum) / float64(n)
}

func TestNothingServesSoNothingIsHeld(t *testing.T) {
	g := NewWithT(t)
	var gov sharing.Governor
	g.Expect(gov.Update(time.Second, nil)).To(Equal(worker.FullSpeed))
}

func TestStrongDisturbanceIsHeldBelowTheTarget(t *testing.T) {
	g := NewWithT(t)
	for _, disturb := range []time.Duration{100, 200, 400, 1000} {
		w := &world{own: 40 * time.Millisecond, disturb: disturb * time.Millisecond, pace: 30, before: 30}
		var gov sharing.Governor
		over, mean := drive(w, &gov, time.Second, time.Minute)
		g.Expect(over).To(BeNumerically("<", harm), "disturbance %v ms", disturb)
		// The pace that just reaches the target is 60 ms of disturbance.
		limit := 100 * 60 / float64(disturb)
		g.Expect(mean).To(BeNumerically(">", 0.4*limit), "disturbance %v ms", disturb)
	}
}

func TestWeakDisturbanceGivesTheRoomBack(t *testing.T) {
	g := NewWithT(t)
	w := &world{own: 20 * time.Millisecond, disturb: 30 * time.Millisecond, pace: 30, before: 30}
	var gov sharing.Governor
	over, _ := drive(w, &gov, time.Second, 10*time.Second)
	g.Expect(over).To(BeZero())
	g.Expect(w.pace).To(Equal(worker.FullSpeed))
}

// The behaviour of tasks changes within seconds.
func TestChangesOfBehaviourAreFollowed(t *testing.T) {
	g := NewWithT(t)
	w := &world{own: 20 * time.Millisecond, disturb: 30 * time.Millisecond, pace: 30, before: 30}
	var gov sharing.Governor
	now := time.Second
	for i := range 20 {
		w.disturb = 30 * time.Millisecond
		if i%2 == 1 {
			w.disturb = 500 * time.Millisecond
		}
		over, _ := drive(w, &gov, now, 6*time.Second)
		now += 6 * time.Second
		g.Expect(over).To(BeNumerically("<", harm), "change %d", i)
	}
}

// What the serving task does itself is no reason to hold others for ever, but
// while it is over its target nothing may fill beside it.
func TestOverloadOfItsOwnHoldsEverything(t *testing.T) {
	g := NewWithT(t)
	w := &world{own: 150 * time.Millisecond, disturb: 100 * time.Millisecond, pace: 30, before: 30}
	var gov sharing.Governor
	drive(w, &gov, time.Second, 5*time.Second)
	g.Expect(w.pace).To(BeZero())
	w.own = 30 * time.Millisecond
	drive(w, &gov, 6*time.Second, 10*time.Second)
	g.Expect(w.pace).To(BeNumerically(">", 0))
}
