package catalogue

// mergeDocuments returns the objects of base and top. An object of top replaces
// the one of the same name in base. The objects of top come first and keep their
// order, so that positions in its file remain valid.
func mergeDocuments(base, top Document) Document {
	return Document{
		Version: top.Version,
		Teams:   mergeObjects(base.Teams, top.Teams, func(t Team) string { return t.Name }),
		Pools:   mergeObjects(base.Pools, top.Pools, func(p Pool) string { return p.Name }),
		Hosts:   mergeObjects(base.Hosts, top.Hosts, func(h Host) string { return h.Name }),
		Entries: mergeObjects(base.Entries, top.Entries, func(e Entry) string { return e.Name }),
		Waves:   mergeObjects(base.Waves, top.Waves, func(w Wave) string { return w.Name }),
	}
}

func mergeObjects[T any](base, top []T, name func(T) string) []T {
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
