package policy

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/customer"
	"greengagedeck/internal/logstore"
	"greengagedeck/internal/peer"
	"greengagedeck/internal/record"
)

// configMaxAge is how long after its publication a configuration has to be in force.
const configMaxAge = 3 * time.Second

// bubbleClock is the clock of a bubble.
type bubbleClock struct{ start time.Time }

func (c bubbleClock) Now() time.Duration { return time.Since(c.start) }
func (c bubbleClock) Wall() time.Time    { return time.Now() }

// cutOffDaemon is a daemon with a Fetcher that can ask others. It implements Caller.
type cutOffDaemon struct {
	g       *WithT
	current Current

	mu sync.Mutex
	// peers are the configurations of the others, nil for one that is silent.
	peers map[string]*Policy
	// logAnswered is when the log answered last. It answers while that is zero.
	logAnswered time.Time
	// asked counts the requests, and replaced is set once the other processes were
	// replaced.
	asked    int
	replaced bool
}

// version returns a configuration with customers. Its record holds its version.
func version(n int64) *Policy {
	p := New(n, nil, nil, Limits{})
	p.Customers = customer.NewDirectory(nil)
	p.Source = logstore.Record{Key: "config", Value: strconv.AppendInt(nil, n, 10)}
	return p
}

// cutOff runs a daemon that the log does not answer any more, with a configuration in force
// and those of others by ID.
func cutOff(t *testing.T, required bool, own *Policy, peers map[string]*Policy, test func(*cutOffDaemon)) {
	synctest.Test(t, func(t *testing.T) {
		d := &cutOffDaemon{g: NewWithT(t), peers: peers, logAnswered: time.Now()}
		if own != nil {
			d.current.Set(own)
		}
		ids := slices.Sorted(maps.Keys(peers))
		f := NewFetcher(FetcherOptions{
			Current: &d.current, CustomersRequired: required, Caller: d, Clock: bubbleClock{time.Now()}, Logger: zerolog.Nop(), Scope: tally.NoopScope,
			Peers:   func() []string { return ids },
			Address: func(id string) (string, bool) { return id, true },
			LogAge: func() time.Duration {
				d.mu.Lock()
				defer d.mu.Unlock()
				if d.logAnswered.IsZero() {
					return 0
				}
				return time.Since(d.logAnswered)
			},
			Apply: func(rec logstore.Record) error {
				n, err := strconv.ParseInt(string(rec.Value), 10, 64)
				d.current.Set(version(n))
				return err
			},
		})
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		go f.Run(ctx)
		test(d)
	})
}

// Call implements Caller.
func (d *cutOffDaemon) Call(ctx context.Context, to string, m peer.Method, req, resp any) error {
	var replaced bool
	d.with(func() { replaced, d.asked = d.replaced, d.asked+1 })
	if replaced {
		return eris.Wrap(peer.ErrNotSent, "another daemon answers at the address")
	}
	return d.CallAddress(ctx, to, m, req, resp)
}

// CallAddress implements Caller. Requests and answers go through their encoding.
func (d *cutOffDaemon) CallAddress(ctx context.Context, to string, m peer.Method, req, resp any) error {
	var p *Policy
	d.with(func() { p = d.peers[to] })
	if p == nil {
		<-ctx.Done()
		return eris.Wrap(peer.ErrLost, ctx.Err().Error())
	}
	var other Current
	other.Set(p)
	mux := handlers{}
	NewFetcher(FetcherOptions{Current: &other, Logger: zerolog.Nop(), Scope: tally.NoopScope}).Register(mux)
	body, _ := record.Encode(req)
	answer, err := mux[m](ctx, "self", body)
	d.g.Expect(err).NotTo(HaveOccurred())
	body, _ = record.Encode(answer)
	return record.Decode(body, resp)
}

// handlers implements peer.Mux.
type handlers map[peer.Method]peer.Handler

// Handle implements peer.Mux.
func (h handlers) Handle(m peer.Method, f peer.Handler) { h[m] = f }

// Send implements Caller.
func (d *cutOffDaemon) Send(context.Context, string, peer.Method, any) error { return nil }

func (d *cutOffDaemon) with(change func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change()
}

// expect expects a version in force and a number of requests after a time.
func (d *cutOffDaemon) expect(after time.Duration, version int64, asked any) {
	time.Sleep(after)
	synctest.Wait()
	d.g.ExpectWithOffset(1, d.current.Get()).To(HaveField("Version", version))
	d.with(func() {
		d.g.ExpectWithOffset(1, d.asked).To(Satisfy(func(n int) bool { return asked == nil || asked == n }), "%d requests", d.asked)
	})
}

// Guards against a daemon that accepts revoked keys for longer than 3 s because it does not
// get through to the log, also while most others are silent, or as cut off as it is, or were
// replaced meanwhile, and against one that stays without a configuration.
func TestConfigurationComesFromAnotherDaemon(t *testing.T) {
	peers := map[string]*Policy{"n": version(6)}
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		peers[id], peers[id+"2"] = nil, version(5)
	}
	for _, replaced := range []bool{false, true} {
		cutOff(t, false, version(5), maps.Clone(peers), func(d *cutOffDaemon) {
			d.with(func() { d.replaced = replaced })
			d.expect(configMaxAge, 6, nil)
			d.with(func() { d.peers["n"] = version(7) })
			d.expect(configMaxAge, 7, nil)
		})
	}
	cutOff(t, true, nil, map[string]*Policy{"a": version(0)}, func(d *cutOffDaemon) { d.expect(time.Second, 0, nil) })
}

// Guards against a daemon that goes back to an older configuration, whether another one has
// no newer one or sends an older record, and against more than two requests in 300 ms.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	wrong := version(9)
	wrong.Source.Value = []byte("3")
	peers := map[string]*Policy{"a": version(4), "b": version(5), "c": wrong, "d": nil}
	cutOff(t, false, version(5), peers, func(d *cutOffDaemon) { d.expect(logSilence+10*fetchInterval-1, 5, 10*maxAsked) })
	var current Current
	current.Set(version(5))
	f := NewFetcher(FetcherOptions{Current: &current, Logger: zerolog.Nop(), Scope: tally.NoopScope})
	NewWithT(t).Expect(f.respond(FetchRequest{HasVersion: true, Version: 5})).To(Equal(FetchResponse{}))
}

// Guards against messages between daemons while the log answers, and while callers need no
// keys.
func TestNobodyIsAskedWithoutNeed(t *testing.T) {
	peers := map[string]*Policy{"a": version(7)}
	cutOff(t, false, version(5), peers, func(d *cutOffDaemon) {
		d.with(func() { d.logAnswered = time.Time{} })
		d.expect(time.Minute, 5, 0)
		d.with(func() { d.logAnswered = time.Now() })
		d.expect(logSilence-time.Millisecond, 5, 0)
		d.expect(fetchInterval, 7, 1)
	})
	cutOff(t, false, New(6, nil, nil, Limits{}), peers, func(d *cutOffDaemon) { d.expect(time.Minute, 6, 0) })
	cutOff(t, true, New(6, nil, nil, Limits{}), peers, func(d *cutOffDaemon) { d.expect(time.Second, 7, nil) })
}
