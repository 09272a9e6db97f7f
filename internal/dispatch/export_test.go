package dispatch

// Moves returns how many steps the heaps of waiting jobs have taken.
func (s *Scheduler) Moves() int {
	n := 0
	for _, q := range s.queues {
		for _, f := range q.flows {
			n += f.jobs.moves
		}
	}
	return n
}

// LongSlots returns how many slots long work holds and may hold.
func (s *Scheduler) LongSlots() (held, share int) { return s.long, s.longSlots() }
