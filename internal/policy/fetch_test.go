package policy

import (
	"context"
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

// peerRig is a daemon with a Fetcher and the daemons that it can ask.
type peerRig struct {
	g       *WithT
	current *Current

	mu  sync.Mutex
	ids []string
	// answeredAt is when the log answered last. It goes on answering while answering
	// is set.
	answeredAt time.Time
	answering  bool
	peers      map[string]*Fetcher
	// asked counts the requests.
	asked int
	// replaced is set once the processes of all others were replaced.
	replaced bool
}

// version returns a configuration. The value of its record is its version.
func version(n int64) *Policy {
	p := New(n, nil, nil, Limits{})
	p.Customers = customer.NewDirectory(nil)
	p.Source = logstore.Record{Key: "config", Value: strconv.AppendInt(nil, n, 10)}
	return p
}

// options returns the options of a daemon with a configuration in force.
func (r *peerRig) options(c *Current) FetcherOptions {
	return FetcherOptions{
		Current: c, Caller: r, Clock: bubbleClock{time.Now()}, Logger: zerolog.Nop(), Scope: tally.NoopScope,
		Peers: func() []string {
			r.mu.Lock()
			defer r.mu.Unlock()
			return r.ids
		},
		Address: func(id string) (string, bool) { return id, true },
		LogAge: func() time.Duration {
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.answering {
				return 0
			}
			return time.Since(r.answeredAt)
		},
		Apply: func(rec logstore.Record) error {
			n, err := strconv.ParseInt(string(rec.Value), 10, 64)
			if err == nil {
				c.Set(version(n))
			}
			return err
		},
	}
}

// addPeer adds a daemon with a configuration, or a silent one without.
func (r *peerRig) addPeer(p *Policy) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := strconv.Itoa(len(r.ids))
	r.ids = append(slices.Clone(r.ids), id)
	if p != nil {
		c := &Current{}
		c.Set(p)
		r.peers[id] = NewFetcher(r.options(c))
	}
}

// askedCount returns how often others were asked.
func (r *peerRig) askedCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.asked
}

// Call implements Caller.
func (r *peerRig) Call(ctx context.Context, to string, m peer.Method, req, resp any) error {
	r.mu.Lock()
	r.asked++
	replaced := r.replaced
	r.mu.Unlock()
	if replaced {
		return eris.Wrap(peer.ErrNotSent, "another daemon answers at the address")
	}
	return r.CallAddress(ctx, to, m, req, resp)
}

// CallAddress implements Caller. Requests and answers go through their encoding.
func (r *peerRig) CallAddress(ctx context.Context, to string, m peer.Method, req, resp any) error {
	r.mu.Lock()
	p := r.peers[to]
	r.mu.Unlock()
	if p == nil {
		<-ctx.Done()
		return eris.Wrap(peer.ErrLost, ctx.Err().Error())
	}
	mux := handlers{}
	p.Register(mux)
	body, err := record.Encode(req)
	r.g.Expect(err).NotTo(HaveOccurred())
	out, err := mux[m](ctx, "self", body)
	r.g.Expect(err).NotTo(HaveOccurred())
	body, err = record.Encode(out)
	r.g.Expect(err).NotTo(HaveOccurred())
	return record.Decode(body, resp)
}

// Send implements Caller.
func (r *peerRig) Send(context.Context, string, peer.Method, any) error { return nil }

// handlers implements peer.Mux.
type handlers map[peer.Method]peer.Handler

func (h handlers) Handle(m peer.Method, f peer.Handler) { h[m] = f }

// run runs a fetcher in a bubble, in which the log answered last when it began.
func run(t *testing.T, change func(*FetcherOptions), test func(r *peerRig)) {
	synctest.Test(t, func(t *testing.T) {
		r := &peerRig{g: NewWithT(t), current: &Current{}, answeredAt: time.Now(), peers: map[string]*Fetcher{}}
		o := r.options(r.current)
		if change != nil {
			change(&o)
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		f := NewFetcher(o)
		r.current.Set(version(5))
		go f.Run(ctx)
		test(r)
	})
}

// setAnswering begins or ends the time in which the log answers.
func (r *peerRig) setAnswering(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answering, r.answeredAt = on, time.Now()
}

// inForce returns the version in force after a time.
func (r *peerRig) inForce(after time.Duration) int64 {
	time.Sleep(after)
	synctest.Wait()
	return r.current.Get().Version
}

// Guards against a daemon that accepts revoked keys for longer than 3 s because it does not
// get through to the log, also while all others but one are silent or as cut off as it is.
func TestConfigurationComesFromAnotherDaemon(t *testing.T) {
	run(t, nil, func(r *peerRig) {
		for range 6 {
			r.addPeer(nil)
			r.addPeer(version(5))
		}
		r.addPeer(version(6))
		r.g.Expect(r.inForce(configMaxAge)).To(Equal(int64(6)))
		r.peers["12"].opt.Current.Set(version(7))
		r.g.Expect(r.inForce(configMaxAge)).To(Equal(int64(7)), "in an outage that goes on")
	})
}

// Guards against a daemon that gets no configuration because all others were replaced since
// it last read the log.
func TestConfigurationComesFromReplacedDaemons(t *testing.T) {
	run(t, nil, func(r *peerRig) {
		r.mu.Lock()
		r.replaced = true
		r.mu.Unlock()
		r.addPeer(nil)
		r.addPeer(version(6))
		r.g.Expect(r.inForce(configMaxAge)).To(Equal(int64(6)))
	})
}

// Guards against a daemon that goes back to an older configuration of another one, and
// against requests beyond two in 300 ms.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	run(t, nil, func(r *peerRig) {
		r.addPeer(version(4))
		r.addPeer(version(5))
		r.addPeer(nil)
		r.g.Expect(r.inForce(10 * time.Second)).To(Equal(int64(5)))
		for _, id := range []string{"0", "1"} {
			r.g.Expect(r.peers[id].respond(FetchRequest{HasVersion: true, Version: 5})).To(Equal(FetchResponse{}), "it holds nothing that is not newer")
		}
		rounds := int((10*time.Second-logSilence)/fetchInterval) + 1
		r.g.Expect(r.askedCount()).To(And(BeNumerically(">=", 2*rounds-2), BeNumerically("<=", 2*rounds)))
		r.current.Set(version(8))
		r.peers["0"].opt.Current.Set(version(7))
		r.g.Expect(r.inForce(time.Second)).To(Equal(int64(8)))
	})
}

// Guards against a record of another daemon that is applied although it is older: a daemon
// of another release may answer so.
func TestOlderRecordIsNotApplied(t *testing.T) {
	run(t, nil, func(r *peerRig) {
		p := version(9)
		p.Source.Value = []byte("3")
		r.addPeer(p)
		r.g.Expect(r.inForce(time.Second)).To(Equal(int64(5)))
	})
}

// Guards against messages between daemons while the log answers, and while the
// configuration has no customers.
func TestNobodyIsAskedWithoutNeed(t *testing.T) {
	run(t, nil, func(r *peerRig) {
		r.setAnswering(true)
		r.addPeer(version(6))
		r.g.Expect(r.inForce(time.Minute)).To(Equal(int64(5)))
		r.g.Expect(r.askedCount()).To(BeZero())
		r.setAnswering(false)
		r.g.Expect(r.inForce(logSilence - time.Millisecond)).To(Equal(int64(5)))
		r.g.Expect(r.askedCount()).To(BeZero())
		r.g.Expect(r.inForce(fetchInterval)).To(Equal(int64(6)))
	})
	run(t, nil, func(r *peerRig) {
		r.current.Set(New(6, nil, nil, Limits{}))
		r.addPeer(version(7))
		r.g.Expect(r.inForce(time.Minute)).To(Equal(int64(6)))
		r.g.Expect(r.askedCount()).To(BeZero())
	})
	run(t, func(o *FetcherOptions) { o.CustomersRequired = true }, func(r *peerRig) {
		r.current.Set(New(6, nil, nil, Limits{}))
		r.addPeer(version(7))
		r.g.Expect(r.inForce(time.Second)).To(Equal(int64(7)))
	})
}

// Guards against a daemon that has lost the log before it read a configuration and stays
// without one.
func TestDaemonWithoutConfigurationGetsOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &peerRig{g: NewWithT(t), current: &Current{}, answeredAt: time.Now(), peers: map[string]*Fetcher{}}
		r.addPeer(version(0))
		o := r.options(r.current)
		o.CustomersRequired = true
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		go NewFetcher(o).Run(ctx)
		time.Sleep(time.Second)
		synctest.Wait()
		r.g.Expect(r.current.Get()).NotTo(BeNil())
	})
}
