package catalogue

// overlay returns base with the objects of top in place of those of the same
// name. The objects of top come first and in their order, so that positions in
// its file stay valid.
func overlay(base, top Document) Document {
	return Document{
		Version: top.Version,
		Teams:   overlayObjects(base.Teams, top.Teams, func(t Team) string { return t.Name }),
		Pools:   overlayObjects(base.Pools, top.Pools, func(p Pool) string { return p.Name }),
		Hosts:   overlayObjects(base.Hosts, top.Hosts, func(h Host) string { return h.Name }),
		Entries: overlayObjects(base.Entries, top.Entries, func(e Entry) string { return e.Name }),
		Waves:   overlayObjects(base.Waves, top.Waves, func(w Wave) string { return w.Name }),
	}
}

func overlayObjects[T any](base, top []T, name func(T) string) []T {
	replaced := map[string]bool{}
	out := append([]T(nil), top...)
	for _, v := range top {
		replaced[name(v)] = true
	}
	for _, v := range base {
		if !replaced[name(v)] {
			out = append(out, v)
		}
	}
	return out
}
