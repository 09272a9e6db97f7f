package worker

// RunObserver is told of every run that a worker's state gains or loses, whatever the
// cause. Its methods must not change the state.
type RunObserver interface {
	RunAdded(*Run)
	RunRemoved(*Run)
}

// ObserveRuns replaces the observer of the worker's runs. The runs that the worker has
// count as removed for the present observer and as added for the new one. Either may be
// nil.
func (s *State) ObserveRuns(o RunObserver) {
	for _, r := range s.Runs {
		if s.observer != nil {
			s.observer.RunRemoved(r)
		}
		if o != nil {
			o.RunAdded(r)
		}
	}
	s.observer = o
}
