package targetsim

import (
	"slices"
	"sync"
)

// Book counts how often each request was started, over all targets.
type Book struct {
	mu    sync.Mutex
	count map[string]int
	total int
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{count: map[string]int{}} }

func (b *Book) started(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.count[id]++
	b.total++
}

// Count returns how often a request was started.
func (b *Book) Count(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.count[id]
}

// Counts returns how often each of the requests was started.
func (b *Book) Counts(ids []string) map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]int, len(ids))
	for _, id := range ids {
		out[id] = b.count[id]
	}
	return out
}

// Summary is what a book holds in short.
type Summary struct {
	// Executions counts all starts and Requests the different IDs.
	Executions int `json:"executions"`
	Requests   int `json:"requests"`
	// MaxPerRequest is the most starts of one request.
	MaxPerRequest int `json:"max_per_request"`
	// Repeated lists the requests that were started more than once.
	Repeated []string `json:"repeated"`
}

// Summary returns the book's totals.
func (b *Book) Summary() Summary {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := Summary{Executions: b.total, Requests: len(b.count), Repeated: []string{}}
	for id, n := range b.count {
		s.MaxPerRequest = max(s.MaxPerRequest, n)
		if n > 1 {
			s.Repeated = append(s.Repeated, id)
		}
	}
	slices.Sort(s.Repeated)
	return s
}
