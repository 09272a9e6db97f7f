package membership

import (
	"maps"
	"net"
	"slices"
	"strconv"
)

// SeedAddresses returns the peer addresses at which a starting daemon may fetch
// state: those of its settings, of the known members and of the listed entry
// hosts, without its own. An answer from any of them is enough.
func SeedAddresses(settings []string, s *State, r *ListReader, self Member) []string {
	set := map[string]bool{}
	for _, a := range settings {
		set[a] = true
	}
	for _, m := range s.Members {
		set[m.PeerAddress] = true
	}
	if r != nil {
		for _, h := range r.EntryHosts() {
			if a := peerAddress(h.Address, self.PeerAddress); a != "" {
				set[a] = true
			}
		}
	}
	delete(set, self.PeerAddress)
	return slices.Sorted(maps.Keys(set))
}

// peerAddress returns the address to dial for the daemon of a listed entry host:
// the listed address unchanged, or the listed IP address with this daemon's own
// peer port if the list gives no port. It returns "" for any other form.
func peerAddress(listed, own string) string {
	if _, _, err := net.SplitHostPort(listed); err == nil {
		return listed
	}
	if net.ParseIP(listed) == nil {
		return ""
	}
	_, port, err := net.SplitHostPort(own)
	if err != nil {
		return ""
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return ""
	}
	return net.JoinHostPort(listed, port)
}
