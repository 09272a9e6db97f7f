// Package loadgen sends open-loop load to daemons and checks every answer.
package loadgen

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"greengagedeck/standin/targetsim"
)

// The header fields of the protocol between callers and daemons.
const (
	headerRequestID  = "Request-Id"
	headerIdempotent = "Idempotent"
	headerDeadline   = "Request-Deadline-Ms"
	headerClass      = "Request-Class"
	headerVerdict    = "Request-Verdict"
	headerReason     = "Request-Reason"
	headerHost       = "Request-Host"
)

// The verdicts as sent in the header. VerdictLost and VerdictUnsent are added
// here: VerdictLost is for a request whose connection broke before the complete
// answer arrived, VerdictUnsent for one for which no daemon accepted a connection.
const (
	VerdictRan        = "ran"
	VerdictMayHaveRun = "may-have-run"
	VerdictNotRun     = "not-run"
	VerdictLost       = "lost"
	VerdictUnsent     = "unsent"
)

const (
	maxConns            = 8192
	dialTimeout         = time.Second
	answerTimeoutMargin = 3 * time.Second
	resendDelay         = 50 * time.Millisecond
	maxDialAttempts     = 20
	checkTimeout        = 30 * time.Second
	defaultDeadline     = 2 * time.Second
	// ulidTimeChars is the number of leading characters of a ULID that encode
	// its time.
	ulidTimeChars = 10
)

// Options configures a run.
type Options struct {
	Seed     uint64        `json:"seed"`
	Duration time.Duration `json:"duration"`
	Daemons  []Daemon      `json:"daemons"`
	Entries  []Entry       `json:"entries"`
	// Resends limits how often a request that was not run is sent again, with
	// the same ID, to another daemon.
	Resends int `json:"resends"`
	// ResendUnknown sends a request whose outcome is unknown once more, with
	// the same ID.
	ResendUnknown bool `json:"resend_unknown"`
	// Duplicates is the share of requests that are sent to two daemons at the
	// same time, with the same ID.
	Duplicates float64 `json:"duplicates"`
	// CheckURL is the stand-in's base URL. If it is set, the run ends with a
	// check of how often the targets executed each request.
	CheckURL string `json:"check_url"`
}

type runner struct {
	opts      Options
	balancer  *balancer
	collector *collector
}

// dialError marks a failure to establish a connection.
type dialError struct{ error }

func newClient() *fasthttp.Client {
	return &fasthttp.Client{
		Dial: func(addr string) (net.Conn, error) {
			c, err := net.DialTimeout("tcp", addr, dialTimeout)
			if err != nil {
				return nil, dialError{err}
			}
			return c, nil
		},
		MaxConnsPerHost:           maxConns,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

// Run sends the load and returns a summary of the results. When ctx ends, it
// stops without sending the remaining requests.
func Run(ctx context.Context, opts Options) (Summary, error) {
	if len(opts.Daemons) == 0 {
		return Summary{}, errors.New("no daemons configured")
	}
	r := &runner{opts: opts, balancer: newBalancer(opts.Daemons), collector: newCollector()}
	defer r.balancer.close()
	stop := make(chan struct{})
	var probes sync.WaitGroup
	probes.Go(func() { r.balancer.probe(stop) })
	r.send(ctx)
	close(stop)
	probes.Wait()
	if opts.CheckURL != "" {
		if err := r.checkExecutions(); err != nil {
			return Summary{}, err
		}
	}
	return r.collector.summary(), nil
}

// send starts every arrival at its time, regardless of whether earlier requests
// have been answered.
func (r *runner) send(ctx context.Context) {
	start := time.Now()
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, a := range generateArrivals(r.opts.Seed, r.opts.Entries, r.opts.Duration, start) {
		if !sleepUntil(ctx, start.Add(a.at)) {
			return
		}
		wg.Go(func() { r.collector.add(r.sendRequest(a, start.Add(a.at))) })
		if r.shouldDuplicate(a) {
			wg.Go(func() { r.collector.addDuplicate(r.sendRequest(a, start.Add(a.at))) })
		}
	}
}

// shouldDuplicate selects requests by the random part of their ID, so that the
// same seed selects the same requests.
func (r *runner) shouldDuplicate(a arrival) bool {
	const buckets = 1000
	return float64(xxhash.Sum64String(a.id[ulidTimeChars:])%buckets) < r.opts.Duplicates*buckets
}

func sleepUntil(ctx context.Context, t time.Time) bool {
	d := time.Until(t)
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// outcome is the result of one request.
type outcome struct {
	id         string
	entry      *Entry
	daemon     string
	verdict    string
	reason     string
	status     int
	mismatch   string
	sent       time.Time
	latency    time.Duration
	resends    int
	idempotent bool
}

// sendRequest sends one arrival, and repeats it as long as shouldResend allows
// it and the deadline has not passed.
func (r *runner) sendRequest(a arrival, intended time.Time) outcome {
	deadline := a.entry.Deadline
	if deadline <= 0 {
		deadline = defaultDeadline
	}
	giveUp := intended.Add(deadline)
	last := -1
	for resends := 0; ; resends++ {
		o, d := r.dialAndSend(a, deadline, last)
		o.resends = resends
		o.latency = time.Since(intended)
		if !r.shouldResend(o) || time.Now().Add(resendDelay).After(giveUp) {
			return o
		}
		last = d
		time.Sleep(resendDelay)
	}
}

// shouldResend reports whether a request is to be sent again.
func (r *runner) shouldResend(o outcome) bool {
	switch o.verdict {
	case VerdictNotRun:
		return o.resends < r.opts.Resends
	case VerdictLost, VerdictMayHaveRun:
		return r.opts.ResendUnknown && o.resends == 0
	default:
		return false
	}
}

// dialAndSend sends a request to the first daemon that accepts a connection, as
// the platform's load balancer does. It returns the index of that daemon, or -1.
func (r *runner) dialAndSend(a arrival, deadline time.Duration, excluded int) (outcome, int) {
	o := outcome{id: a.id, entry: a.entry, idempotent: a.entry.Idempotent, sent: time.Now()}
	for range maxDialAttempts {
		d := r.balancer.pick(excluded)
		err := r.exchange(a, deadline, d, &o)
		var dial dialError
		if errors.As(err, &dial) {
			r.balancer.setAvailable(d, false)
			continue
		}
		if err != nil {
			o.verdict, o.reason, o.daemon = VerdictLost, "connection to daemon broke", r.opts.Daemons[d].URL
		}
		return o, d
	}
	o.verdict = VerdictUnsent
	return o, -1
}

func (r *runner) exchange(a arrival, deadline time.Duration, daemon int, o *outcome) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(r.opts.Daemons[daemon].URL + requestPath(a))
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.Set(headerRequestID, a.id)
	req.Header.Set(headerIdempotent, strconv.FormatBool(a.entry.Idempotent))
	req.Header.Set(headerDeadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	if a.entry.Class != "" {
		req.Header.Set(headerClass, a.entry.Class)
	}
	ms := float64(a.service) / float64(time.Millisecond)
	req.Header.Set(targetsim.HeaderServiceMs, strconv.FormatFloat(ms, 'f', 3, 64))
	req.SetBody(a.body)
	if err := r.balancer.clients[daemon].DoTimeout(req, resp, deadline+answerTimeoutMargin); err != nil {
		return err
	}
	o.readResponse(a, resp)
	return nil
}

func requestPath(a arrival) string { return "/v1/entries/" + a.entry.Name + "/work/" + a.id }

func (o *outcome) readResponse(a arrival, resp *fasthttp.Response) {
	o.status = resp.StatusCode()
	o.verdict = string(resp.Header.Peek(headerVerdict))
	o.reason = string(resp.Header.Peek(headerReason))
	o.mismatch = findMismatch(a, o.verdict, resp)
}

// findMismatch describes why an answer does not belong to its request or has no
// valid verdict. It returns an empty string for a correct answer.
func findMismatch(a arrival, verdict string, resp *fasthttp.Response) string {
	if id := string(resp.Header.Peek(headerRequestID)); id != a.id {
		return fmt.Sprintf("answer names request %q, want %q", id, a.id)
	}
	switch verdict {
	case VerdictNotRun, VerdictMayHaveRun:
		return ""
	case VerdictRan:
	default:
		return fmt.Sprintf("verdict %q, status %d", verdict, resp.StatusCode())
	}
	var got targetsim.ResponseBody
	if err := json.Unmarshal(resp.Body(), &got); err != nil {
		return fmt.Sprintf("decode body: %v", err)
	}
	switch {
	case got.ID != a.id:
		return fmt.Sprintf("body belongs to request %q, want %q", got.ID, a.id)
	case got.Sum != targetsim.Checksum(a.body):
		return "checksum does not match the request body"
	case !strings.HasSuffix(got.Path, "/work/"+a.id):
		return fmt.Sprintf("target received path %q", got.Path)
	case got.Host != string(resp.Header.Peek(headerHost)):
		return fmt.Sprintf("body names host %q, header names host %q", got.Host, resp.Header.Peek(headerHost))
	}
	return ""
}

// checkExecutions reads how often the targets ran each request and compares that
// with the verdicts.
func (r *runner) checkExecutions() error {
	body, err := json.Marshal(r.collector.ids())
	if err != nil {
		return err
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(r.opts.CheckURL + "/admin/executions")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBody(body)
	if err := r.balancer.probes.DoTimeout(req, resp, checkTimeout); err != nil {
		return fmt.Errorf("read executions: %w", err)
	}
	var counts map[string]int
	if err := json.Unmarshal(resp.Body(), &counts); err != nil {
		return fmt.Errorf("read executions: %w", err)
	}
	r.collector.checkVerdicts(counts)
	return nil
}
