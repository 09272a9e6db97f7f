package scheduler

// MeantForProcess returns the start of the worker's process that a start was made for.
func (s StartOrder) MeantForProcess() int64 { return s.startedAt }

// MeantForProcess returns the start of the worker's process that a poll was made for.
func (p Poll) MeantForProcess() int64 { return p.startedAt }
