package membership

import (
	"maps"
	"net"
	"slices"
	"strconv"
)

// Seeds returns the peer addresses that a starting daemon may ask: those of
// its settings, of the folded members and of the entry hosts that the list
// names, without its own. Whichever answers first will do.
func Seeds(settings []string, s *State, r *ListReader, self Member) []string {
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

// peerAddress returns where the daemon of a listed entry host is dialled: the
// list's address as it is, or its IP number with this daemon's own peer port
// when the list names no port.
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
