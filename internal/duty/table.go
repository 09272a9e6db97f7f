// Package duty elects the daemon that holds each duty: to schedule a pool, or
// to order the move and maintenance of hosts. A duty is claimed by a
// conditional append to the log; the position of the claim in the log is its
// fencing token.
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

// Name identifies a duty.
type Name string

// Fleet is the duty to order the move and maintenance of hosts.
const Fleet Name = "fleet"

const poolPrefix = "pool/"

// OfPool returns the duty to schedule a pool.
func OfPool(pool string) Name { return Name(poolPrefix + pool) }

// Pool returns the pool that the duty schedules, and whether it is a duty to
// schedule a pool.
func (n Name) Pool() (string, bool) { return strings.CutPrefix(string(n), poolPrefix) }

// Token is a fencing token of a holder's orders: every claim has a higher one
// than all claims before it, and than all that these reserve.
type Token int64

// Member is one incarnation (process) of a daemon.
type Member struct {
	Host string `cbor:"1,keyasint"`
	// Incarnation rises with every start of the daemon on its host.
	Incarnation int64 `cbor:"2,keyasint"`
	// Address is the IP:port at which other daemons reach it.
	Address string `cbor:"3,keyasint"`
	Zone    string `cbor:"4,keyasint"`
	// Weight is the amount of work that the host can carry, such as its share
	// of a core.
	Weight float64 `cbor:"5,keyasint"`
}

// ID identifies this incarnation of the daemon.
func (m Member) ID() string { return fmt.Sprintf("%s#%x", m.Host, m.Incarnation) }

// heartbeatRecord is the value of a heartbeat record. Its key is the host.
type heartbeatRecord struct {
	Member Member `cbor:"1,keyasint"`
	// Leaving is set if the daemon claims no duties any more and is about to
	// release those it holds.
	Leaving bool `cbor:"2,keyasint,omitempty"`
}

// claimRecord is the value of a claim record. Its key is the duty.
type claimRecord struct {
	Holder Member `cbor:"1,keyasint"`
	// Released is set if the holder gave the duty up, so that it has no holder.
	Released bool `cbor:"2,keyasint,omitempty"`
	// PriorLeaseRemaining is how long after the claim an earlier holder may
	// still act.
	PriorLeaseRemaining time.Duration `cbor:"3,keyasint,omitempty"`
	// ReleasedToken is the token under which the duty was held that is given up.
	ReleasedToken Token `cbor:"4,keyasint,omitempty"`
}

// Claim is the last claim of a duty.
type Claim struct {
	Duty   Name
	Holder Member
	Token  Token
	// Released is set once the holder has given the duty up.
	Released bool
	// HolderToken is the token of the last holder: that of the claim, or the one under
	// which a duty was held that has been given up. It is 0 if it is not known.
	HolderToken Token
	// PriorLeaseRemaining is how long after the claim an earlier holder may still act.
	PriorLeaseRemaining time.Duration
}

// Peer is a daemon as described by its last heartbeat.
type Peer struct {
	Member
	// Leaving is set while the daemon stops.
	Leaving bool
	// HeartbeatSeen is when its last heartbeat was read, by this daemon's
	// clock.
	HeartbeatSeen time.Duration
}

// table is the state of claims and daemons according to the log. It is a
// deterministic reduction: the same records give the same table.
type table struct {
	claims map[Name]Claim
	// claimReadAt is when the last claim was first read, by this daemon's
	// clock.
	claimReadAt map[Name]time.Duration
	peers       map[string]Peer
}

func newTable() *table {
	return &table{claims: map[Name]Claim{}, claimReadAt: map[Name]time.Duration{}, peers: map[string]Peer{}}
}

// applyClaim applies a claim record. Records arrive in log order, except that
// known ones may be repeated after a reset of the read position.
func (t *table) applyClaim(r logstore.Record, now time.Duration) error {
	var c claimRecord
	if err := record.Decode(r.Value, &c); err != nil {
		return eris.Wrapf(err, "decode claim of duty %q", r.Key)
	}
	name := Name(r.Key)
	token := Token(r.Offset + 1)
	if token <= t.claims[name].Token {
		return nil
	}
	holderToken := token
	if c.Released {
		holderToken = c.ReleasedToken
	}
	t.claims[name] = Claim{Duty: name, Holder: c.Holder, Token: token, Released: c.Released, HolderToken: holderToken, PriorLeaseRemaining: c.PriorLeaseRemaining}
	t.claimReadAt[name] = now
	return nil
}

// applyHeartbeat applies a heartbeat record. An empty value removes the daemon.
func (t *table) applyHeartbeat(r logstore.Record, now time.Duration) error {
	if len(r.Value) == 0 {
		delete(t.peers, r.Key)
		return nil
	}
	var h heartbeatRecord
	if err := record.Decode(r.Value, &h); err != nil {
		return eris.Wrapf(err, "decode heartbeat of host %q", r.Key)
	}
	if t.peers[r.Key].Incarnation > h.Member.Incarnation {
		// An append whose answer was lost may take effect after the process
		// that sent it has ended and another one has replaced it.
		return nil
	}
	t.peers[r.Key] = Peer{Member: h.Member, Leaving: h.Leaving, HeartbeatSeen: now}
	return nil
}

// livePeers returns the daemons whose last heartbeat was read less than age
// ago, sorted by host.
func (t *table) livePeers(now, age time.Duration) []Peer {
	var out []Peer
	for _, p := range t.peers {
		if now-p.HeartbeatSeen < age {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b Peer) int { return cmp.Compare(a.Host, b.Host) })
	return out
}

// vacant reports whether a duty is known to have no holder.
func (t *table) vacant(n Name) bool {
	c, ok := t.claims[n]
	if !ok || c.Released {
		return true
	}
	// A later incarnation on the holder's host shows that the holder's process
	// has ended.
	p, seen := t.peers[c.Holder.Host]
	return seen && p.Incarnation > c.Holder.Incarnation
}

// priorLeaseRemaining returns how long from now on an earlier holder of a duty
// may act after the last one has stopped.
func (t *table) priorLeaseRemaining(n Name, now time.Duration) time.Duration {
	return max(0, t.claimReadAt[n]+t.claims[n].PriorLeaseRemaining-now)
}

// lastSignOfLife returns when the last claim of a duty or the last heartbeat
// from its holder's host was read, whichever is later.
func (t *table) lastSignOfLife(n Name) time.Duration {
	last := t.claimReadAt[n]
	if p, seen := t.peers[t.claims[n].Holder.Host]; seen {
		last = max(last, p.HeartbeatSeen)
	}
	return last
}

// sameZoneFactor multiplies the load of candidates in the last holder's zone: what
// made it unable to act may affect its whole zone.
const sameZoneFactor = 2

// candidate is a daemon that may claim a duty.
type candidate struct {
	host string
	// load is how many duties the daemon would hold relative to its weight, and
	// zoneDuties how many are held in its zone.
	load       float64
	zoneDuties int
	hash       uint64
}

// candidates returns the live daemons in the order in which they should claim a
// duty. Those that would hold the fewest duties relative to their weight come
// first, and among those the ones in zones with the fewest duties. The last holder
// and daemons that are leaving are no candidates.
func (t *table) candidates(n Name, live []Peer) []candidate {
	held, heldInZone := map[string]float64{}, map[string]int{}
	for _, c := range t.claims {
		if !c.Released {
			held[c.Holder.Host]++
			heldInZone[c.Holder.Zone]++
		}
	}
	var list []candidate
	last := t.claims[n].Holder
	for _, p := range live {
		if p.Leaving || p.Host == last.Host {
			continue
		}
		load := (held[p.Host] + 1) / max(p.Weight, minWeight)
		if p.Zone == last.Zone {
			load *= sameZoneFactor
		}
		list = append(list, candidate{p.Host, load, heldInZone[p.Zone], xxhash.Sum64String(string(n) + "|" + p.Host)})
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.load, b.load), cmp.Compare(a.zoneDuties, b.zoneDuties), cmp.Compare(a.hash, b.hash))
	})
	return list
}

// rank returns the position of a daemon among the candidates for a duty. A daemon
// that is no candidate ranks after all others.
func (t *table) rank(n Name, self Member, live []Peer) int {
	list := t.candidates(n, live)
	at := slices.IndexFunc(list, func(c candidate) bool { return c.host == self.Host })
	if at < 0 {
		return len(list)
	}
	return at
}

// minWeight prevents a division by zero for daemons without a weight.
const minWeight = 0.01
