package scheduler_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/logstore"
	"greengagedeck/internal/scheduler"
)

// longestWait is for how long leases of earlier holders may last after a takeover.
const longestWait = simDutyLease + simMaxLease + simMaxLease/20

// newPoolWithLostWorker returns a pool whose task runs on a worker that is gone, or
// only silent, and which has another worker with room. A holder has taken over and
// held the pool for the given time.
func newPoolWithLostWorker(t *testing.T, held time.Duration) (*crashPool, *crashWorker) {
	p := newCrashPool(t)
	w := p.awaitStart()
	p.g.Expect(w).NotTo(BeNil())
	w.up = false
	p.unlist(w, "b")
	p.takeOver()
	for range int(held / crashTick) {
		p.g.Expect(p.tick()).To(BeNil())
	}
	return p, w
}

// loggedLeases returns the record of earlier leases in the log, or nil.
func (p *crashPool) loggedLeases() *joblog.EarlierLeases {
	for key, value := range p.log {
		rec, ok, err := joblog.DecodeProgress(logstore.Record{Key: key, Value: value})
		p.g.Expect(err).NotTo(HaveOccurred())
		if ok && rec.EarlierLeases != nil {
			return rec.EarlierLeases
		}
	}
	return nil
}

// waitForStart returns how long it takes until the task starts.
func (p *crashPool) waitForStart() time.Duration {
	from := p.now.Now
	for p.now.Now < from+2*longestWait {
		if p.tick() != nil {
			break
		}
	}
	return p.now.Now - from
}

// Guards against a record that counts although a holder in between, which logs none,
// may have granted leases since.
func TestRecordOfEarlierLeasesCountsForNextHolderOnly(t *testing.T) {
	const held = 5 * time.Second
	for name, c := range map[string]struct {
		between int64
		atLeast time.Duration
		atMost  time.Duration
	}{
		"next holder":                   {0, longestWait - held, longestWait - held + 2*time.Second},
		"holder of an earlier release":  {1, longestWait, longestWait + time.Second},
		"holders of an earlier release": {2, longestWait, longestWait + time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			p, _ := newPoolWithLostWorker(t, held)
			p.token += c.between
			p.takeOver()
			waited := p.waitForStart()
			p.g.Expect(waited).To(BeNumerically(">=", c.atLeast))
			p.g.Expect(waited).To(BeNumerically("<=", c.atMost))
		})
	}
}

// Guards against a holder that grants a worker a lease for which the next holder does
// not wait: neither a poll nor a start may extend it while the log names the worker.
func TestLeaseIsExtendedOnlyOnceRecordIsDeleted(t *testing.T) {
	p, w := newPoolWithLostWorker(t, 3*time.Second)
	p.g.Expect(p.loggedLeases().RemainingMillis).To(HaveKey(w.listing.Incarnation.ID))
	id := w.listing.Incarnation.ID
	task := job.RunID{Task: job.TaskID{Job: crashJob}, Number: 1}
	w.up, w.runs = true, []job.RunID{task}
	nextLease := func() int64 { return p.core.Poll(id, p.now.Now, time.Second).Request.LeaseUntil }

	p.poll(w)
	p.g.Expect(nextLease()).To(BeZero(), "the log names the worker")
	b, err := p.core.Plan(p.now)
	p.g.Expect(err).NotTo(HaveOccurred())
	p.g.Expect(b.Progress).To(ContainElement(joblog.DeleteEarlierLeases()))
	p.poll(w)
	p.g.Expect(nextLease()).To(BeZero(), "the deletion is not logged")
	p.core.Committed(b, p.now)
	p.g.Expect(nextLease()).To(BeNumerically(">", p.clock(w)))
}

// Guards against a lease that is granted while a record that does not allow for it is
// on its way to the log.
func TestLeaseIsNotExtendedWhileRecordIsLogged(t *testing.T) {
	p, w := newPoolWithLostWorker(t, crashTick)
	p.g.Expect(p.loggedLeases()).To(BeNil())
	p.wait(time.Second)
	b, err := p.core.Plan(p.now)
	p.g.Expect(err).NotTo(HaveOccurred())
	p.g.Expect(b.Progress).To(HaveLen(1), "the record")
	w.up, w.runs = true, []job.RunID{{Task: job.TaskID{Job: crashJob}, Number: 1}}
	p.poll(w)
	nextLease := func() int64 {
		return p.core.Poll(w.listing.Incarnation.ID, p.now.Now, time.Second).Request.LeaseUntil
	}
	p.g.Expect(nextLease()).To(BeZero())
	p.core.Committed(b, p.now)
	p.g.Expect(nextLease()).To(BeZero(), "the log names the worker")
	p.plan()
	p.g.Expect(nextLease()).To(BeNumerically(">", p.clock(w)))
}

// Guards against a start that extends a lease for which the next holder does not wait:
// it is sent only once the record of its worker is deleted.
func TestStartIsSentOnlyOnceRecordIsDeleted(t *testing.T) {
	p, w := newPoolWithLostWorker(t, 3*time.Second)
	// The worker is back without the run, and the only one.
	w.up, w.runs, p.workers, p.gone = true, nil, []*crashWorker{w}, nil
	p.list()
	p.poll(w)
	b, err := p.core.Plan(p.now)
	p.g.Expect(err).NotTo(HaveOccurred())
	p.g.Expect(scheduler.BatchStarts(b)).To(BeEmpty())
	starts := scheduler.RepeatedStarts(b)
	p.g.Expect(starts).To(HaveLen(1))
	p.g.Expect(b.Progress).To(ContainElement(joblog.DeleteEarlierLeases()))
	_, send := p.core.StartOrder(starts[0].Run, w.listing.Incarnation.ID, p.now.Now, time.Second)
	p.g.Expect(send).NotTo(Equal(scheduler.SendNow), "the deletion is not logged")
	p.core.Committed(b, p.now)
	_, send = p.core.StartOrder(starts[0].Run, w.listing.Incarnation.ID, p.now.Now, time.Second)
	p.g.Expect(send).To(Equal(scheduler.SendNow))
}

// Guards against a record that leaves out a lease of its own holder: a worker that has
// been reached since the takeover is in none, and the next holder waits for longer.
func TestWorkersWithLeaseOfHolderAreNotRecorded(t *testing.T) {
	p := newCrashPool(t)
	w := p.awaitStart()
	p.g.Expect(w).NotTo(BeNil())
	p.takeOver()
	for range 3 {
		p.tick()
	}
	w.up = false
	p.unlist(w, "b")
	for range int(2 * time.Second / crashTick) {
		p.g.Expect(p.tick()).To(BeNil())
		p.g.Expect(p.loggedLeases()).To(BeNil())
	}
	p.takeOver()
	p.g.Expect(p.waitForStart()).To(BeNumerically(">=", longestWait))
}

// Guards against records for workers that answer: a takeover alone logs nothing.
func TestTakeoverLogsNoLeasesOfWorkersThatAnswer(t *testing.T) {
	p := newCrashPool(t)
	p.g.Expect(p.awaitStart()).NotTo(BeNil())
	p.takeOver()
	for range int(longestWait / crashTick) {
		p.tick()
		p.g.Expect(p.loggedLeases()).To(BeNil())
	}
}

// Guards against a record that stays in the log once no run waits for it, and against
// one with each plan.
func TestRecordsOfEarlierLeasesAreFewAndDeleted(t *testing.T) {
	p, _ := newPoolWithLostWorker(t, 0)
	records := 0
	for last := int64(0); ; {
		started := p.tick()
		l := p.loggedLeases()
		if started != nil {
			p.g.Expect(l).To(BeNil())
			break
		}
		if l == nil {
			continue
		}
		for _, millis := range l.RemainingMillis {
			if millis != last {
				last, records = millis, records+1
			}
		}
	}
	p.g.Expect(records).To(BeNumerically("~", longestWait/time.Second, 1))
}

// Guards against a superseded holder that extends the lease of a worker for whose
// leases its successor no longer waits: both would run the task.
func TestSupersededHolderExtendsNoRecordedLease(t *testing.T) {
	g := NewWithT(t)
	w := newSimWorld(t, 1, 2)
	w.takeOver()
	spec := job.Spec{ID: longRunningJob, Steps: []job.Step{{Count: 1, Need: job.Resources{CPU: 1000}, LongRunning: true, MaxUnavailable: 1}}}
	spec.Payload = "text of " + string(spec.ID)
	w.submit(spec, 3)
	w.run(2 * time.Second)
	running := w.workers[0]
	if len(running.running) == 0 {
		running = w.workers[1]
	}
	g.Expect(running.running).To(HaveLen(1))
	for _, r := range running.running {
		r.endsAt = w.now + untilCancelled
	}

	// The holder that started the task grants the longest lease at the end of its duty.
	const held = 6 * time.Second
	w.holder.logCutOffUntil = w.now + time.Minute
	w.takeOver()
	first := w.holder
	first.cutOffUntil[running.id] = w.now + held
	w.run(held)
	first.logCutOffUntil = w.now + time.Minute
	w.takeOver()
	w.holder.cutOffUntil[running.id] = w.now + time.Minute
	w.run(simMaxLease - time.Second)
	g.Expect(w.violations).To(BeEmpty())
	g.Expect(w.starts[job.TaskID{Job: longRunningJob}]).To(BeNumerically(">", 1), "the holder waits no longer than the record says")
}
