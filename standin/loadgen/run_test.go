package loadgen

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"greengagedeck/internal/catalogue"
	"greengagedeck/standin/deployment"
	"greengagedeck/standin/targetsim"
)

const seed = 42

func TestArrivalsAreDeterministicForSeed(t *testing.T) {
	g := NewWithT(t)
	entries := []Entry{{Name: "a", Rate: 50, BodyBytes: 8}, {Name: "b", Rate: 20, Period: time.Second}}
	now := time.UnixMilli(1)
	g.Expect(generateArrivals(seed, entries, time.Minute, now)).To(Equal(generateArrivals(seed, entries, time.Minute, now)))
	g.Expect(generateArrivals(seed+1, entries, time.Minute, now)).NotTo(Equal(generateArrivals(seed, entries, time.Minute, now)))
}

func TestArrivalsKeepMeanRateAndBursts(t *testing.T) {
	g := NewWithT(t)
	const (
		mean    = 20.0
		seconds = 2000
		period  = 10 * time.Second
	)
	e := []Entry{{Name: "a", Rate: mean, Period: period}}
	arrivals := generateArrivals(seed, e, seconds*time.Second, time.UnixMilli(1))
	g.Expect(float64(len(arrivals)) / seconds).To(BeNumerically("~", mean, mean/10))
	perSecond := make([]int, seconds)
	for _, a := range arrivals {
		perSecond[int(a.at.Seconds())]++
	}
	bursts, quiet := 0, 0
	for _, n := range perSecond {
		if float64(n) > 3*mean {
			bursts++
		}
		if float64(n) < mean/2 {
			quiet++
		}
	}
	g.Expect(float64(bursts) / seconds).To(BeNumerically("~", 0.15, 0.06))
	g.Expect(float64(quiet) / seconds).To(BeNumerically("~", 0.75, 0.1))
}

// relayDaemon imitates a daemon: it forwards requests to one target and can
// falsify an answer or send a request twice.
type relayDaemon struct {
	target string
	answer func(resp *fasthttp.Response)
	twice  bool
}

func (r *relayDaemon) serve(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == "/readyz" {
		return
	}
	req := &fasthttp.Request{}
	ctx.Request.CopyTo(req)
	req.SetHost(r.target)
	resp := &ctx.Response
	if r.twice {
		_ = fasthttp.Do(req, &fasthttp.Response{})
	}
	if err := fasthttp.Do(req, resp); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadGateway)
		return
	}
	resp.Header.Set(headerRequestID, string(ctx.Request.Header.Peek(headerRequestID)))
	resp.Header.Set(headerVerdict, VerdictRan)
	resp.Header.Set(headerHost, "w1")
	if r.answer != nil {
		r.answer(resp)
	}
}

// runThroughRelay sends load to one relay and to an address that refuses
// connections.
func runThroughRelay(t *testing.T, r relayDaemon) Summary {
	t.Helper()
	g := NewWithT(t)
	d, err := deployment.Start(deployment.Options{
		Platform: "127.0.0.1:0",
		Hosts:    []catalogue.Host{{Name: "w1", Address: "127.0.0.1:0", Zone: "a", Rack: "r"}},
	})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(d.Close)
	d.Targets["w1"].SetSwitches(targetsim.Switches{Queue: true})
	r.target = d.Targets["w1"].Address()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	go func() { _ = fasthttp.Serve(ln, r.serve) }()
	t.Cleanup(func() { _ = ln.Close() })
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(gone.Close()).To(Succeed())
	sum, err := Run(context.Background(), Options{
		Seed:     seed,
		Duration: 300 * time.Millisecond,
		Daemons: []Daemon{
			{URL: "http://" + ln.Addr().String(), ReadyURL: "http://" + ln.Addr().String() + "/readyz"},
			{URL: "http://" + gone.Addr().String()},
		},
		Entries:  []Entry{{Name: "e", Rate: 200, Class: "short", Service: time.Millisecond, BodyBytes: 10}},
		CheckURL: d.URL(),
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(sum.Requests).To(BeNumerically(">", 10))
	return sum
}

func TestCorrectDaemonCausesNoViolations(t *testing.T) {
	g := NewWithT(t)
	sum := runThroughRelay(t, relayDaemon{})
	g.Expect(sum.HasViolations()).To(BeFalse(), strings.Join(sum.Violations, "\n"))
	g.Expect(sum.ByVerdict).To(Equal(map[string]int{VerdictRan: sum.Requests}))
	g.Expect(sum.Latency["short"].Count).To(BeEquivalentTo(sum.Requests))
}

func TestFalseAnswersAreDetected(t *testing.T) {
	tests := map[string]struct {
		relay relayDaemon
		found func(Summary) int
	}{
		"not-run that ran": {
			relayDaemon{answer: func(r *fasthttp.Response) { r.Header.Set(headerVerdict, VerdictNotRun) }},
			func(s Summary) int { return s.FalseNotRun },
		},
		"ran twice": {
			relayDaemon{twice: true},
			func(s Summary) int { return s.RanMoreThanOnce },
		},
		"body of another request": {
			relayDaemon{answer: func(r *fasthttp.Response) {
				r.SetBodyString(strings.Replace(string(r.Body()), `"id":"`, `"id":"x`, 1))
			}},
			func(s Summary) int { return s.WrongAnswers },
		},
		"no verdict": {
			relayDaemon{answer: func(r *fasthttp.Response) { r.Header.Del(headerVerdict) }},
			func(s Summary) int { return s.WrongAnswers },
		},
		"header of another request": {
			relayDaemon{answer: func(r *fasthttp.Response) {
				r.Header.Set(headerRequestID, "x")
			}},
			func(s Summary) int { return s.WrongAnswers },
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			sum := runThroughRelay(t, tt.relay)
			g.Expect(tt.found(sum)).To(Equal(sum.Requests))
			g.Expect(sum.HasViolations()).To(BeTrue())
		})
	}
}
