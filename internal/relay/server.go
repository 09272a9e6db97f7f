package relay

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"greengagedeck/internal/clock"
	"greengagedeck/internal/peer"
	"greengagedeck/internal/record"
	"greengagedeck/internal/verdict"
	"greengagedeck/internal/worker"
)

const (
	// maxInFlight bounds the orders that a relay carries out at once. A poll is in
	// flight until its worker answers.
	maxInFlight = 4096
	// maxCollectWait bounds how long a relay delays its response.
	maxCollectWait = time.Second
	// gatherTime is how long a response with answers waits for more of them.
	gatherTime = 5 * time.Millisecond
	// maxSenders bounds the daemons of which the server keeps anything.
	maxSenders = 1024
	// maxAnswers bounds the answers in one response.
	maxAnswers = 512
	// sessionIdle is how long a session is kept that is not asked for answers.
	sessionIdle = 5 * time.Second
	// maxOrderAge is how much longer than the fastest one a message with orders may have
	// been under way: its sender has given up on older ones, and may have repeated them.
	maxOrderAge = 500 * time.Millisecond
)

// Server carries out the orders of other daemons.
type Server struct {
	control worker.Control
	clock   clock.Clock
	metrics serverMetrics
	slots   chan struct{}

	mu       sync.Mutex
	sessions map[sessionKey]*outbox
	// leads is, by daemon, the least difference between this host's clock when a message of
	// it arrived and its own when it was sent.
	leads map[string]time.Duration
}

// sessionKey identifies a session by the daemon that opened it and its number.
type sessionKey struct {
	from   string
	number uint64
}

// outbox holds the answers that a session has not collected yet.
type outbox struct {
	// arrived is signalled when there is an answer.
	arrived chan struct{}
	// collectedAt is when the session last asked for answers or handed in orders.
	collectedAt time.Duration

	mu      sync.Mutex
	answers []answer
}

// NewServer returns a server that carries out orders by control.
func NewServer(control worker.Control, o Options) *Server {
	return &Server{
		control:  control,
		clock:    o.Clock,
		metrics:  newServerMetrics(o.Scope),
		slots:    make(chan struct{}, maxInFlight),
		sessions: map[sessionKey]*outbox{},
		leads:    map[string]time.Duration{},
	}
}

// Register registers the handlers for requests of other daemons.
func (s *Server) Register(m peer.Mux) {
	m.Handle(MethodOrders, func(ctx context.Context, from string, body cbor.RawMessage) (any, error) {
		var msg ordersMessage
		if err := record.Decode(body, &msg); err != nil {
			return nil, err
		}
		out := s.outbox(sessionKey{from, msg.Session})
		if age := s.age(from, msg.SentAt); age > maxOrderAge {
			s.reject(out, msg, age)
		} else {
			s.accept(context.WithoutCancel(ctx), out, msg)
		}
		return nil, nil
	})
	m.Handle(MethodCollect, func(ctx context.Context, from string, body cbor.RawMessage) (any, error) {
		var req collectRequest
		if err := record.Decode(body, &req); err != nil {
			return nil, err
		}
		return s.outbox(sessionKey{from, req.Session}).collect(ctx, req.Wait), nil
	})
}

// outbox returns the outbox of a session, and forgets the sessions that have ended.
func (s *Server) outbox(k sessionKey) *outbox {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for other, o := range s.sessions {
		if now-o.collectedAt > sessionIdle {
			delete(s.sessions, other)
		}
	}
	o := s.sessions[k]
	if o == nil {
		o = &outbox{arrived: make(chan struct{}, 1)}
		s.sessions[k] = o
	}
	o.collectedAt = now
	return o
}

// age returns how much longer than the fastest one a message of a daemon has been under
// way, for example because this process was paused.
func (s *Server) age(from string, sentAt time.Duration) time.Duration {
	lead := s.clock.Now() - sentAt
	s.mu.Lock()
	defer s.mu.Unlock()
	least, known := s.leads[from]
	if !known && len(s.leads) >= maxSenders {
		clear(s.leads)
	}
	if !known || lead < least {
		s.leads[from] = lead
		return 0
	}
	return lead - least
}

// reject answers the orders of a message that is too old to be carried out.
func (s *Server) reject(out *outbox, msg ordersMessage, age time.Duration) {
	s.metrics.rejected.Inc(int64(len(msg.Orders)))
	for i := range msg.Orders {
		out.add(msg.Orders[i].decline(verdict.NewNotRun(verdict.ReasonDeadline, "the order was under way for %v", age)))
	}
}

// accept starts to carry out the orders of a message.
func (s *Server) accept(ctx context.Context, out *outbox, msg ordersMessage) {
	s.metrics.orders.Inc(int64(len(msg.Orders)))
	for _, o := range msg.Orders {
		payload, err := msg.payloadOf(&o)
		if err != nil {
			out.add(o.decline(err))
			continue
		}
		select {
		case s.slots <- struct{}{}:
		default:
			s.metrics.rejected.Inc(1)
			out.add(o.decline(verdict.NewNotRun(verdict.ReasonQueueFull, "the relay carries out %d orders", maxInFlight)))
			continue
		}
		go func() {
			defer func() { <-s.slots }()
			out.add(s.carryOut(ctx, &o, payload))
		}()
	}
}

// payloadOf returns the payload of a start, and "" for any other order.
func (m *ordersMessage) payloadOf(o *order) (string, *verdict.Error) {
	if o.Kind != kindStart {
		return "", nil
	}
	if o.Payload < 0 || o.Payload >= len(m.Payloads) {
		return "", verdict.NewNotRun(verdict.ReasonBadRequest, "no payload %d", o.Payload)
	}
	return m.Payloads[o.Payload], nil
}

// decline returns the answer to an order that is not sent to its worker.
func (o *order) decline(err *verdict.Error) answer {
	return answer{Number: o.Number, Outcome: outcomeDeclined, Reason: string(err.Reason), Detail: err.Detail}
}

// carryOut sends one order to its worker and returns the answer.
func (s *Server) carryOut(ctx context.Context, o *order, payload string) answer {
	a := answer{Number: o.Number}
	var err error
	switch o.Kind {
	case kindStart:
		a.Clock, err = s.control.Start(ctx, o.target(), o.start(payload))
	case kindStop:
		a.Clock, err = s.control.Stop(ctx, o.target(), o.Run.decode(), o.Token)
	case kindSpeed:
		err = s.control.SetSpeed(ctx, o.target(), o.Run.decode(), o.Percent, o.Token)
	case kindPoll:
		var r worker.Report
		r, err = s.control.Poll(ctx, o.target(), o.poll())
		a.setReport(r)
	default:
		return o.decline(verdict.NewNotRun(verdict.ReasonBadRequest, "unknown order %d", o.Kind))
	}
	a.setError(err)
	return a
}

// start returns the order as a worker.StartOrder.
func (o *order) start(payload string) worker.StartOrder {
	return worker.StartOrder{
		Run: o.Run.decode(), Payload: payload, LeaseUntil: o.LeaseUntil, Token: o.Token, Checkpoint: o.Checkpoint, Ticket: o.Ticket,
	}
}

// poll returns the order as a worker.PollRequest.
func (o *order) poll() worker.PollRequest {
	return worker.PollRequest{Token: o.Token, Acknowledged: o.Acknowledged, LeaseUntil: o.LeaseUntil, Wait: o.Wait}
}

// add adds an answer.
func (o *outbox) add(a answer) {
	o.mu.Lock()
	o.answers = append(o.answers, a)
	o.mu.Unlock()
	select {
	case o.arrived <- struct{}{}:
	default:
	}
}

// collect waits for answers and returns them.
func (o *outbox) collect(ctx context.Context, wait time.Duration) collectResponse {
	if out := o.take(); len(out) > 0 {
		return collectResponse{Answers: out}
	}
	t := time.NewTimer(min(wait, maxCollectWait))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-o.arrived:
		clock.Sleep(ctx, gatherTime)
	}
	return collectResponse{Answers: o.take()}
}

// take removes and returns the oldest answers, at most maxAnswers.
func (o *outbox) take() []answer {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := min(len(o.answers), maxAnswers)
	out := o.answers[:n:n]
	o.answers = o.answers[n:]
	return out
}
