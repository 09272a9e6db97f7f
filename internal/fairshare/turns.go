package fairshare

import (
	"cmp"
	"container/heap"
	"time"
)

// Key orders customers by whose turn it is. The lowest is next.
type Key struct {
	// Excess is by how much the customer's dominant share, divided by its weight, exceeds that
	// of a customer that uses its part of the pool, or 0.
	Excess float64
	// LatestStart and Sequence are the urgency of its next work, which decides between
	// customers that do not exceed their parts.
	LatestStart time.Duration
	Sequence    int64
}

func (k Key) compare(o Key) int {
	return cmp.Or(cmp.Compare(k.Excess, o.Excess), cmp.Compare(k.LatestStart, o.LatestStart), cmp.Compare(k.Sequence, o.Sequence))
}

// Turns tells which of several customers is next, and is updated after each start. Order
// must be called once customers have been added. The zero value is empty.
type Turns[T any] struct{ entries turnHeap[T] }

type turn[T any] struct {
	key   Key
	value T
}

// Reset removes all customers.
func (t *Turns[T]) Reset() {
	clear(t.entries)
	t.entries = t.entries[:0]
}

// Add adds a customer, described by a value.
func (t *Turns[T]) Add(k Key, value T) { t.entries = append(t.entries, turn[T]{k, value}) }

// Order orders the customers.
func (t *Turns[T]) Order() { heap.Init(&t.entries) }

// Len returns the number of customers.
func (t *Turns[T]) Len() int { return len(t.entries) }

// First returns the customer that is next. There must be one.
func (t *Turns[T]) First() T { return t.entries[0].value }

// RunnerUp returns the key of the customer after the first, or false if there is none.
func (t *Turns[T]) RunnerUp() (Key, bool) {
	switch len(t.entries) {
	case 0, 1:
		return Key{}, false
	case 2:
		return t.entries[1].key, true
	default:
		if t.entries[2].key.compare(t.entries[1].key) < 0 {
			return t.entries[2].key, true
		}
		return t.entries[1].key, true
	}
}

// Update changes the key and the value of the first customer.
func (t *Turns[T]) Update(k Key, value T) {
	t.entries[0] = turn[T]{k, value}
	heap.Fix(&t.entries, 0)
}

// Remove removes the first customer.
func (t *Turns[T]) Remove() {
	last := len(t.entries) - 1
	t.entries[0] = t.entries[last]
	t.entries[last] = turn[T]{}
	t.entries = t.entries[:last]
	if last > 1 {
		heap.Fix(&t.entries, 0)
	}
}

// turnHeap implements heap.Interface. Push and Pop are not used: they would allocate for
// every customer of a plan.
type turnHeap[T any] []turn[T]

func (h turnHeap[T]) Len() int           { return len(h) }
func (h turnHeap[T]) Less(i, j int) bool { return h[i].key.compare(h[j].key) < 0 }
func (h turnHeap[T]) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *turnHeap[T]) Push(x any)        { *h = append(*h, x.(turn[T])) }

func (h *turnHeap[T]) Pop() any {
	last := len(*h) - 1
	out := (*h)[last]
	*h = (*h)[:last]
	return out
}
