package fleet

import (
	"context"
	"errors"
	"time"

	"greengagedeck/internal/verdict"
)

// retry repeats the orders whose outcome is unknown: what was carried out
// before is not done again.
func (s *session) retry(ctx context.Context) {
	s.mu.Lock()
	var again []Action
	for m, a := range s.pending {
		if !s.underway[m] {
			again = append(again, a)
		}
	}
	s.mu.Unlock()
	for _, a := range again {
		s.send(ctx, a)
	}
}

// carryOut does what was decided. It reports whether a worker was closed.
func (s *session) carryOut(ctx context.Context, a Action) bool {
	switch a.Kind {
	case Close, Open:
		o := CloseOrder{Pool: a.Pool, Token: s.order.Token, Worker: a.Worker, Open: a.Kind == Open, Reason: a.Reason, Evacuate: a.Evacuate}
		err := s.opt.Pools.Close(ctx, o)
		s.metrics.closed(a.Kind, err)
		if err != nil {
			s.opt.Logger.Info().Err(err).Str("worker", a.Worker).Str("pool", a.Pool).Str("reason", a.Reason).Msg("worker not closed")
		}
		return err == nil && a.Kind == Close
	default:
		s.send(ctx, a)
		return false
	}
}

// send orders a move or a maintenance in the background.
func (s *session) send(ctx context.Context, a Action) {
	s.mu.Lock()
	if s.underway[a.Machine] {
		s.mu.Unlock()
		return
	}
	s.underway[a.Machine] = true
	s.mu.Unlock()
	s.orders.Go(func() {
		s.slots <- struct{}{}
		defer func() { <-s.slots }()
		err := s.call(ctx, a)
		s.answered(a, err)
	})
}

// errLeaseShort means that too little is left of the duty's lease.
var errLeaseShort = verdict.NewNotRun(verdict.ReasonNotReady, "too little is left of the duty's lease")

func (s *session) call(ctx context.Context, a Action) error {
	if ctx.Err() != nil || s.lease.Remaining() < orderMargin {
		return errLeaseShort
	}
	if a.Kind == Maintain {
		return s.opt.Cloud.Upkeep(ctx, s.order, a.Machine, a.Wave)
	}
	return s.opt.Cloud.Move(ctx, s.order, a.Machine, a.To)
}

// answered notes what became of an order.
func (s *session) answered(a Action, err error) {
	s.metrics.ordered(a.Kind, err)
	now := s.opt.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.underway, a.Machine)
	if !errors.Is(err, errLeaseShort) {
		s.ordered[a.Machine] = now
	}
	line := s.opt.Logger.Info()
	if err != nil {
		line = s.opt.Logger.Warn().Err(err)
	}
	line.Str("machine", a.Machine).Str("worker", a.Worker).Str("pool", a.Pool).Str("to", a.To).Int("wave", a.Wave).Str("reason", a.Reason).Msg(orderNames[a.Kind])
	var refusal *Refusal
	switch {
	case err == nil:
		delete(s.pending, a.Machine)
		s.done(a, now)
	case errors.As(err, &refusal) || verdict.Of(err) == verdict.NotRun:
		if _, doubt := s.pending[a.Machine]; !doubt || errors.As(err, &refusal) {
			delete(s.pending, a.Machine)
			s.paused[a.Machine] = now + refusedPause
		}
	default:
		s.pending[a.Machine] = a
	}
	s.hosts.stale = true
}

var orderNames = map[Kind]string{Move: "host moved", Maintain: "host maintained"}

// done notes an order that was carried out, ahead of the next list.
func (s *session) done(a Action, now time.Duration) {
	s.hosts.change(a.Machine, now, func(m *Machine) {
		m.Worker = ""
		if a.Kind == Maintain {
			m.State = Upkeep
			return
		}
		m.State = Moving
		m.Pool = a.To
	})
	if st := s.states[a.Wave]; a.Kind == Maintain && st != nil {
		st.begun[a.Machine] = true
	}
}
