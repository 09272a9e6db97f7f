package attempt

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// The bounds of a digest that another daemon sent.
const (
	maxDigestHosts = 10_000
	maxDigestCount = 1 << 30
)

// remoteCounts is the last digest of another daemon.
type remoteCounts struct {
	hosts map[string]hostCounts
	at    time.Time
}

type hostCounts struct {
	Pool   string `cbor:"1,keyasint"`
	Counts counts `cbor:"2,keyasint"`
}

// Digest returns what this daemon counted lately, to be merged by other
// daemons that try the same hosts.
func (e *Ejector) Digest(now time.Time) ([]byte, error) {
	e.mu.Lock()
	hosts := make(map[string]hostCounts, len(e.hosts))
	for name, h := range e.hosts {
		if c := h.window.sum(now); c.Tries > 0 {
			hosts[name] = hostCounts{Pool: h.pool, Counts: c}
		}
	}
	e.mu.Unlock()
	data, err := cbor.Marshal(hosts)
	return data, eris.Wrap(err, "encode ejector digest")
}

// Merge takes in the digest of another daemon. It replaces that daemon's
// earlier one, so merging it twice changes nothing. It counts for as long as a
// window, and it ejects nothing by itself: a host has to fail here too.
func (e *Ejector) Merge(daemon string, digest []byte, now time.Time) error {
	var hosts map[string]hostCounts
	if err := cbor.Unmarshal(digest, &hosts); err != nil {
		return eris.Wrap(err, "decode ejector digest")
	}
	if len(hosts) > maxDigestHosts {
		return eris.Errorf("ejector digest of %d hosts", len(hosts))
	}
	for host, hc := range hosts {
		c := hc.Counts
		if c.Failures < 0 || c.Failures > c.Tries || c.Tries > maxDigestCount {
			return eris.Errorf("ejector digest: %d of %d tries failed on %q", c.Failures, c.Tries, host)
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, rc := range e.remote {
		if now.Sub(rc.at) > windowLength {
			delete(e.remote, id)
		}
	}
	e.remote[daemon] = remoteCounts{hosts: hosts, at: now}
	return nil
}

// sum returns the tries at h in the window, here and at other daemons; mu must
// be held.
func (e *Ejector) sum(h *hostHealth, now time.Time) counts {
	total := h.window.sum(now)
	for _, rc := range e.remote {
		hc, ok := rc.hosts[h.name]
		if ok && hc.Pool == h.pool && now.Sub(rc.at) <= windowLength {
			total = total.plus(hc.Counts)
		}
	}
	return total
}
