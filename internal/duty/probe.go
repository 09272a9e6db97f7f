package duty

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"

	"greengagedeck/internal/peer"
	"greengagedeck/internal/record"
)

// MethodProbe asks a daemon whether it can act for the duties that it holds.
const MethodProbe peer.Method = "duty.probe"

// ProbeQuery is the message of MethodProbe.
type ProbeQuery struct {
	Duty Name `cbor:"1,keyasint"`
}

// ProbeAnswer is the answer to a ProbeQuery.
type ProbeAnswer struct {
	// Holds is set when the daemon believes that it holds the duty.
	Holds bool `cbor:"1,keyasint,omitempty"`
	// LogAge is how long ago the log answered it last.
	LogAge time.Duration `cbor:"2,keyasint,omitempty"`
}

// Health is what a probe found.
type Health uint8

// What a probe can find.
const (
	// Silent daemons did not answer.
	Silent Health = iota
	// Able daemons answered and can act.
	Able
	// CutOff daemons answered, and the log has not answered them for a while.
	CutOff
	// Stranger daemons answered and do not hold the duty.
	Stranger
	// Dead daemons have no process that listens on their address.
	Dead
)

// Prober finds out about the holder of a duty.
type Prober interface {
	Probe(ctx context.Context, m Member, n Name) Health
}

const (
	// probeTimeout bounds a probe.
	probeTimeout = 300 * time.Millisecond
	// ableAge is how long ago the log may have answered a daemon that can act.
	ableAge = 1500 * time.Millisecond
)

// PeerProber probes over the link between daemons.
type PeerProber struct{ Caller peer.Caller }

// Probe implements Prober.
func (p PeerProber) Probe(ctx context.Context, m Member, n Name) Health {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	refused := make(chan bool, 1)
	go func() { refused <- refusesConnections(m.Address) }()
	var a ProbeAnswer
	err := p.Caller.Call(ctx, m.ID(), MethodProbe, ProbeQuery{n}, &a)
	switch {
	case err != nil && <-refused:
		return Dead
	case err != nil:
		return Silent
	default:
		return a.result()
	}
}

func (a ProbeAnswer) result() Health {
	switch {
	case !a.Holds:
		return Stranger
	case a.LogAge < ableAge:
		return Able
	default:
		return CutOff
	}
}

// refusesConnections reports whether nothing listens on an address.
func refusesConnections(addr string) bool {
	c, err := net.DialTimeout("tcp", addr, probeTimeout)
	if err == nil {
		_ = c.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// Register answers other daemons' probes.
func (k *Keeper) Register(m peer.Mux) {
	m.Handle(MethodProbe, func(_ context.Context, _ string, body cbor.RawMessage) (any, error) {
		var q ProbeQuery
		if err := record.Decode(body, &q); err != nil {
			return nil, err
		}
		return k.probed(q), nil
	})
}

func (k *Keeper) probed(q ProbeQuery) ProbeAnswer {
	now := k.opt.Clock.Now()
	k.mu.Lock()
	_, holds := k.held[q.Duty]
	a := ProbeAnswer{Holds: holds, LogAge: now - k.confirmed}
	k.mu.Unlock()
	if a.result() == CutOff {
		wake(k.refreshNow)
	}
	return a
}
