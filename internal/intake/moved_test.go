package intake

import (
	"context"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"greengagedeck/internal/job"
	"greengagedeck/internal/joblog"
	"greengagedeck/internal/logstore/logtest"
	"greengagedeck/internal/policy"
	"greengagedeck/internal/servedlog"
	"greengagedeck/internal/verdict"
)

// Guards against a cancel that is acknowledged and has no effect (UNASKED): a
// configuration had sent the entry to another pool since the job was accepted.
func TestJobIsCancelledInThePoolThatAcceptedIt(t *testing.T) {
	g := NewWithT(t)
	m := newMovingEntry()
	g.Expect(m.submit(id)).To(BeTrue())
	m.moveTo("q")
	g.Expect(m.s.Cancel(t.Context(), m.entry, anyone, id)).To(Succeed())
	g.Expect(m.pools["p"].jobs).To(HaveKeyWithValue(id, true))
	m.moveTo("p")
	m.moveTo("r")
	g.Expect(m.submit(jobID(2))).To(BeTrue())
	m.moveTo("p")
	g.Expect(m.s.Cancel(t.Context(), m.entry, anyone, jobID(2))).To(Succeed())
	g.Expect(m.pools["r"].jobs).To(HaveKeyWithValue(jobID(2), true), "moved there and back")
}

// Guards against a cancel that is acknowledged and has no effect because the holder of
// the job's pool did not answer: it must be stored for that pool.
func TestCancelIsStoredForPoolsThatCannotTell(t *testing.T) {
	g := NewWithT(t)
	m := newMovingEntry()
	g.Expect(m.submit(id)).To(BeTrue())
	m.moveTo("q")
	m.pools["p"].down = true
	g.Expect(m.s.Cancel(t.Context(), m.entry, anyone, id)).To(Succeed())
	m.pools["p"].down = false
	m.readIntake("p")
	g.Expect(m.pools["p"].jobs).To(HaveKeyWithValue(id, true))
	m.readIntake("r")
	g.Expect(m.pools["r"].early).To(BeEmpty(), "its holder knows of no such job")
}

// Guards against a job that runs in two pools (TWICE): its caller handed it in again
// after a configuration had sent the entry to another pool.
func TestJobSubmittedAgainAfterAMoveStaysOneJob(t *testing.T) {
	g := NewWithT(t)
	m := newMovingEntry()
	g.Expect(m.submit(id)).To(BeTrue())
	m.moveTo("q")
	g.Expect(m.submit(id)).To(BeTrue(), "it was accepted before")
	g.Expect(m.pools["q"].jobs).To(BeEmpty())
	m.moveTo("r")
	m.pools["p"].down = true
	err := m.s.Submit(t.Context(), m.entry, anyone, m.version, job.Spec{ID: id, Steps: []job.Step{{Count: 1}}})
	g.Expect(verdict.Of(err)).To(Equal(verdict.NotRun), "its pool cannot tell")
	g.Expect(m.pools["r"].jobs).To(BeEmpty())
}

// Guards against a job that is answered as accepted since the holder of the pool that had its
// entry before knows it, and that this holder then takes back, as the log does not hold it
// (LOST, review/11): all daemons would answer 410.
func TestJobThatOnlyItsHolderHasIsNotAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, outcome := range []string{"taken back", "stored", "undecided"} {
			g := NewWithT(t)
			m := newMovingEntry()
			g.Expect(m.submit(jobID(7))).To(BeTrue())
			p := m.pools["p"]
			p.logAway = true
			g.Expect(m.submit(id)).To(BeFalse(), "its outcome is unknown")
			m.moveTo("q")
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			time.AfterFunc(200*time.Millisecond, func() {
				switch outcome {
				case "taken back":
					clear(p.unstored)
				case "stored":
					p.logReturns()
				}
			})
			start := time.Now()
			err := m.s.Submit(ctx, m.entry, anyone, m.version, job.Spec{ID: id, Steps: []job.Step{{Count: 1}}})
			g.Expect(time.Since(start)).To(BeNumerically("<=", time.Second), "within its deadline")
			switch outcome {
			case "taken back":
				g.Expect(verdict.Of(err)).To(Equal(verdict.MayHaveRun), "its first request may be storing it in the intake")
				g.Expect(time.Since(start)).To(BeNumerically("<", 500*time.Millisecond), "told at once")
				g.Expect(m.pools["q"].jobs).To(BeEmpty())
				g.Expect(m.submit(id)).To(BeTrue())
				g.Expect(m.pools["q"].jobs).To(HaveKey(id), "it is accepted anew")
			case "stored":
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(m.pools["q"].jobs).NotTo(HaveKey(id))
			default:
				g.Expect(verdict.Of(err)).To(Equal(verdict.MayHaveRun), "the log may yet hold it")
				_, err = m.s.State(t.Context(), m.entry, anyone, id)
				g.Expect(err).To(And(HaveOccurred(), Not(MatchError(ErrUnknownJob))))
			}
			cancel()
			m.stop()
			synctest.Wait()
		}
	})
}

// Guards against a count of waiting jobs that leaves out those which were accepted
// before the entry was sent to another pool (MIXED).
func TestQueuedJobsIncludeThoseOfTheEarlierPool(t *testing.T) {
	g := NewWithT(t)
	m := newMovingEntry()
	g.Expect(m.submit(jobID(1))).To(BeTrue())
	m.moveTo("q")
	g.Expect(m.submit(jobID(2))).To(BeTrue())
	g.Expect(m.submit(jobID(3))).To(BeTrue())
	n, err := m.s.QueuedJobs(t.Context(), m.entry)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(n).To(Equal(3))
}

// Guards against a job that a daemon accepts under an older configuration into a pool
// whose holder knows that the entry was sent to another one.
func TestHolderRejectsJobOfAnEntryThatMoved(t *testing.T) {
	g := NewWithT(t)
	m := newMovingEntry()
	sub := joblog.Submission{Spec: spec, Terms: m.entry.Terms(m.version)}
	m.moveTo("q")
	err := responseFor(m.s.submitLocally(t.Context(), &sub)).toError()
	g.Expect(verdict.Of(err)).To(Equal(verdict.NotRun))
	g.Expect(m.s.finallyRejected(err)).To(BeTrue(), "it must not be stored in the intake either")
}

// Guards against a job that runs in two pools (TWICE, review/6): a daemon that wakes hands it
// to the pool of an older configuration, whose entry had another name, while the pool of the
// newer one has it. So it is if the entry has moved back, or has been removed.
func TestJobOfAnOlderConfigurationIsAcceptedNowhere(t *testing.T) {
	for name, move := range map[string]func(*movingEntry){
		"moved and renamed": func(m *movingEntry) { m.moveUnseen("q") },
		"moved twice":       func(m *movingEntry) { m.moveUnseen("q"); m.moveUnseen("r") },
		"moved back":        func(m *movingEntry) { m.moveUnseen("q"); m.submitTo(m.holder, id); m.moveUnseen("p") },
		"removed": func(m *movingEntry) {
			m.version++
			m.holder.opt.Policy.Set(policy.New(m.version, nil, []policy.Pool{{Name: "p"}, {Name: "q"}}, policy.Limits{}))
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			m := newMovingEntry()
			defer m.stop()
			g.Expect(m.submit(jobID(7))).To(BeTrue())
			move(m)
			before := m.poolsWith(id)
			g.Expect(m.submit(id) && before == 0).To(BeFalse(), "its pool has a newer configuration")
			g.Expect(m.pools["p"].jobs).NotTo(HaveKey(id))
			m.pools["p"].down = true
			g.Expect(m.submit(id)).To(BeTrue(), "it is stored in the intake, or was accepted before")
			m.submitTo(m.holder, id)
			m.pools["p"].down = false
			m.readIntake("p")
			g.Expect(m.poolsWith(id)).To(Equal(1), "pools that have the job")
			g.Expect(m.submit(jobID(7))).To(BeTrue(), "the pool has it already")
		})
	}
}

// Guards against a late submission that counts as not accepted elsewhere while the other pool has
// no holder.
func TestNothingIsDecidedWithoutTheOtherPool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := newMovingEntry()
		defer m.stop()
		sub := joblog.Submission{Spec: spec, Terms: m.entry.Terms(m.version)}
		m.moveTo("q")
		m.pools["q"].down = true
		accepted, decided := m.s.AcceptedElsewhere(t.Context(), &sub)
		g.Expect(accepted || decided).To(BeFalse())
		m.pools["q"].down = false
		accepted, decided = m.s.AcceptedElsewhere(t.Context(), &sub)
		g.Expect(!accepted && decided).To(BeTrue())
	})
}

// Guards against answers of a daemon that wakes with an older configuration: a job that a pool
// of a newer one has is unknown to all pools that it asks, and waiting jobs are left out.
func TestOlderConfigurationKnowsNoAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := newMovingEntry()
		defer m.stop()
		g.Expect(m.submit(jobID(7))).To(BeTrue())
		// The pool of the newer configuration is not in the older one.
		m.s.opt.Policy.Set(policy.New(2, []policy.Entry{m.entry}, []policy.Pool{{Name: "p"}}, policy.Limits{}))
		m.version = 2
		m.moveUnseen("q")
		g.Expect(m.submitTo(m.holder, id)).To(BeTrue())
		e, _ := m.entryOf(m.s)
		_, err := m.s.State(t.Context(), e, anyone, id)
		g.Expect(err).To(And(HaveOccurred(), Not(MatchError(ErrUnknownJob))))
		g.Expect(m.s.Cancel(t.Context(), e, anyone, id)).To(MatchError(errOlderConfiguration))
		_, err = m.s.QueuedJobs(t.Context(), e)
		g.Expect(err).To(MatchError(errOlderConfiguration))
		g.Expect(m.s.State(t.Context(), e, anyone, jobID(7))).To(Equal(job.Queued), "what is known is answered")
		time.AfterFunc(100*time.Millisecond, func() { m.apply(m.s) })
		g.Expect(m.s.QueuedJobs(t.Context(), e)).To(Equal(2), "once it has the configuration")
		g.Expect(m.s.State(t.Context(), e, anyone, id)).To(Equal(job.Queued))
		g.Expect(m.s.Cancel(t.Context(), e, anyone, id)).To(Succeed())
		g.Expect(m.pools["q"].jobs).To(HaveKeyWithValue(id, true))
	})
}

// Guards against a cancel that makes a job appear that nobody submitted (MIXED): it was
// stored for a pool that might have had the job.
func TestCancelOfUnknownJobShowsNoJob(t *testing.T) {
	g := NewWithT(t)
	m := newMovingEntry()
	m.pools["p"].down = true
	g.Expect(m.s.Cancel(t.Context(), m.entry, anyone, id)).To(Succeed())
	_, err := joblog.FindPhase(t.Context(), m.log.Client("reader"), "p", id, anyone)
	g.Expect(err).To(MatchError(joblog.ErrNotFound))
}

// Guards against a job that runs in two pools (TWICE), and against a count of waiting jobs
// that leaves out those of the other pool (MIXED): all processes were lost after the entry
// had been sent elsewhere, so that none remembered the pool that had accepted the job.
func TestLossOfAllDaemonsForgetsNoPool(t *testing.T) {
	for name, loss := range map[string]func(*movingEntry){
		"after the move":   func(m *movingEntry) { m.moveTo("q"); m.loseAll() },
		"with the move":    func(m *movingEntry) { m.moveUnseen("q"); m.loseAll() },
		"twice in a row":   func(m *movingEntry) { m.moveTo("q"); m.loseAll(); m.loseAll() },
		"moved on after":   func(m *movingEntry) { m.moveTo("q"); m.loseAll(); m.moveTo("r") },
		"moved on between": func(m *movingEntry) { m.moveTo("q"); m.loseAll(); m.moveUnseen("r"); m.loseAll() },
		"there and back":   func(m *movingEntry) { m.moveTo("q"); m.loseAll(); m.moveTo("p"); m.moveTo("q"); m.loseAll() },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			m := newMovingEntry()
			defer func() { m.stop() }()
			g.Expect(m.submit(id)).To(BeTrue())
			loss(m)
			g.Expect(m.submit(id)).To(BeTrue(), "it was accepted before")
			g.Expect(m.pools[m.entry.Pool].jobs).To(BeEmpty(), "the job is in pool p")
			g.Expect(m.s.QueuedJobs(t.Context(), m.entry)).To(Equal(1))
		})
	}
}

// Guards against a job that runs in two pools (TWICE): this daemon never saw the
// configuration under which another one accepted it.
func TestUnseenConfigurationIsLearnedFromTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := newMovingEntry()
		defer func() { m.stop() }()
		m.moveUnseen("q")
		sub := joblog.Submission{Spec: spec, Terms: m.entry.Terms(m.version)}
		g.Expect(m.s.ensureServed(t.Context(), &sub.Terms)).To(Succeed())
		m.pools["q"].submit(&sub)
		m.moveUnseen("r")
		synctest.Wait()
		m.applyPolicy()
		g.Expect(m.submit(id)).To(BeTrue(), "it was accepted before")
		g.Expect(m.pools["r"].jobs).To(BeEmpty())
	})
}

// Guards against a job that is accepted, or a count that is answered, by a daemon that does
// not know yet which pools served the entry before it started: the log is away.
func TestDaemonWaitsForTheLogToTellOfEarlierPools(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := newMovingEntry()
		defer func() { m.stop() }()
		g.Expect(m.submit(id)).To(BeTrue())
		m.moveTo("q")
		m.log.SetFault(func(logtest.Call) logtest.Fault { return logtest.Fault{Rejected: true} })
		m.loseAll()
		err := m.s.Submit(t.Context(), m.entry, anyone, m.version, spec)
		g.Expect(verdict.Of(err)).To(Equal(verdict.NotRun))
		_, err = m.s.QueuedJobs(t.Context(), m.entry)
		g.Expect(err).To(HaveOccurred())
		m.log.SetFault(nil)
		time.Sleep(time.Second)
		g.Expect(m.submit(id)).To(BeTrue(), "it was accepted before")
		g.Expect(m.pools["q"].jobs).To(BeEmpty())
	})
}

// Guards against a job that is accepted before the log tells of its pool, which a loss of
// all processes would forget: neither the holder nor the intake may take it.
func TestNoJobIsAcceptedBeforeItsPoolIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		m := newMovingEntry()
		defer func() { m.stop() }()
		m.log.SetFault(func(c logtest.Call) logtest.Fault {
			return logtest.Fault{Rejected: c.Op == logtest.Append && c.Partition == servedlog.Partition}
		})
		err := m.s.Submit(t.Context(), m.entry, anyone, m.version, spec)
		g.Expect(verdict.Of(err)).To(Equal(verdict.NotRun))
		g.Expect(m.pools["p"].jobs).To(BeEmpty())
		m.readIntake("p")
		g.Expect(m.pools["p"].jobs).To(BeEmpty())
	})
}

// TestOneJobWhereverItsEntryMoves moves an entry between pools at random while jobs are
// submitted, again too, and cancelled, holders do not answer, the daemon misses
// configurations, accepts jobs by an older one, the log takes nothing for a pool, whose holder then
// has jobs that it may forget, and all processes are lost. Every accepted job must be in one
// pool, and cancelled wherever it is once its cancel was acknowledged.
func TestOneJobWhereverItsEntryMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { rapid.Check(withoutDeadline{t}, checkMovingEntry) })
}

// withoutDeadline hides the deadline of a test, which a bubble does not have.
type withoutDeadline struct{ rapid.TB }

func checkMovingEntry(rt *rapid.T) {
	g := NewWithT(rt)
	m := newMovingEntry()
	defer func() { m.stop() }()
	accepted, cancelled := map[job.ID]bool{}, map[job.ID]bool{}
	drawJob := func() job.ID { return jobID(rapid.IntRange(1, 4).Draw(rt, "job")) }
	drawDaemon := func() *Service {
		return map[bool]*Service{true: m.holder, false: m.s}[rapid.Bool().Draw(rt, "holder's daemon")]
	}
	for range rapid.IntRange(3, 12).Draw(rt, "steps") {
		switch rapid.IntRange(0, 8).Draw(rt, "step") {
		case 0:
			m.moveTo(rapid.SampledFrom(movePools).Draw(rt, "pool"))
		case 1:
			id := drawJob()
			accepted[id] = m.submitTo(drawDaemon(), id) || accepted[id]
		case 2:
			id := drawJob()
			s := drawDaemon()
			e, _ := m.entryOf(s)
			ok := s.Cancel(context.Background(), e, anyone, id) == nil
			cancelled[id] = cancelled[id] || ok && accepted[id]
		case 3:
			name := rapid.SampledFrom(movePools).Draw(rt, "holder")
			p := m.pools[name]
			if p.down = !p.down; !p.down {
				m.readIntake(name)
			}
		case 4:
			m.loseAll()
		case 5:
			m.moveUnseen(rapid.SampledFrom(movePools).Draw(rt, "unseen"))
		case 6:
			synctest.Wait()
			m.applyPolicy()
		case 7:
			// Only the pool that serves the entry gets submissions.
			m.pools[m.entry.Pool].logAway = true
		case 8:
			returns := rapid.Bool().Draw(rt, "log returns")
			for _, p := range m.pools {
				if returns {
					p.logReturns()
				}
				clear(p.unstored)
			}
		}
	}
	for _, name := range movePools {
		m.pools[name].logReturns()
	}
	// A submission may wait until another pool has decided about one of its own.
	for range movePools {
		for _, name := range movePools {
			m.readIntake(name)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(accepted)) {
		var in []string
		for _, name := range movePools {
			if isCancelled, known := m.pools[name].jobs[id]; known {
				in = append(in, name)
				g.Expect(isCancelled || !cancelled[id]).To(BeTrue(), "job %s was cancelled and goes on in pool %s", id, name)
			}
		}
		if accepted[id] {
			g.Expect(in).To(HaveLen(1), "pools of job %s", id)
		}
	}
}
