package scheduler

import "time"

// WorkerCounts are the workers of a pool by state. Each counts once, in the first state
// that applies.
type WorkerCounts struct {
	// Unlisted workers have or may have runs and are not in the platform's list.
	Unlisted int
	// Unreachable workers did not answer the last call.
	Unreachable int
	// Unreconciled workers were not polled yet, or have not reported all runs.
	Unreconciled int
	// Draining workers have announced that they leave, and Cordoned ones are kept free.
	Draining, Cordoned int
	// Ejected workers fail tasks or are stalled.
	Ejected int
	// Isolated workers have a task that may crash them, and take no other until they have
	// survived its start.
	Isolated int
	// Accepting workers take new tasks.
	Accepting int
	// AwaitingLease are the workers, in whatever state, that do not answer and whose
	// runs count as possibly active until their lease has expired.
	AwaitingLease int
}

// Listed returns the number of workers that are listed.
func (n WorkerCounts) Listed() int {
	return n.Unreachable + n.Unreconciled + n.Draining + n.Cordoned + n.Ejected + n.Isolated + n.Accepting
}

// countWorkers counts the workers by state.
func (c *Core) countWorkers(now time.Duration) WorkerCounts {
	var n WorkerCounts
	for id, ws := range c.workers {
		if len(ws.Runs) > 0 && !reachable(ws) && !ws.LeaseExpired(now) {
			n.AwaitingLease++
		}
		switch {
		case !ws.Listed:
			n.Unlisted++
		case ws.Address == "" || ws.UnansweredCalls > 0:
			n.Unreachable++
		case !ws.Fenced || !ws.Reconciled:
			n.Unreconciled++
		case ws.Draining:
			n.Draining++
		case ws.CordonReason != "":
			n.Cordoned++
		case c.ejected(id, now):
			n.Ejected++
		case ws.Isolated(now):
			n.Isolated++
		default:
			n.Accepting++
		}
	}
	return n
}
