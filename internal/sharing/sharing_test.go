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
	// reportInterval is the time between two reports.
	reportInterval = 500 * time.Millisecond
	// maxOverTarget is how long a serving task may miss its target without a
	// break.
	maxOverTarget = 4 * time.Second
)

// simulatedWorker is a worker whose serving task slows down in proportion to the
// speed of the best-effort tasks beside it. A change of speed takes effect, and
// shows in the reports, with a delay.
type simulatedWorker struct {
	// baseTail is the tail latency without best-effort tasks, and interference
	// what best-effort tasks at full speed add to it.
	baseTail, interference time.Duration
	speed, previousSpeed   int
}

// tailLatency returns what the worker reports: the mean over the last half
// second, in which the speed changed.
func (w *simulatedWorker) tailLatency() time.Duration {
	mean := float64(w.speed+w.previousSpeed) / 2 / worker.FullSpeed
	return w.baseTail + time.Duration(mean*float64(w.interference))
}

// simulate runs a governor for a time. It returns the longest time without a
// break that the task was over its target, and the mean speed.
func simulate(w *simulatedWorker, g *sharing.Governor, start, length time.Duration) (longestOver time.Duration, meanSpeed float64) {
	var over time.Duration
	sum, n := 0, 0
	for now := start; now < start+length; now += reportInterval {
		tail := w.tailLatency()
		if tail >= target {
			over += reportInterval
		} else {
			over = 0
		}
		longestOver = max(longestOver, over)
		w.previousSpeed, w.speed = w.speed, g.Update(now, []sharing.ServingTask{{TailLatency: tail, TargetLatency: target}})
		sum += w.speed
		n++
	}
	return longestOver, float64(sum) / float64(n)
}

func TestFullSpeedWithoutServingTasks(t *testing.T) {
	g := NewWithT(t)
	var gov sharing.Governor
	g.Expect(gov.Update(time.Second, nil)).To(Equal(worker.FullSpeed))
}

func TestStrongInterferenceStaysBelowTarget(t *testing.T) {
	g := NewWithT(t)
	for _, interference := range []time.Duration{100, 200, 400, 1000} {
		w := &simulatedWorker{baseTail: 40 * time.Millisecond, interference: interference * time.Millisecond, speed: 30, previousSpeed: 30}
		var gov sharing.Governor
		over, mean := simulate(w, &gov, time.Second, time.Minute)
		g.Expect(over).To(BeNumerically("<", maxOverTarget), "interference %d ms", interference)
		// The target is reached at the speed that adds 60 ms.
		limit := 100 * 60 / float64(interference)
		g.Expect(mean).To(BeNumerically(">", 0.4*limit), "interference %d ms", interference)
	}
}

func TestWeakInterferenceReachesFullSpeed(t *testing.T) {
	g := NewWithT(t)
	w := &simulatedWorker{baseTail: 20 * time.Millisecond, interference: 30 * time.Millisecond, speed: 30, previousSpeed: 30}
	var gov sharing.Governor
	over, _ := simulate(w, &gov, time.Second, 10*time.Second)
	g.Expect(over).To(BeZero())
	g.Expect(w.speed).To(Equal(worker.FullSpeed))
}

// How much best-effort tasks slow serving tasks down changes within seconds.
func TestChangingInterferenceIsTracked(t *testing.T) {
	g := NewWithT(t)
	w := &simulatedWorker{baseTail: 20 * time.Millisecond, interference: 30 * time.Millisecond, speed: 30, previousSpeed: 30}
	var gov sharing.Governor
	now := time.Second
	for i := range 20 {
		w.interference = 30 * time.Millisecond
		if i%2 == 1 {
			w.interference = 500 * time.Millisecond
		}
		over, _ := simulate(w, &gov, now, 6*time.Second)
		now += 6 * time.Second
		g.Expect(over).To(BeNumerically("<", maxOverTarget), "change %d", i)
	}
}

// While a serving task misses its target by its own load, best-effort tasks stay
// paused. They must start again once it meets its target.
func TestOverloadedServingTaskPausesBestEffortTasks(t *testing.T) {
	g := NewWithT(t)
	w := &simulatedWorker{baseTail: 150 * time.Millisecond, interference: 100 * time.Millisecond, speed: 30, previousSpeed: 30}
	var gov sharing.Governor
	simulate(w, &gov, time.Second, 5*time.Second)
	g.Expect(w.speed).To(BeZero())
	w.baseTail = 30 * time.Millisecond
	simulate(w, &gov, 6*time.Second, 10*time.Second)
	g.Expect(w.speed).To(BeNumerically(">", 0))
}
