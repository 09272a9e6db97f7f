package duty

import (
	"greengagedeck/internal/logstore"
	"greengagedeck/internal/record"
)

const (
	// PoolTokens is how many consecutive tokens a claim of a pool reserves, from its own on.
	PoolTokens = 16
	// reserved is the key of the records that occupy the offsets of reserved tokens. It names
	// no duty.
	reserved Name = "reserved"
)

// reservedTokens returns how many tokens a claim reserves. A release needs none: no order
// follows it.
func reservedTokens(n Name, c claimRecord) int {
	if _, pool := n.Pool(); !pool || c.Released {
		return 1
	}
	return PoolTokens
}

// claimEntries returns the entries of a claim, which have to be appended together: a token is
// an offset, so that records after the claim keep tokens from any later one. Daemons of earlier
// releases read them as releases of an unknown duty.
func claimEntries(n Name, c claimRecord) ([]logstore.Entry, error) {
	value, err := record.Encode(c)
	if err != nil {
		return nil, err
	}
	entries := []logstore.Entry{{Key: string(n), Value: value}}
	filler, err := record.Encode(claimRecord{Released: true})
	if err != nil {
		return nil, err
	}
	for len(entries) < reservedTokens(n, c) {
		entries = append(entries, logstore.Entry{Key: string(reserved), Value: filler})
	}
	return entries, nil
}
