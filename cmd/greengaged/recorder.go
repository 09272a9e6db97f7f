package main

import (
	"errors"
	"time"

	"greengagedeck/internal/burn"
	"greengagedeck/internal/decision"
	"greengagedeck/internal/gateway"
	"greengagedeck/internal/membership"
	"greengagedeck/internal/pool"
	"greengagedeck/internal/verdict"
)

// recorder traces finished requests, counts them towards their objectives and
// tells the spare policy of those refused for want of slots.
type recorder struct {
	self     membership.Member
	inForce  *inForce
	traces   *decision.TraceLog
	counter  *burn.Counter
	refusals *pool.Refusals
}

func newRecorder(self membership.Member, f *inForce, t *decision.TraceLog, c *burn.Counter, rf *pool.Refusals) *recorder {
	return &recorder{self, f, t, c, rf}
}

func newRefusals() *pool.Refusals { return pool.NewRefusals(0) }

// measure tells the spare policy what a request filled or would have filled.
func (r *recorder) measure(res gateway.Result) {
	if res.Err == nil && res.Response != nil {
		r.refusals.Ran(res.Request.Pool, res.Duration-res.Response.Queued)
		return
	}
	var refusal *verdict.Error
	if !errors.As(res.Err, &refusal) {
		return
	}
	switch refusal.Reason {
	case verdict.ReasonQueueFull, verdict.ReasonDeadline, verdict.ReasonNoTarget:
		r.refusals.Refused(res.Request.Pool, time.Now())
	}
}

// Record implements gateway.Recorder.
func (r *recorder) Record(res gateway.Result) {
	r.measure(res)
	e, _ := r.inForce.Entry(res.Request.Entry)
	sample := burn.NewSample(res.Request, res.Response, res.Err, res.Duration, e.Objective)
	r.counter.Record(sample, time.Now())
	v := verdict.Of(res.Err)
	if v == verdict.Ran && !decision.Sampled(res.Request.ID) {
		return
	}
	r.traces.Add(traceOf(r.self.ID, v, res))
}

func traceOf(daemon string, v verdict.Verdict, res gateway.Result) decision.Trace {
	req := res.Request
	t := decision.Trace{
		ID:      req.ID,
		Entry:   req.Entry,
		Owner:   req.Owner,
		Pool:    req.Pool,
		Class:   string(req.Class),
		Daemon:  daemon,
		Verdict: v,
		Arrived: req.Arrived,
		Took:    res.Duration,
	}
	if res.Err != nil {
		t.Reason = res.Err.Error()
	}
	if res.Response != nil {
		t.Host = res.Response.Host
		t.Attempts = res.Response.Attempts
		t.Queued = res.Response.Queued
	}
	return t
}
