package relay

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/verdict"
	"greengagedeck/internal/worker"
)

var testTarget = worker.Target{ID: "w", Address: "10.0.0.1:1", Zone: "a"}

func testStart(number int) worker.StartOrder {
	return worker.StartOrder{Run: testRun(number), Payload: "payload", LeaseUntil: 11, Token: 12, Checkpoint: "c", Ticket: "t"}
}

// Guards against an order that changes on its way through a relay.
func TestOrdersPassThroughRelayUnchanged(t *testing.T) {
	runInVirtualTime(t, func(ctx context.Context, g *WithT) {
		w := newWorld()
		clock, err := w.control.Start(ctx, testTarget, testStart(1))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(clock).To(BeEquivalentTo(7))
		g.Expect(w.relayed.starts).To(Equal([]worker.StartOrder{testStart(1)}))
		request := worker.PollRequest{Token: 12, Acknowledged: 3, LeaseUntil: 11, Wait: time.Second}
		report, err := w.control.Poll(ctx, testTarget, request)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(w.relayed.polls).To(Equal([]worker.PollRequest{request}))
		want, _ := w.own.Poll(ctx, testTarget, request)
		g.Expect(report).To(Equal(want))
		clock, err = w.control.Stop(ctx, testTarget, testRun(1), 12)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(clock).To(BeEquivalentTo(8))
		g.Expect(w.control.SetSpeed(ctx, testTarget, testRun(1), 50, 12)).To(Succeed())
		g.Expect(w.relayed.calls()).To(Equal(4))
	})
}

// Guards against an error of a worker that means something else behind a relay.
func TestErrorsPassThroughRelayUnchanged(t *testing.T) {
	for _, want := range []error{
		worker.ErrWorkerReplaced,
		&worker.RejectedError{Reason: worker.ReasonFenced, Clock: 17},
		verdict.NewNotRun(verdict.ReasonConnect, "refused"),
		verdict.NewMayHaveRun(verdict.ReasonTimeout, "no answer"),
	} {
		t.Run(fmt.Sprint(want), func(t *testing.T) {
			runInVirtualTime(t, func(ctx context.Context, g *WithT) {
				w := newWorld()
				w.relayed.err = want
				_, err := w.control.Start(ctx, testTarget, testStart(1))
				g.Expect(err).To(Equal(want))
				g.Expect(w.own.calls()).To(BeZero())
			})
		})
	}
}

// Guards against a start that is taken for one that did not run although its relay got
// it, and against one that is sent twice under different verdicts.
func TestStartThroughSilentRelayMayHaveRun(t *testing.T) {
	runInVirtualTime(t, func(ctx context.Context, g *WithT) {
		w := newWorld()
		w.links.set(w.relay.ID(), true, false)
		start := time.Now()
		_, err := w.control.Start(ctx, testTarget, testStart(1))
		g.Expect(verdict.Of(err)).To(Equal(verdict.MayHaveRun))
		g.Expect(time.Since(start)).To(BeNumerically("<", time.Second))
		g.Expect(w.own.calls()).To(BeZero())
		_, err = w.control.Start(ctx, testTarget, testStart(1))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(w.own.starts).To(HaveLen(1))
	})
}

// Guards against workers that count as unreachable because a relay is.
func TestPollThroughSilentRelayIsRepeated(t *testing.T) {
	runInVirtualTime(t, func(ctx context.Context, g *WithT) {
		w := newWorld()
		w.links.set(w.relay.ID(), true, false)
		for i := range 3 {
			rep, err := w.control.Poll(ctx, testTarget, worker.PollRequest{Token: 1, Acknowledged: 4})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(rep.Unacknowledged).To(Equal(i == 0))
		}
		// The ends of a worker that has restarted meanwhile must not be acknowledged.
		acknowledged := func(r worker.PollRequest) int64 { return r.Acknowledged }
		g.Expect(w.own.polls).To(HaveExactElements(
			WithTransform(acknowledged, BeZero()), WithTransform(acknowledged, BeEquivalentTo(4)), WithTransform(acknowledged, BeEquivalentTo(4))))
		w.links.set(w.relay.ID(), false, false)
		time.Sleep(silentPeriod)
		before := w.relayed.calls()
		_, err := w.control.Poll(ctx, testTarget, worker.PollRequest{Token: 1})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(w.relayed.calls()).To(Equal(before + 1))
	})
}

// Guards against an order that fails although its relay was never reached.
func TestOrdersOfUnreachedRelayAreSentDirectly(t *testing.T) {
	runInVirtualTime(t, func(ctx context.Context, g *WithT) {
		w := newWorld()
		w.links.set(w.relay.ID(), false, true)
		_, err := w.control.Start(ctx, testTarget, testStart(1))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(w.own.starts).To(HaveLen(1))
		g.Expect(w.relayed.calls()).To(BeZero())
	})
}

// Guards against a worker that only its relay does not reach, and that stays unreached.
func TestWorkerThatRelayDoesNotReachIsPolledDirectly(t *testing.T) {
	runInVirtualTime(t, func(ctx context.Context, g *WithT) {
		w := newWorld()
		w.relayed.err = verdict.NewMayHaveRun(verdict.ReasonTimeout, "no answer")
		_, err := w.control.Poll(ctx, testTarget, worker.PollRequest{Token: 1})
		g.Expect(err).To(HaveOccurred())
		_, err = w.control.Poll(ctx, testTarget, worker.PollRequest{Token: 1})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(w.own.polls).To(HaveLen(1))
		other := testTarget
		other.ID = "other"
		_, err = w.control.Poll(ctx, other, worker.PollRequest{Token: 1})
		g.Expect(err).To(HaveOccurred())
	})
}

// Guards against orders that wait for ever because a message was dropped.
func TestOrderWithoutAnswerIsGivenUp(t *testing.T) {
	runInVirtualTime(t, func(ctx context.Context, g *WithT) {
		w := newWorld()
		w.relayed.takes = time.Hour
		_, err := w.control.Start(ctx, testTarget, testStart(1))
		g.Expect(verdict.Of(err)).To(Equal(verdict.MayHaveRun))
	})
}

// Guards against a relay that answers a start with another payload, or takes a whole
// message down for one order.
func TestMalformedOrderIsRejectedAlone(t *testing.T) {
	runInVirtualTime(t, func(ctx context.Context, g *WithT) {
		w := newWorld()
		s := NewServer(w.relayed, w.control.opt)
		out := s.outbox(sessionKey{"h", 1})
		s.accept(ctx, out, ordersMessage{Payloads: []string{"p"}, Orders: []order{
			{Number: 1, Kind: kindStart, Payload: 1},
			{Number: 2, Kind: 99},
			{Number: 3, Kind: kindStart},
		}})
		time.Sleep(time.Second)
		verdicts := map[uint64]verdict.Verdict{}
		for _, a := range out.collect(ctx, 0).Answers {
			verdicts[a.Number] = verdict.Of(a.err())
		}
		g.Expect(verdicts).To(Equal(map[uint64]verdict.Verdict{1: verdict.NotRun, 2: verdict.NotRun, 3: verdict.Ran}))
		g.Expect(w.relayed.starts).To(HaveLen(1))
		g.Expect(w.relayed.starts[0].Payload).To(Equal("p"))
	})
}

// Guards against a relay that was paused and sends orders which their holder has long given
// up on: an acknowledgement could reach a later start of its worker.
func TestOrdersOfLongAgoAreNotCarriedOut(t *testing.T) {
	runInVirtualTime(t, func(ctx context.Context, g *WithT) {
		w := newWorld()
		_, err := w.control.Poll(ctx, testTarget, worker.PollRequest{Token: 1})
		g.Expect(err).NotTo(HaveOccurred())
		before := w.relayed.calls()
		w.links.latency = maxOrderAge + 100*time.Millisecond
		_, err = w.control.Poll(ctx, testTarget, worker.PollRequest{Token: 1, Acknowledged: 5})
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Minute)
		g.Expect(w.relayed.calls()).To(Equal(before))
		g.Expect(w.own.polls).To(HaveLen(1))
	})
}

// Guards against an answer with an outcome that this version does not know and that
// counts as success.
func TestUnknownOutcomeProvesNothing(t *testing.T) {
	g := NewWithT(t)
	g.Expect(verdict.Of((&answer{Outcome: 99}).err())).To(Equal(verdict.MayHaveRun))
	a := answer{}
	a.setError(errors.New("broken"))
	g.Expect(verdict.Of(a.err())).To(Equal(verdict.MayHaveRun))
}

// Guards against a holder that pays for a message for each order: while a plan's starts
// are sent and their workers polled, messages must be few.
func TestMessagesOfOrdersAreShared(t *testing.T) {
	for _, workers := range []int{80, 600, 1000} {
		t.Run(fmt.Sprint(workers), func(t *testing.T) {
			runInVirtualTime(t, func(ctx context.Context, g *WithT) {
				w := newWorld()
				w.relay.Weight = 1000
				w.relayed.takes = 2 * time.Millisecond
				var orders sync.WaitGroup
				for i := range workers {
					to := worker.Target{ID: fmt.Sprint("w", i), Address: "10.0.0.1:1", Zone: "a"}
					orders.Go(func() {
						_, err := w.control.Start(ctx, to, testStart(1))
						g.Expect(err).NotTo(HaveOccurred())
						_, err = w.control.Poll(ctx, to, worker.PollRequest{Token: 1})
						g.Expect(err).NotTo(HaveOccurred())
					})
				}
				orders.Wait()
				messages := w.links.messages[MethodOrders] + w.links.messages[MethodCollect]
				g.Expect(messages).To(BeNumerically("<=", 10+2*workers/50), "for %d orders", 2*workers)
				g.Expect(w.relayed.calls()).To(Equal(2 * workers))
			})
		})
	}
}
