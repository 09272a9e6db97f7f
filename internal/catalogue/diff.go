package catalogue

import (
	"bytes"
	"cmp"
	"errors"
	"maps"
	"slices"

	"github.com/rotisserie/eris"

	"greengagedeck/internal/record"
)

// Document returns the catalogue as a document, with objects sorted by name.
func (s *State) Document() Document {
	return Document{
		Version: s.Version,
		Teams:   sortedValues(s.Teams),
		Pools:   sortedValues(s.Pools),
		Hosts:   sortedValues(s.Hosts),
		Entries: sortedValues(s.Entries),
		Waves:   sortedValues(s.Waves),
	}
}

func sortedValues[T any](m map[string]Versioned[T]) []T {
	out := make([]T, 0, len(m))
	for _, name := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[name].Value)
	}
	return out
}

// Diff returns the changes that turn from into to, sorted by kind and name.
// Objects that to does not contain are deleted only if prune is set.
func Diff(from, to Document, prune bool) ([]Change, error) {
	old, err := encodeObjects(from)
	if err != nil {
		return nil, err
	}
	want, err := encodeObjects(to)
	if err != nil {
		return nil, err
	}
	var out []Change
	for k, spec := range want {
		if was, ok := old[k]; !ok || !bytes.Equal(was, spec) {
			out = append(out, Change{Key: k, Spec: spec})
		}
	}
	for k := range old {
		if _, ok := want[k]; !ok && prune {
			out = append(out, Change{Key: k, Delete: true})
		}
	}
	slices.SortFunc(out, func(a, b Change) int { return compareKeys(a.Key, b.Key) })
	return out, nil
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

// encodeObjects returns the CBOR encoding of every object of a document.
func encodeObjects(d Document) (map[Key][]byte, error) {
	out := map[Key][]byte{}
	add := func(kind Kind, name string, v any) error {
		data, err := record.Encode(v)
		if err != nil {
			return eris.Wrapf(err, "%s/%s", kind, name)
		}
		out[Key{kind, name}] = data
		return nil
	}
	var errs []error
	for _, t := range d.Teams {
		errs = append(errs, add(KindTeam, t.Name, t))
	}
	for _, p := range d.Pools {
		errs = append(errs, add(KindPool, p.Name, p))
	}
	for _, h := range d.Hosts {
		errs = append(errs, add(KindHost, h.Name, h))
	}
	for _, e := range d.Entries {
		errs = append(errs, add(KindEntry, e.Name, e))
	}
	for _, w := range d.Waves {
		errs = append(errs, add(KindWave, w.Name, w))
	}
	return out, eris.Wrap(errors.Join(errs...), "encode catalogue")
}
