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

// ProbeResult is the outcome of probing the holder of a duty.
type ProbeResult uint8

// The results of a probe.
const (
	// ProbeNoAnswer means that the daemon did not answer.
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
)

// Prober checks whether the holder of a duty can act.
type Prober interface {
	Probe(ctx context.Context, m Member, n Name) ProbeResult
}

const (
	// probeTimeout bounds a probe.
	probeTimeout = 300 * time.Millisecond
	// maxLogAge is the age of the log's last answer from which on a daemon
	// counts as unable to act.
	maxLogAge = 1500 * time.Millisecond
)

// PeerProber probes over the connection between daemons.
type PeerProber struct{ Caller peer.Caller }

// Probe implements Prober.
func (p PeerProber) Probe(ctx context.Context, m Member, n Name) ProbeResult {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	refused := make(chan bool, 1)
	go func() { refused <- refusesConnections(m.Address) }()
	var resp ProbeResponse
	err := p.Caller.Call(ctx, m.ID(), MethodProbe, ProbeRequest{n}, &resp)
	switch {
	case err != nil && <-refused:
		return ProbeProcessEnded
	case err != nil:
		return ProbeNoAnswer
	default:
		return resp.result()
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

// refusesConnections reports whether nothing listens on an address.
func refusesConnections(addr string) bool {
	c, err := net.DialTimeout("tcp", addr, probeTimeout)
	if err == nil {
		_ = c.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// Register registers the handler for probes by other daemons.
func (e *Elector) Register(m peer.Mux) {
	m.Handle(MethodProbe, func(_ context.Context, _ string, body cbor.RawMessage) (any, error) {
		var q ProbeRequest
		if err := record.Decode(body, &q); err != nil {
			return nil, err
		}
		return e.answerProbe(q), nil
	})
}

func (e *Elector) answerProbe(q ProbeRequest) ProbeResponse {
	now := e.opt.Clock.Now()
	e.mu.Lock()
	_, holds := e.held[q.Duty]
	a := ProbeResponse{Holds: holds, LogAge: now - e.confirmedAt}
	e.mu.Unlock()
	if a.result() == ProbeLogUnreachable {
		wake(e.refreshNow)
	}
	return a
}
