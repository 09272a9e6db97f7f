package scheduler

import (
	"time"

	"github.com/rotisserie/eris"

	"greengagedeck/internal/job"
	"greengagedeck/internal/worker"
)

// errTokensUsedUp means that a worker has restarted as often as this holder has tokens.
var errTokensUsedUp = eris.New("a worker has restarted too often for the tokens of this holder")

// orderTokens are the tokens of a holder's orders.
//
// A worker that has restarted under its ID has forgotten every token, and orders to its earlier
// incarnations may reach it late. Orders to it carry a higher token than those had, so that none
// of them counts any more once it has been reached.
type orderTokens struct {
	// first is the token under which the pool is held, and count how many consecutive ones
	// from it on are this holder's alone.
	first int64
	count int
	// raised is how many tokens after the first the orders to a worker carry, by its ID. A
	// worker that is forgotten and listed again keeps it: its incarnation may be the same.
	raised map[string]int
	// forgotten are the workers to which orders were sent and that were forgotten a short time
	// ago, by ID.
	forgotten map[string]forgottenWorker
	// rememberFor is how long they are kept.
	rememberFor time.Duration
	// usedUp is set once there was no higher token for a worker.
	usedUp bool
}

func newOrderTokens(opt Options, longestLease time.Duration) orderTokens {
	return orderTokens{
		first: opt.Token, count: max(1, opt.Tokens), rememberFor: worker.MaxOrderDelay + longestLease,
		raised: map[string]int{}, forgotten: map[string]forgottenWorker{},
	}
}

// of returns the token of orders to a worker.
func (o *orderTokens) of(id string) int64 { return o.first + int64(o.raised[id]) }

// rise reports whether orders to a restarted worker carry a higher token than before.
func (o *orderTokens) rise() bool { return o.count > 1 }

// restarted raises the token of orders to a worker whose incarnation has ended, unless no order
// was sent to it that the next one must not carry out.
func (o *orderTokens) restarted(ws *worker.State) {
	if ws.Ordered {
		o.raise(ws.Incarnation.ID)
	}
}

// raise raises the token of orders to a worker, if this holder has a higher one.
func (o *orderTokens) raise(id string) {
	if !o.rise() {
		return
	}
	if o.raised[id]+1 >= o.count {
		o.usedUp = true
		return
	}
	o.raised[id]++
}

// forgottenWorker is what is kept of a worker that was forgotten at a moment: it had left the list
// and had no run.
type forgottenWorker struct {
	incarnation job.Incarnation
	ordered     bool
	restartedAt time.Duration
	at          time.Duration
}

// forget records that a worker is not tracked any more. It is remembered for as long as an order to
// it may be carried out, and a lease lasts that the order names.
func (o *orderTokens) forget(ws *worker.State, now time.Duration) {
	for id, f := range o.forgotten {
		if now > f.at+o.rememberFor {
			delete(o.forgotten, id)
		}
	}
	if ws.Ordered || ws.RestartedAt > 0 {
		o.forgotten[ws.Incarnation.ID] = forgottenWorker{ws.Incarnation, ws.Ordered, ws.RestartedAt, now}
	}
}

// listedAgain applies what is kept of a worker that was forgotten to its new state. If it has
// restarted since, the token of orders to it is raised.
func (o *orderTokens) listedAgain(ws *worker.State, now time.Duration) {
	f, ok := o.forgotten[ws.Incarnation.ID]
	delete(o.forgotten, ws.Incarnation.ID)
	switch {
	case !ok || now > f.at+o.rememberFor:
	case f.incarnation == ws.Incarnation:
		ws.Ordered, ws.RestartedAt = f.ordered, f.restartedAt
	default:
		ws.RestartedAt = now
		if f.ordered {
			o.raise(ws.Incarnation.ID)
		}
	}
}

// checkFenced reports whether a rejection of an order to a worker says that the worker has seen
// a higher token. If it is not this holder's own, another daemon holds the pool, and from then on
// this Core decides nothing.
func (c *Core) checkFenced(rejection *worker.RejectedError, id string, token int64) bool {
	if rejection.Reason != worker.ReasonFenced {
		return false
	}
	if !c.fenced && token >= c.tokens.of(id) {
		c.fenced = true
		c.opt.Logger.Warn().Int64("token", c.opt.Token).Int64("order_token", token).Str("worker", id).Msg("a worker has seen the token of a newer holder, this daemon stops scheduling the pool")
	}
	return true
}
