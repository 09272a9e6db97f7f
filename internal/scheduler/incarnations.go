package scheduler

import (
	"errors"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/job"
	"greengagedeck/internal/worker"
)

// youngIncarnation is the age up to which an incarnation of a worker counts as young: orders that
// were sent to the one before it may still reach it.
const youngIncarnation = 30 * time.Second

// Messages of lines of which there are many after a takeover.
const (
	msgReached   = "worker reached"
	msgStartSent = "start sent to a young worker"
)

// incarnationCounts count since the last plan.
type incarnationCounts struct {
	// restarted counts the incarnations that were found in place of another one.
	restarted int64
	// reachedFirst counts the first answers of incarnations to polls of this holder, and
	// reachedAgain those after another incarnation had seemed to answer.
	reachedFirst, reachedAgain int64
	// strayAnswers counts the answers to orders that another incarnation gave than the one that
	// was meant.
	strayAnswers int64
	// strayPolls counts the polls with a lease that ended after their incarnation.
	strayPolls int64
}

// take returns the counts since the last call.
func (n *incarnationCounts) take() incarnationCounts {
	out := *n
	*n = incarnationCounts{}
	return out
}

// incarnationCounters count what is learnt of the incarnations of workers.
type incarnationCounters struct {
	restarted, reachedFirst, reachedAgain tally.Counter
	strayAnswers, strayPolls              tally.Counter
}

func newIncarnationCounters(scope tally.Scope) incarnationCounters {
	return incarnationCounters{
		restarted:    scope.Counter("workers_restarted"),
		reachedFirst: scope.Counter("workers_reached"),
		reachedAgain: scope.Counter("workers_reached_again"),
		strayAnswers: scope.Counter("answers_of_other_incarnations"),
		strayPolls:   scope.Counter("polls_of_earlier_incarnations"),
	}
}

// record adds counts.
func (m incarnationCounters) record(n incarnationCounts) {
	m.restarted.Inc(n.restarted)
	m.reachedFirst.Inc(n.reachedFirst)
	m.reachedAgain.Inc(n.reachedAgain)
	m.strayAnswers.Inc(n.strayAnswers)
	m.strayPolls.Inc(n.strayPolls)
}

// noteRestarted logs that another incarnation of a worker was found, before it replaces the
// known one.
func (c *Core) noteRestarted(ws *worker.State, l worker.Listing, now time.Duration) {
	c.incarnations.restarted++
	e := c.opt.Logger.Info()
	if ws.LeasePollUnansweredAt > 0 {
		e.Dur("lease_poll_unanswered", now-ws.LeasePollUnansweredAt)
	}
	e.Str("worker", l.Incarnation.ID).Int64("born", l.Incarnation.StartedAt).Int64("before", ws.Incarnation.StartedAt).
		Int64("clock", l.Clock).Int("runs", len(ws.Runs)).Int("unanswered_calls", ws.UnansweredCalls).
		Int("unaccounted_starts", ws.UnaccountedStarts()).Bool("lease_poll_in_flight", ws.LeasePollInFlight()).
		Bool("was_reached", ws.Fenced).Dur("prior_lease_remaining", ws.PriorLeaseRemaining(now)).Msg("worker restarted")
}

// noteReached logs the first answer of an incarnation to a poll of this holder, before it is
// applied. After an order that another incarnation seems to have answered, the next answer to
// a poll counts as reaching the worker again.
func (c *Core) noteReached(ws *worker.State, report worker.Report, now time.Duration) {
	again := ws.FencedAt > 0
	if again {
		c.incarnations.reachedAgain++
	} else {
		c.incarnations.reachedFirst++
	}
	if !c.admits(msgReached) {
		return
	}
	n := compareRunLists(ws, report)
	c.opt.Logger.Info().Str("worker", ws.Incarnation.ID).Int64("born", ws.Incarnation.StartedAt).Int64("clock", report.Clock).
		Bool("restarted", ws.RestartedAt > 0).Bool("again", again).Dur("after", now-ws.KnownSince).
		Int64("token", c.tokens.of(ws.Incarnation.ID)).Dur("prior_lease_remaining", ws.PriorLeaseRemaining(now)).
		Int("runs_found", n.found).Int("runs_unexpected", n.unexpected).Int("runs_missing", n.missing).
		Int("ends", len(report.Ended)).Bool("partial", report.Partial).Msg(msgReached)
}

// runListDifference counts how the runs that a worker lists differ from those that its holder
// expects there.
type runListDifference struct {
	// found are active and expected, unexpected are active only. missing are expected, and
	// listed neither as active nor as ended.
	found, unexpected, missing int
}

func compareRunLists(ws *worker.State, report worker.Report) runListDifference {
	var n runListDifference
	listed := map[job.RunID]bool{}
	for _, row := range report.Running {
		listed[row.Run] = true
		if ws.Runs[row.Run] != nil {
			n.found++
		} else {
			n.unexpected++
		}
	}
	for _, e := range report.Ended {
		listed[e.Run] = true
	}
	for _, r := range ws.Runs {
		if r.State != worker.RunPlanned && !listed[r.ID] {
			n.missing++
		}
	}
	return n
}

// noteStrayPoll records that a poll with a lease has ended, with or without an answer, after
// its worker's incarnation was replaced.
func (c *Core) noteStrayPoll(p Poll, ws *worker.State, now time.Duration) {
	c.incarnations.strayPolls++
	c.opt.Logger.Info().Str("worker", p.Worker).Int64("born", ws.Incarnation.StartedAt).Int64("before", p.startedAt).
		Int64("lease_until", p.Request.LeaseUntil).Dur("sent_ago", now-p.Sent).Msg("poll with a lease was meant for an earlier incarnation")
}

// sentOrder is an order to a worker, for the log.
type sentOrder struct {
	kind  string
	run   job.RunID
	token int64
	// sentAt is when the order was sent, or 0 if that is not known.
	sentAt time.Duration
}

// The kinds of orders.
const (
	kindStart = "start"
	kindStop  = "stop"
	kindPoll  = "poll"
	kindSpeed = "speed"
)

// describe adds the order to a line.
func (o sentOrder) describe(e *zerolog.Event, now time.Duration) *zerolog.Event {
	e.Str("order", o.kind).Int64("token", o.token)
	if o.sentAt > 0 {
		e.Dur("sent_ago", now-o.sentAt)
	}
	if o.kind != kindPoll {
		e.Stringer("task", o.run.Task).Int("run", o.run.Number)
	}
	return e
}

// noteStrayAnswer logs an answer to an order whose clock does not fit the last reading: another
// incarnation has answered.
func (c *Core) noteStrayAnswer(ws *worker.State, o sentOrder, clock int64, now time.Duration) {
	c.incarnations.strayAnswers++
	read := ws.LastReading()
	o.describe(c.opt.Logger.Warn(), now).Str("worker", ws.Incarnation.ID).Int64("born", ws.Incarnation.StartedAt).Int64("clock", clock).
		Int64("clock_read", read.Clock).Dur("reading_age", now-read.At).Msg("another incarnation of the worker answered an order")
}

// checkOrderFenced is like checkFenced, and logs which order it was.
func (c *Core) checkOrderFenced(ws *worker.State, o sentOrder, rejection *worker.RejectedError, now time.Duration) bool {
	if rejection.Reason == worker.ReasonFenced {
		c.noteFenced(ws, o, rejection.Clock, now)
	}
	return c.checkFenced(rejection, ws.Incarnation.ID, o.token)
}

// noteFenced logs that a worker has rejected an order since it has seen a higher token. It may be
// one of this holder, if that has sent the worker a higher token than the order's.
func (c *Core) noteFenced(ws *worker.State, o sentOrder, clock int64, now time.Duration) {
	highest := c.tokens.of(ws.Incarnation.ID)
	o.describe(c.opt.Logger.Warn(), now).Str("worker", ws.Incarnation.ID).Int64("born", ws.Incarnation.StartedAt).Int64("clock", clock).
		Int64("highest_token_sent", highest).Bool("own", highest > o.token).Bool("was_reached", ws.Fenced).
		Msg("worker rejected an order as fenced")
}

// describeLease adds to a line which incarnation an order names a lease to and by which reading of
// its clock.
func (s *StartOrder) describeLease(e *zerolog.Event) *zerolog.Event {
	return e.Int64("born", s.startedAt).Int64("token", s.Order.Token).Int64("lease_until", s.Order.LeaseUntil).
		Int64("clock_read", s.reading.Clock).Dur("reading_age", s.sentAt-s.reading.At)
}

// noteStartSent logs a start that is sent to a young incarnation.
func (c *Core) noteStartSent(s *StartOrder) {
	age := time.Duration(s.reading.Clock)*time.Millisecond + s.sentAt - s.reading.At
	if age > youngIncarnation || !c.admits(msgStartSent) {
		return
	}
	s.describeLease(c.opt.Logger.Info()).Stringer("task", s.Order.Run.Task).Int("run", s.Order.Run.Number).Str("worker", s.Worker).Msg(msgStartSent)
}

// fencedCounters count orders that workers rejected as fenced, by kind of order.
type fencedCounters map[string]tally.Counter

func newFencedCounters(scope tally.Scope) fencedCounters {
	out := fencedCounters{}
	for _, kind := range []string{kindStart, kindStop, kindPoll, kindSpeed} {
		out[kind] = scope.Tagged(map[string]string{"order": kind}).Counter("orders_fenced")
	}
	return out
}

// answered counts the order if its answer is that it was fenced.
func (m fencedCounters) answered(kind string, err error) {
	var rejection *worker.RejectedError
	if errors.As(err, &rejection) && rejection.Reason == worker.ReasonFenced {
		m[kind].Inc(1)
	}
}
