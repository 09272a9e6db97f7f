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
// reports those rejected for lack of slots to the spare policy.
type recorder struct {
	self           membership.Member
	view           *stateView
	traces         *decision.TraceLog
	counter        *burn.Counter
	rejectedDemand *pool.RejectedDemand
}

func newRecorder(self membership.Member, view *stateView, t *decision.TraceLog, c *burn.Counter, rejected *pool.RejectedDemand) *recorder {
	return &recorder{self, view, t, c, rejected}
}

func newRejectedDemand() *pool.RejectedDemand { return pool.NewRejectedDemand(0) }

// recordDemand reports to the spare policy how long a request held a slot, or that
// it was rejected for lack of slots.
func (r *recorder) recordDemand(res gateway.Result) {
	if res.Err == nil && res.Response != nil {
		r.rejectedDemand.RecordRun(res.Request.Pool, res.Duration-res.Response.Queued)
		return
	}
	var rejection *verdict.Error
	if !errors.As(res.Err, &rejection) {
		return
	}
	switch rejection.Reason {
	case verdict.ReasonQueueFull, verdict.ReasonDeadline, verdict.ReasonNoTarget:
		r.rejectedDemand.RecordRejection(res.Request.Pool, time.Now())
	}
}

// Record implements gateway.Recorder.
func (r *recorder) Record(res gateway.Result) {
	r.recordDemand(res)
	e, _ := r.view.Entry(res.Request.Entry)
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
		ID:       req.ID,
		Entry:    req.Entry,
		Owner:    req.Owner,
		Pool:     req.Pool,
		Class:    string(req.Class),
		Daemon:   daemon,
		Verdict:  v,
		Arrived:  req.Arrived,
		Duration: res.Duration,
	}
	if res.Err != nil {
		t.Reason = res.Err.Error()
	}
	if res.Response != nil {
		t.Host = res.Response.Host
		t.Attempts = res.Response.Attempts
		t.QueueTime = res.Response.Queued
	}
	return t
}
