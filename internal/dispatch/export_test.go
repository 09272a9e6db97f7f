package dispatch

// HeapSwaps returns how many swaps the heaps of waiting jobs have made.
func (s *Scheduler) HeapSwaps() int {
	n := 0
	for _, q := range s.queues {
		for _, f := range q.flows {
			n += f.jobs.swaps
		}
	}
	return n
}

// LongSlotUsage returns how many slots long jobs hold and may hold.
func (s *Scheduler) LongSlotUsage() (held, share int) { return s.usedByLong, s.longSlotLimit() }
