package scheduler_test

import (
	"bytes"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/job"
	"greengagedeck/internal/scheduler"
	"greengagedeck/internal/verdict"
	"greengagedeck/internal/worker"
)

const (
	msgRestarted   = "worker restarted"
	msgReached     = "worker reached"
	msgStartSent   = "start sent to a young worker"
	msgUnanswered  = "start got no answer"
	msgStrayAnswer = "another incarnation of the worker answered an order"
	msgStrayPoll   = "poll with a lease was meant for an earlier incarnation"
	msgFenced      = "worker rejected an order as fenced"
)

// newLoggedPool returns a pool of one worker with a job of one task, and the lines of its core.
func newLoggedPool(t *testing.T) (*crashPool, *bytes.Buffer) {
	p := newCrashPool(t)
	log := &bytes.Buffer{}
	scheduler.LogTo(p.core, zerolog.New(log))
	return p, log
}

// onlyLine returns the only line of a log that has a message.
func onlyLine(g *WithT, log *bytes.Buffer, msg string) map[string]any {
	lines := linesWith(g, log, msg)
	g.Expect(lines).To(HaveLen(1), msg)
	return lines[0]
}

// haveNumber matches a line that has a field with a number.
func haveNumber(key string, n int64) OmegaMatcher {
	return HaveKeyWithValue(key, BeNumerically("==", n))
}

// counted returns the value of a counter.
func counted(scope tally.TestScope, name string) int64 {
	if c := scope.Snapshot().Counters()[name]; c != nil {
		return c.Value()
	}
	return 0
}

// After a task ran twice at a worker that had restarted, no line told which incarnation was
// reached when, nor what the holder had expected there.
func TestReachingRestartedWorkerIsLogged(t *testing.T) {
	p, log := newLoggedPool(t)
	w := p.awaitStart()
	first := onlyLine(p.g, log, msgReached)
	p.g.Expect(first).To(And(HaveKeyWithValue("restarted", false), HaveKeyWithValue("again", false), haveNumber("born", 1)))

	log.Reset()
	stray := job.RunID{Task: job.TaskID{Job: "00000000000000dd"}, Number: 1}
	w.runs = []job.RunID{stray}
	p.wait(time.Second)
	p.restart(w)
	w.listing.Clock = 7
	p.list()
	p.g.Expect(onlyLine(p.g, log, msgRestarted)).To(And(
		haveNumber("before", 1), haveNumber("born", 2), haveNumber("clock", 7), haveNumber("runs", 1),
		haveNumber("unaccounted_starts", 0), haveNumber("unanswered_calls", 0), HaveKeyWithValue("was_reached", true)))

	p.wait(3 * time.Second)
	p.pollWorkers()
	p.g.Expect(onlyLine(p.g, log, msgReached)).To(And(
		HaveKeyWithValue("restarted", true), HaveKeyWithValue("again", false), haveNumber("born", 2), haveNumber("clock", p.clock(w)),
		haveNumber("after", 3000), haveNumber("runs_missing", 1), haveNumber("runs_unexpected", 1), haveNumber("runs_found", 0)))

	scope := tally.NewTestScope("", nil)
	scheduler.RecordIncarnations(p.core, p.now, scope)
	p.g.Expect(counted(scope, "workers_restarted+")).To(BeEquivalentTo(1))
	p.g.Expect(counted(scope, "workers_reached+")).To(BeEquivalentTo(1), "the earlier one was counted with an earlier plan")
}

// No line told by which incarnation's clock a start without an answer had named the lease.
func TestLeaseOfUnansweredStartIsLogged(t *testing.T) {
	p, log := newLoggedPool(t)
	o, w, ok := p.awaitOrder()
	p.g.Expect(ok).To(BeTrue())
	named := And(haveNumber("born", 1), haveNumber("token", p.token), haveNumber("lease_until", o.Order.LeaseUntil),
		HaveKey("clock_read"), HaveKey("reading_age"))
	p.g.Expect(onlyLine(p.g, log, msgStartSent)).To(named)
	p.wait(time.Second)
	p.core.StartAnswered(o, 0, verdict.NewMayHaveRun(verdict.ReasonTimeout, "no answer"), p.now)
	p.g.Expect(onlyLine(p.g, log, msgUnanswered)).To(And(named, haveNumber("sent_ago", 1000)))
	p.restart(w)
	p.list()
	p.g.Expect(onlyLine(p.g, log, msgRestarted)).To(haveNumber("unaccounted_starts", 1))
}

// The volume of lines on starts is bounded: none is written for an incarnation that no order to
// the one before can reach any more.
func TestStartToOldWorkerIsNotLogged(t *testing.T) {
	p, log := newLoggedPool(t)
	p.wait(time.Minute)
	_, _, ok := p.awaitOrder()
	p.g.Expect(ok).To(BeTrue())
	p.g.Expect(linesWith(p.g, log, msgStartSent)).To(BeEmpty())
}

// No line told that the next incarnation had carried a start out.
func TestAnswerOfAnotherIncarnationIsLogged(t *testing.T) {
	p, log := newLoggedPool(t)
	p.wait(10 * time.Second)
	o, w, ok := p.awaitOrder()
	p.g.Expect(ok).To(BeTrue())
	p.core.StartAnswered(o, 1, nil, p.now)
	p.g.Expect(onlyLine(p.g, log, msgStrayAnswer)).To(And(
		HaveKeyWithValue("order", "start"), HaveKeyWithValue("task", o.Order.Run.Task.String()), haveNumber("clock", 1),
		haveNumber("born", 1), HaveKeyWithValue("clock_read", BeNumerically(">", 1))))
	log.Reset()
	w.runs = []job.RunID{o.Order.Run}
	p.pollWorkers()
	p.g.Expect(onlyLine(p.g, log, msgReached)).To(And(HaveKeyWithValue("again", true), haveNumber("runs_found", 1)))

	scope := tally.NewTestScope("", nil)
	scheduler.RecordIncarnations(p.core, p.now, scope)
	p.g.Expect(counted(scope, "answers_of_other_incarnations+")).To(BeEquivalentTo(1))
	p.g.Expect(counted(scope, "workers_reached_again+")).To(BeEquivalentTo(1))
}

// No line told that a poll with a lease may have reached the next incarnation.
func TestPollMeantForEarlierIncarnationIsLogged(t *testing.T) {
	p, log := newLoggedPool(t)
	w := p.awaitStart()
	p.wait(time.Second)
	p.pollWorkers()
	poll := p.core.Poll("a", p.now.Now, time.Second)
	p.g.Expect(poll.Request.LeaseUntil).NotTo(BeZero())
	p.restart(w)
	p.list()
	p.g.Expect(onlyLine(p.g, log, msgRestarted)).To(HaveKeyWithValue("lease_poll_in_flight", true))
	p.wait(time.Second)
	p.core.PollFailed(poll, verdict.NewMayHaveRun(verdict.ReasonTimeout, "no answer"), p.now)
	p.g.Expect(onlyLine(p.g, log, msgStrayPoll)).To(And(
		haveNumber("before", 1), haveNumber("born", 2), haveNumber("lease_until", poll.Request.LeaseUntil), haveNumber("sent_ago", 1000)))
}

// No line told of a poll with a lease that had got no answer when the restart was found: the next
// incarnation may still carry it out.
func TestUnansweredLeasePollIsLoggedWithRestart(t *testing.T) {
	p, log := newLoggedPool(t)
	w := p.awaitStart()
	// No lease of an earlier holder is left.
	p.wait(time.Minute)
	p.pollWorkers()
	poll := p.core.Poll("a", p.now.Now, time.Second)
	p.g.Expect(poll.Request.LeaseUntil).NotTo(BeZero())
	p.wait(time.Second)
	p.core.PollFailed(poll, verdict.NewMayHaveRun(verdict.ReasonTimeout, "no answer"), p.now)
	p.wait(time.Second)
	p.restart(w)
	p.list()
	p.g.Expect(onlyLine(p.g, log, msgRestarted)).To(And(
		haveNumber("lease_poll_unanswered", 2000), HaveKeyWithValue("lease_poll_in_flight", false), haveNumber("unanswered_calls", 1),
		haveNumber("prior_lease_remaining", 0)))
}

// A line with "fenced" told neither which order it was nor its token and age.
func TestOrderRejectedAsFencedIsLogged(t *testing.T) {
	fenced := &worker.RejectedError{Reason: worker.ReasonFenced, Clock: 9}
	for _, kind := range []string{"start", "stop", "poll"} {
		t.Run(kind, func(t *testing.T) {
			p, log := newLoggedPool(t)
			if kind == "start" {
				o, _, ok := p.awaitOrder()
				p.g.Expect(ok).To(BeTrue())
				p.wait(time.Second)
				p.core.StartAnswered(o, 0, fenced, p.now)
			} else {
				p.awaitStart()
			}
			switch kind {
			case "stop":
				// A run that is not in the log is stopped.
				p.worker("a").runs = append(p.worker("a").runs, job.RunID{Task: job.TaskID{Job: "00000000000000dd"}, Number: 1})
				p.pollWorkers()
				stops := p.core.StopOrders()
				p.g.Expect(stops).To(HaveLen(1))
				p.core.StopAnswered(stops[0], 0, fenced, p.now)
			case "poll":
				poll := p.core.Poll("a", p.now.Now, time.Second)
				p.wait(time.Second)
				p.core.PollFailed(poll, fenced, p.now)
			}
			line := onlyLine(p.g, log, msgFenced)
			p.g.Expect(line).To(And(HaveKeyWithValue("order", kind), HaveKeyWithValue("worker", "a"), haveNumber("token", p.token),
				haveNumber("highest_token_sent", p.token), HaveKeyWithValue("own", false), haveNumber("clock", 9)))
			if kind != "stop" {
				// The runner knows when it sent a stop.
				p.g.Expect(line).To(haveNumber("sent_ago", 1000))
			}
		})
	}
	scope := tally.NewTestScope("", nil)
	scheduler.CountStopAnswer(scope, fenced)
	scheduler.CountStopAnswer(scope, &worker.RejectedError{Reason: worker.ReasonUnhealthy})
	NewWithT(t).Expect(counted(scope, "scheduler.orders_fenced+order=stop")).To(BeEquivalentTo(1))
}
