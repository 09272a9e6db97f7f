package relay

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"greengagedeck/internal/clock"
	"greengagedeck/internal/peer"
)

const (
	// collectWait is how long a relay may delay a response without answers, and
	// silentTimeout how long it may take for a response in all.
	collectWait   = 250 * time.Millisecond
	silentTimeout = 650 * time.Millisecond
	// orderDelay is how long an order waits for others to be sent with it.
	orderDelay = 3 * time.Millisecond
	// maxOrders bounds the orders in one message.
	maxOrders = 256
	// answerLimit is how much longer than the wait that it asks for an order may go
	// without an answer, and limitCheck the time between two looks for such orders.
	answerLimit = 2 * time.Second
	limitCheck  = 500 * time.Millisecond
)

var (
	// errNotHandedOver means that an order has certainly not reached the relay.
	errNotHandedOver = eris.New("the relay was not reached")
	// errLost means that the relay may carry the order out, and that its answer will
	// not be known.
	errLost = eris.New("the relay did not answer")
)

// session is the exchange with one relay: orders that wait are sent together, and so
// are answers. It ends on the first call that the relay does not answer; the outcome
// of every order that it has then is lost.
type session struct {
	caller peer.Caller
	clock  clock.Clock
	relay  string
	number uint64

	mu sync.Mutex
	// closed is set once the session has ended.
	closed bool
	// queue holds the orders to be sent, with the payloads of starts.
	queue []queuedOrder
	// sending and collecting are set while their loops run.
	sending, collecting bool
	pending             map[uint64]*pendingOrder
	lastOrder           uint64
	limitsCheckedAt     time.Time
}

// pendingOrder is an order that waits for its answer, until limit at most.
type pendingOrder struct {
	done  chan result
	limit time.Time
}

// queuedOrder is an order that was not sent yet.
type queuedOrder struct {
	order   order
	payload string
}

// result is what became of an order.
type result struct {
	answer answer
	// err is errNotHandedOver or errLost, or nil if there is an answer.
	err error
}

// newSession returns a session with a relay. Each session of a daemon has another
// number.
func newSession(caller peer.Caller, cl clock.Clock, relayID string, number uint64) *session {
	return &session{caller: caller, clock: cl, relay: relayID, number: number, pending: map[uint64]*pendingOrder{}}
}

// do hands over an order and waits for its answer.
func (s *session) do(o order, payload string) (answer, error) {
	done := make(chan result, 1)
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return answer{}, errNotHandedOver
	}
	s.lastOrder++
	o.Number = s.lastOrder
	s.pending[o.Number] = &pendingOrder{done: done, limit: time.Now().Add(o.Wait + answerLimit)}
	s.queue = append(s.queue, queuedOrder{o, payload})
	if !s.sending {
		s.sending = true
		go s.sendLoop()
	}
	if !s.collecting {
		s.collecting = true
		go s.collectLoop()
	}
	s.mu.Unlock()
	r := <-done
	return r.answer, r.err
}

// sendLoop sends the queued orders until there are none.
func (s *session) sendLoop() {
	for {
		time.Sleep(orderDelay)
		batch := s.nextOrders()
		if len(batch) == 0 {
			return
		}
		err := s.caller.Send(context.Background(), s.relay, MethodOrders, s.message(batch))
		if err != nil {
			s.resolve(batch, errNotHandedOver)
		}
	}
}

// nextOrders removes and returns the orders of the next message. If there are none,
// the loop that sends them has ended.
func (s *session) nextOrders() []queuedOrder {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(len(s.queue), maxOrders)
	batch := s.queue[:n:n]
	s.queue = s.queue[n:]
	s.sending = n > 0
	return batch
}

// message returns the message with some orders.
func (s *session) message(batch []queuedOrder) ordersMessage {
	m := ordersMessage{Session: s.number, SentAt: s.clock.Now(), Orders: make([]order, 0, len(batch))}
	index := map[string]int{}
	for _, q := range batch {
		if q.order.Kind == kindStart {
			i, known := index[q.payload]
			if !known {
				i = len(m.Payloads)
				index[q.payload] = i
				m.Payloads = append(m.Payloads, q.payload)
			}
			q.order.Payload = i
		}
		m.Orders = append(m.Orders, q.order)
	}
	return m
}

// resolve ends the wait for some orders with an error.
func (s *session) resolve(batch []queuedOrder, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, q := range batch {
		s.end(q.order.Number, result{err: err})
	}
}

// collectLoop collects answers until no order waits for one, or the relay does not
// respond.
func (s *session) collectLoop() {
	for s.awaitsAnswers() {
		var resp collectResponse
		ctx, cancel := context.WithTimeout(context.Background(), silentTimeout)
		err := s.caller.Call(ctx, s.relay, MethodCollect, collectRequest{Session: s.number, Wait: collectWait}, &resp)
		cancel()
		s.deliver(resp.Answers)
		if err != nil || s.overLimit() {
			s.close()
			return
		}
	}
}

// awaitsAnswers reports whether an order waits for its answer. If not, the loop that
// collects them has ended.
func (s *session) awaitsAnswers() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.collecting = len(s.pending) > 0 && !s.closed
	return s.collecting
}

// deliver passes answers to those that wait for them.
func (s *session) deliver(answers []answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range answers {
		s.end(a.Number, result{answer: a})
	}
}

// close ends the session. Orders that were not sent have certainly not reached the
// relay; the others may have.
func (s *session) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, q := range s.queue {
		s.end(q.order.Number, result{err: errNotHandedOver})
	}
	s.queue = nil
	for number := range s.pending {
		s.end(number, result{err: errLost})
	}
}

// end ends the wait for an order. It must be called with mu held.
func (s *session) end(number uint64, r result) {
	p := s.pending[number]
	if p == nil {
		return
	}
	delete(s.pending, number)
	p.done <- r
}

// overLimit reports whether an order has waited for its answer for too long: its message
// may have been dropped.
func (s *session) overLimit() bool {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.limitsCheckedAt) < limitCheck {
		return false
	}
	s.limitsCheckedAt = now
	for _, p := range s.pending {
		if now.After(p.limit) {
			return true
		}
	}
	return false
}

// ended reports whether the session has ended.
func (s *session) ended() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}
