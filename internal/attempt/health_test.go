package attempt_test

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/attempt"
	"greengagedeck/internal/request"
)

type recorder struct {
	started  int
	observed []error
}

func (r *recorder) Started(string, time.Time) { r.started++ }

func (r *recorder) Observe(_, _ string, err error, _ time.Duration, _ time.Time) {
	r.observed = append(r.observed, err)
}

func TestHealthObserverSeesOnlyHostOutcomes(t *testing.T) {
	g := NewWithT(t)
	var h recorder
	c := attempt.New(attempt.Options{Health: &h})
	defer c.Close()
	do := func(ctx context.Context, sc script, change func(*request.Request)) {
		rt := newScriptedTarget(t, sc)
		r := newRequest("GET", "/", "")
		change(r)
		_, _ = c.Do(ctx, attempt.Target{Host: "w", Address: rt.addr}, r)
	}
	ctx, cancel := context.WithCancel(context.Background())
	same := func(*request.Request) {}

	do(ctx, executeAndRespond, same)
	g.Expect(h.observed).To(Equal([]error{nil}))
	do(ctx, respondOnce("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"), same)
	var status *attempt.StatusError
	g.Expect(errors.As(h.observed[1], &status)).To(BeTrue())
	do(ctx, respondAndClose(""), same)
	do(ctx, rejectRequests, same)
	g.Expect(h.observed).To(HaveLen(4))
	g.Expect(h.observed[2:]).To(HaveEach(HaveOccurred()))

	do(ctx, executeAndRespond, func(r *request.Request) { r.Path = "no path" })
	do(ctx, executeAndRespond, func(r *request.Request) { r.Deadline = time.Now().Add(-time.Second) })
	cancel()
	do(ctx, executeAndRespond, same)
	g.Expect(h.observed).To(HaveLen(4))
	g.Expect(h.started).To(Equal(7))
}
