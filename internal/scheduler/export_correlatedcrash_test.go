package scheduler

// SuspectTasks returns how many tasks may have crashed their worker, as far as the core
// knows.
func SuspectTasks(c *Core) int {
	n := 0
	for _, j := range c.jobs {
		for i := range j.Crashes {
			if j.Crashes[i].Certain > 0 {
				n++
			}
		}
	}
	return n
}

// PossibleCrashes returns how many crashes are counted of which it is not known whether
// the task was on the worker.
func PossibleCrashes(c *Core) int {
	n := 0
	for _, j := range c.jobs {
		for i := range j.Crashes {
			n += j.Crashes[i].Possible
		}
	}
	return n
}
