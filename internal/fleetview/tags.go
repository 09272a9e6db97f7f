package fleetview

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"greengagedeck/internal/customer"
)

const (
	// maxTagged is how many customers have metrics of their own at a time.
	maxTagged = 32
	// maxEverTagged bounds the customers that have had metrics of their own since the
	// process started: the registry of metrics forgets no tag.
	maxEverTagged = 4 * maxTagged
	// retagInterval is the least time between two changes of the customers with metrics of
	// their own.
	retagInterval = time.Minute
	// otherTag is the tag of all other customers together.
	otherTag = "other"
)

// tags chooses the customers with metrics of their own.
type tags struct {
	chosen map[customer.ID]bool
	// ever are those that were chosen at any time.
	ever     map[customer.ID]bool
	chosenAt time.Duration
	// isChosen is set once customers were chosen, at chosenAt for the last time.
	isChosen bool
}

// candidate is a customer that may get metrics of its own.
type candidate struct {
	id     customer.ID
	weight float64
	jobs   int
}

// choose chooses the customers with the largest weights, and among equals those with the
// most open jobs. Work of no customer has the mean weight. It does nothing if they were
// chosen less than retagInterval ago.
func (t *tags) choose(weights map[customer.ID]float64, jobs map[customer.ID]int, now time.Duration) {
	if t.isChosen && now < t.chosenAt+retagInterval {
		return
	}
	all := candidates(weights, jobs)
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(b.jobs, a.jobs), cmp.Compare(a.id, b.id))
	})
	t.chosen, t.isChosen, t.chosenAt = map[customer.ID]bool{}, true, now
	if t.ever == nil {
		t.ever = map[customer.ID]bool{}
	}
	for _, c := range all {
		if len(t.chosen) < maxTagged && (t.ever[c.id] || len(t.ever) < maxEverTagged) {
			t.chosen[c.id], t.ever[c.id] = true, true
		}
	}
}

// candidates returns the customers that have a weight or jobs, but for those whose names
// are tags of something else.
func candidates(weights map[customer.ID]float64, jobs map[customer.ID]int) []candidate {
	mean := 0.0
	for _, w := range weights {
		mean += w / float64(len(weights))
	}
	ids := map[customer.ID]bool{}
	for id := range weights {
		ids[id] = true
	}
	for id := range jobs {
		ids[id] = true
	}
	var out []candidate
	for id := range maps.Keys(ids) {
		c := candidate{id: id, weight: weights[id], jobs: jobs[id]}
		if id == "" {
			c.weight = mean
		}
		if id != otherTag && id != NoCustomer {
			out = append(out, c)
		}
	}
	return out
}

// of returns the tag of a customer.
func (t *tags) of(id customer.ID) string {
	if !t.chosen[id] {
		return otherTag
	}
	// A value that is not valid UTF-8 is a fault in the registry of metrics.
	return strings.ToValidUTF8(nameOf(id), "?")
}
