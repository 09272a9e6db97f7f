package duty

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"greengagedeck/internal/logstore/logtest"
)

// bubbleClock reads the virtual time of a synctest bubble.
type bubbleClock struct{ start time.Time }

func (c bubbleClock) Now() time.Duration { return time.Since(c.start) }
func (c bubbleClock) Wall() time.Time    { return time.Now() }

// daemon is one incarnation of a daemon. It records the events its Elector
// reports.
type daemon struct {
	*Elector
	self   Member
	cancel context.CancelFunc
	done   chan struct{}

	mu           sync.Mutex
	acquisitions []Acquisition
	acquiredAt   []time.Duration
	lost         []Token
}

func (d *daemon) Acquired(a Acquisition) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.acquisitions = append(d.acquisitions, a)
	d.acquiredAt = append(d.acquiredAt, d.opt.Clock.Now())
}

func (d *daemon) Lost(_ Name, t Token) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lost = append(d.lost, t)
}

// lastAcquisition returns the last acquisition and its time.
func (d *daemon) lastAcquisition() (Acquisition, time.Duration) {
	acquisitions, at, _ := d.events()
	if len(acquisitions) == 0 {
		return Acquisition{}, 0
	}
	return acquisitions[len(acquisitions)-1], at[len(at)-1]
}

// events returns all acquisitions, their times, and the tokens of lost duties.
func (d *daemon) events() ([]Acquisition, []time.Duration, []Token) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.acquisitions), slices.Clone(d.acquiredAt), slices.Clone(d.lost)
}

func (d *daemon) acquired() []Acquisition {
	acquisitions, _, _ := d.events()
	return acquisitions
}

func (d *daemon) lostTokens() []Token {
	_, _, lost := d.events()
	return lost
}

// cluster is a set of daemons that share a log and a network.
type cluster struct {
	clock           bubbleClock
	log             *logtest.Log
	wanted          []Name
	lastIncarnation int64

	mu      sync.Mutex
	daemons map[string]*daemon
	// isolated hosts cannot reach other daemons or be reached by them, and hosts in
	// cutZones those in other zones.
	isolated map[string]bool
	cutZones map[string]bool
}

func newCluster(wanted ...Name) *cluster {
	return &cluster{
		clock:    bubbleClock{time.Now()},
		log:      logtest.New(),
		wanted:   wanted,
		daemons:  map[string]*daemon{},
		isolated: map[string]bool{},
		cutZones: map[string]bool{},
	}
}

// start runs a daemon on a host until ctx ends.
func (n *cluster) start(ctx context.Context, host string, weight float64) *daemon {
	return n.startInZone(ctx, host, "", weight)
}

// startInZone runs a daemon on a host of a zone until ctx ends.
func (n *cluster) startInZone(ctx context.Context, host, zone string, weight float64) *daemon {
	n.mu.Lock()
	n.lastIncarnation++
	d := &daemon{self: Member{Host: host, Incarnation: n.lastIncarnation, Address: host, Zone: zone, Weight: weight}, done: make(chan struct{})}
	n.mu.Unlock()
	d.Elector = NewElector(Options{
		Self:     d.self,
		Log:      n.log.Client(host),
		Clock:    n.clock,
		Wanted:   func() []Name { return n.wanted },
		Observer: d,
		Prober:   prober{n, d.self},
		Logger:   zerolog.Nop(),
	})
	ctx, d.cancel = context.WithCancel(ctx)
	n.mu.Lock()
	n.daemons[host] = d
	n.mu.Unlock()
	go func() {
		defer close(d.done)
		d.Run(ctx)
	}()
	return d
}

// kill ends the process on a host.
func (n *cluster) kill(d *daemon) {
	n.mu.Lock()
	if n.daemons[d.self.Host] == d {
		delete(n.daemons, d.self.Host)
	}
	n.mu.Unlock()
	d.cancel()
	<-d.done
}

func (n *cluster) setIsolated(host string, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[host] = isolated
}

// setZoneCut cuts a zone off from the other zones and from the log, or heals the
// cut.
func (n *cluster) setZoneCut(zone string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutZones[zone] = cut
	var hosts []string
	for host, d := range n.daemons {
		if d.self.Zone == zone && cut {
			hosts = append(hosts, host)
		}
	}
	n.log.SetFault(func(c logtest.Call) logtest.Fault { return logtest.Fault{NoResponse: slices.Contains(hosts, c.Client)} })
}

// connected reports whether two daemons reach each other. The caller holds n.mu.
func (n *cluster) connected(a, b Member) bool {
	if n.isolated[a.Host] || n.isolated[b.Host] {
		return false
	}
	return a.Zone == b.Zone || !n.cutZones[a.Zone] && !n.cutZones[b.Zone]
}

// prober simulates the network as seen by one daemon.
type prober struct {
	net  *cluster
	self Member
}

// Witness implements Prober.
func (p prober) Witness(ctx context.Context, witness, m Member) WitnessResult {
	p.net.mu.Lock()
	asked, reached := p.net.connected(p.self, witness), p.net.connected(witness, m)
	p.net.mu.Unlock()
	switch {
	case !asked:
		pause(ctx, witnessTimeout, nil)
		return WitnessNoAnswer
	case !reached:
		pause(ctx, connectTimeout, nil)
		return WitnessCannotReach
	default:
		return WitnessReaches
	}
}

func (p prober) Probe(ctx context.Context, m Member, duty Name) ProbeResult {
	p.net.mu.Lock()
	connected := p.net.connected(p.self, m)
	d := p.net.daemons[m.Host]
	p.net.mu.Unlock()
	switch {
	case !connected:
		pause(ctx, connectDelay+connectTimeout, nil)
		return ProbeUnreachable
	case d == nil:
		return ProbeProcessEnded
	}
	if d.self.ID() != m.ID() {
		return ProbeNotHolder
	}
	return d.answerProbe(ProbeRequest{duty}).result()
}

// inBubble runs a test in virtual time. All daemons end with the test.
func inBubble(t *testing.T, test func(ctx context.Context, g *WithT)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		test(ctx, NewWithT(t))
	})
}

// advance lets virtual time pass and waits until everything due in it has
// happened.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

var pool = OfPool("a")
