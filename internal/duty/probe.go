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

// MethodProbe asks a daemon whether it can act for a duty that it holds.
const MethodProbe peer.Method = "duty.probe"

// ProbeRequest is the request of MethodProbe.
type ProbeRequest struct {
	Duty Name `cbor:"1,keyasint"`
}

// ProbeResponse is the response to a ProbeRequest.
type ProbeResponse struct {
	// Holds is set if the daemon believes that it holds the duty.
	Holds bool `cbor:"1,keyasint,omitempty"`
	// LogAge is how long ago the daemon last knew all claims in the log.
	LogAge time.Duration `cbor:"2,keyasint,omitempty"`
}

// MethodWitness asks a daemon whether it can connect to another daemon.
const MethodWitness peer.Method = "duty.witness"

// WitnessRequest is the request of MethodWitness.
type WitnessRequest struct {
	// Member is the ID of the other daemon.
	Member string `cbor:"1,keyasint"`
}

// WitnessResponse is the response to a WitnessRequest.
type WitnessResponse struct {
	// Known is set if the daemon knows the other one's address.
	Known bool `cbor:"1,keyasint,omitempty"`
	// Reaches is set if the other daemon's host accepts connections, or refuses
	// them.
	Reaches bool `cbor:"2,keyasint,omitempty"`
}

// ProbeResult is the outcome of probing the holder of a duty.
type ProbeResult uint8

// The results of a probe.
const (
	// ProbeNoAnswer means that the daemon did not answer, though its host accepts
	// connections.
	ProbeNoAnswer ProbeResult = iota
	// ProbeAble means that the daemon answered and can act.
	ProbeAble
	// ProbeLogUnreachable means that the daemon answered, but the log has not
	// answered it for at least maxLogAge.
	ProbeLogUnreachable
	// ProbeNotHolder means that the daemon answered and does not hold the duty.
	ProbeNotHolder
	// ProbeProcessEnded means that no process listens on the daemon's address.
	ProbeProcessEnded
	// ProbeUnreachable means that no connection to the daemon's host can be
	// opened: the host has no power, or one of the two hosts is cut off.
	ProbeUnreachable
)

// WitnessResult is what another daemon says of a daemon that cannot be reached
// from here.
type WitnessResult uint8

// The results of asking a witness.
const (
	// WitnessNoAnswer means that the witness did not answer or cannot tell.
	WitnessNoAnswer WitnessResult = iota
	// WitnessReaches means that the witness reaches the daemon's host.
	WitnessReaches
	// WitnessCannotReach means that the witness cannot reach the daemon's host
	// either.
	WitnessCannotReach
)

// Prober checks whether the holder of a duty can act.
type Prober interface {
	Probe(ctx context.Context, m Member, n Name) ProbeResult
	// Witness asks another daemon whether it reaches m.
	Witness(ctx context.Context, witness, m Member) WitnessResult
}

const (
	// probeTimeout bounds a probe, and witnessTimeout a question to a witness.
	probeTimeout   = 300 * time.Millisecond
	witnessTimeout = 250 * time.Millisecond
	// connectDelay is how long a probe waits for an answer before it checks
	// whether the host accepts connections, and connectTimeout bounds that check.
	connectDelay   = 80 * time.Millisecond
	connectTimeout = 150 * time.Millisecond
	// maxLogAge is the age of the log's last answer from which on a daemon
	// counts as unable to act.
	maxLogAge = 1500 * time.Millisecond
	// refreshLogAge is the age from which on a probe has the claims read: the answer comes
	// before the next probe finds maxLogAge. Reads that wait keep it lower while the log answers.
	refreshLogAge = maxLogAge - 300*time.Millisecond
)

// PeerProber probes over the connection between daemons.
type PeerProber struct{ Caller peer.Caller }

// probeAnswer is the answer to a probe.
type probeAnswer struct {
	response ProbeResponse
	err      error
}

// Probe implements Prober.
func (p PeerProber) Probe(ctx context.Context, m Member, n Name) ProbeResult {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	answers := make(chan probeAnswer, 1)
	go func() {
		var a probeAnswer
		a.err = p.Caller.Call(ctx, m.ID(), MethodProbe, ProbeRequest{n}, &a.response)
		answers <- a
	}()
	select {
	case a := <-answers:
		if a.err == nil {
			return a.response.result()
		}
	case <-time.After(connectDelay):
	}
	switch connect(m.Address) {
	case connectionRefused:
		return ProbeProcessEnded
	case connectionFailed:
		return ProbeUnreachable
	}
	select {
	case a := <-answers:
		if a.err == nil {
			return a.response.result()
		}
	case <-ctx.Done():
	}
	return ProbeNoAnswer
}

// Witness implements Prober.
func (p PeerProber) Witness(ctx context.Context, witness, m Member) WitnessResult {
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	var a WitnessResponse
	err := p.Caller.Call(ctx, witness.ID(), MethodWitness, WitnessRequest{m.ID()}, &a)
	switch {
	case err != nil || !a.Known:
		return WitnessNoAnswer
	case a.Reaches:
		return WitnessReaches
	default:
		return WitnessCannotReach
	}
}

func (a ProbeResponse) result() ProbeResult {
	switch {
	case !a.Holds:
		return ProbeNotHolder
	case a.LogAge < maxLogAge:
		return ProbeAble
	default:
		return ProbeLogUnreachable
	}
}

// connectResult is the outcome of opening a connection to a host.
type connectResult uint8

const (
	// connectionOpened means that the host accepts connections.
	connectionOpened connectResult = iota
	// connectionRefused means that nothing listens on the address.
	connectionRefused
	// connectionFailed means that the host did not answer in time.
	connectionFailed
)

// connect opens and closes a connection to an address.
func connect(addr string) connectResult {
	c, err := net.DialTimeout("tcp", addr, connectTimeout)
	switch {
	case err == nil:
		_ = c.Close()
		return connectionOpened
	case errors.Is(err, syscall.ECONNREFUSED):
		return connectionRefused
	default:
		return connectionFailed
	}
}

// Register registers the handlers for questions of other daemons.
func (e *Elector) Register(m peer.Mux) {
	m.Handle(MethodProbe, func(_ context.Context, _ string, body cbor.RawMessage) (any, error) {
		var q ProbeRequest
		if err := record.Decode(body, &q); err != nil {
			return nil, err
		}
		return e.answerProbe(q), nil
	})
	m.Handle(MethodWitness, func(_ context.Context, _ string, body cbor.RawMessage) (any, error) {
		var q WitnessRequest
		if err := record.Decode(body, &q); err != nil {
			return nil, err
		}
		return e.answerWitness(q), nil
	})
}

func (e *Elector) answerWitness(q WitnessRequest) WitnessResponse {
	addr, known := e.Address(q.Member)
	return WitnessResponse{Known: known, Reaches: known && connect(addr) != connectionFailed}
}

func (e *Elector) answerProbe(q ProbeRequest) ProbeResponse {
	now := e.opt.Clock.Now()
	e.mu.Lock()
	_, holds := e.held[q.Duty]
	a := ProbeResponse{Holds: holds, LogAge: now - e.confirmedAt}
	e.mu.Unlock()
	if holds && a.LogAge >= refreshLogAge {
		wake(e.refreshNow)
	}
	return a
}
