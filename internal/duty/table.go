// Package duty decides which daemon holds which duty: to schedule a pool, or
// to order hosts moved and maintained. A duty is claimed by a conditional
// append; the claim's place in the log is its fencing token.
package duty

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"greengagedeck/internal/logstore"
	"greengagedeck/internal/record"
)

// Name names a duty.
type Name string

// Fleet is the duty to order hosts moved and maintained.
const Fleet Name = "fleet"

const poolPrefix = "pool/"

// OfPool returns the duty to schedule a pool.
func OfPool(pool string) Name { return Name(poolPrefix + pool) }

// Pool returns the pool that the duty schedules, if it is of that kind.
func (n Name) Pool() (string, bool) { return strings.CutPrefix(string(n), poolPrefix) }

// Token fences what a holder does: every claim has a higher one than all
// claims before it.
type Token int64

// Member is one life of a daemon.
type Member struct {
	Host string `cbor:"1,keyasint"`
	// Incarnation rises with every life of the daemon on its host.
	Incarnation int64 `cbor:"2,keyasint"`
	// Address is the IP:port for other daemons.
	Address string `cbor:"3,keyasint"`
	Zone    string `cbor:"4,keyasint"`
	// Weight is the part of the work that the host can carry, such as its
	// share of a core.
	Weight float64 `cbor:"5,keyasint"`
}

// ID names this life of the daemon.
func (m Member) ID() string { return fmt.Sprintf("%s#%x", m.Host, m.Incarnation) }

// heartbeat is the value of a daemon's key.
type heartbeat struct {
	Member Member `cbor:"1,keyasint"`
	// Leaving daemons claim nothing and are about to release what they hold.
	Leaving bool `cbor:"2,keyasint,omitempty"`
}

// claim is the value of a duty's key.
type claim struct {
	Holder Member `cbor:"1,keyasint"`
	// Released duties have no holder any more.
	Released bool `cbor:"2,keyasint,omitempty"`
	// ActsFor is how long after the claim an earlier holder may still act.
	ActsFor time.Duration `cbor:"3,keyasint,omitempty"`
}

// Claim is a duty's last claim.
type Claim struct {
	Duty   Name
	Holder Member
	Token  Token
	// Released is set once the holder has given the duty up.
	Released bool
	// ActsFor is how long after the claim an earlier holder may still act.
	ActsFor time.Duration
}

// Peer is a daemon as its heartbeats show it.
type Peer struct {
	Member
	// Leaving is set while it stops.
	Leaving bool
	// HeartbeatSeen is when its last heartbeat was read, by this daemon's clock.
	HeartbeatSeen time.Duration
}

// table is what the log says about claims and daemons. It is a fold: the same
// records give the same table.
type table struct {
	claims map[Name]Claim
	// claimReadAt is when a claim was first read, by this daemon's clock.
	claimReadAt map[Name]time.Duration
	peers map[string]Peer
}

func newTable() *table {
	return &table{claims: map[Name]Claim{}, claimReadAt: map[Name]time.Duration{}, peers: map[string]Peer{}}
}

// foldClaim notes a claim. Records come in the order of the log, except that a
// reset may repeat known ones.
func (t *table) foldClaim(r logstore.Record, now time.Duration) error {
	var c claim
	if err := record.Decode(r.Value, &c); err != nil {
		return eris.Wrapf(err, "claim of %q", r.Key)
	}
	name := Name(r.Key)
	token := Token(r.Offset + 1)
	if token <= t.claims[name].Token {
		return nil
	}
	t.claims[name] = Claim{Duty: name, Holder: c.Holder, Token: token, Released: c.Released, ActsFor: c.ActsFor}
	t.claimReadAt[name] = now
	return nil
}

func (t *table) foldHeartbeat(r logstore.Record, now time.Duration) error {
	if len(r.Value) == 0 {
		delete(t.peers, r.Key)
		return nil
	}
	var h heartbeat
	if err := record.Decode(r.Value, &h); err != nil {
		return eris.Wrapf(err, "heartbeat of %q", r.Key)
	}
	if t.peers[r.Key].Incarnation > h.Member.Incarnation {
		// An append whose answer was lost may take effect after its author
		// has ended and another process has taken its place.
		return nil
	}
	t.peers[r.Key] = Peer{Member: h.Member, Leaving: h.Leaving, HeartbeatSeen: now}
	return nil
}

// live returns the daemons whose heartbeat was read less than age ago.
func (t *table) live(now, age time.Duration) []Peer {
	var out []Peer
	for _, p := range t.peers {
		if now-p.HeartbeatSeen < age {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b Peer) int { return cmp.Compare(a.Host, b.Host) })
	return out
}

// vacant reports whether a duty certainly has no holder.
func (t *table) vacant(n Name) bool {
	c, ok := t.claims[n]
	if !ok || c.Released {
		return true
	}
	// Another process on the holder's host shows that the holder has ended.
	p, seen := t.peers[c.Holder.Host]
	return seen && p.Incarnation > c.Holder.Incarnation
}

// actsFor returns how long from now on a holder of a duty may act, when the last
// one has stopped.
func (t *table) actsFor(n Name, now time.Duration) time.Duration {
	return max(0, t.claimReadAt[n]+t.claims[n].ActsFor-now)
}

// lastSign returns when the holder of a duty last gave a sign of life in the log.
func (t *table) lastSign(n Name) time.Duration {
	last := t.claimReadAt[n]
	if p, seen := t.peers[t.claims[n].Holder.Host]; seen {
		last = max(last, p.HeartbeatSeen)
	}
	return last
}

// rank returns the place of a daemon in the order in which the live ones other
// than the last holder should claim a duty: those that will hold the least for
// their weight first.
func (t *table) rank(n Name, self Member, live []Peer) int {
	held := map[string]float64{}
	for _, c := range t.claims {
		if !c.Released {
			held[c.Holder.Host]++
		}
	}
	type candidate struct {
		host string
		load float64
		hash uint64
	}
	var list []candidate
	last := t.claims[n].Holder.Host
	for _, p := range live {
		if p.Leaving || p.Host == last {
			continue
		}
		load := (held[p.Host] + 1) / max(p.Weight, minWeight)
		list = append(list, candidate{p.Host, load, xxhash.Sum64String(string(n) + "|" + p.Host)})
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.load, b.load), cmp.Compare(a.hash, b.hash))
	})
	at := slices.IndexFunc(list, func(c candidate) bool { return c.host == self.Host })
	if at < 0 {
		return len(list)
	}
	return at
}

// minWeight keeps a daemon that names no weight from dividing by zero.
const minWeight = 0.01
