package job

// Selector selects the requests that a catalogue entry serves: those of a host whose path
// is the prefix and a job's ID. Operators may rename an entry, so that its name tells
// nothing of which requests it has served.
type Selector struct {
	Host       string `cbor:"1,keyasint,omitempty"`
	PathPrefix string `cbor:"2,keyasint,omitempty"`
}

// SubmittedThrough reports whether a job with these terms was submitted through the selected
// requests of an entry.
func (t *Terms) SubmittedThrough(entry string, s Selector) bool {
	return sameRequests(t.Entry, t.Selector, entry, s)
}

// sameRequests reports whether two entries serve the same requests. Where a selector is not
// known, since an earlier release has written it, their names decide.
func sameRequests(entryA string, a Selector, entryB string, b Selector) bool {
	if a == (Selector{}) || b == (Selector{}) {
		return entryA == entryB
	}
	return a == b
}
