package scheduler

import (
	"slices"

	"greengagedeck/internal/job"
	"greengagedeck/internal/worker"
)

// noteHost records which worker was started last on a host, going by the list of workers
// of all pools.
func (c *Core) noteHost(l worker.Listing) {
	if l.Host == "" {
		return
	}
	if last, known := c.newestOnHost[l.Host]; !known || l.Incarnation.StartedAt > last.StartedAt {
		c.newestOnHost[l.Host] = l.Incarnation
	}
}

// replacedOnHost reports whether another worker has been started on a worker's host
// since. One host runs one worker at a time, so the earlier one has ended, with all of its
// runs.
func (c *Core) replacedOnHost(ws *worker.State) bool {
	newest, known := c.newestOnHost[ws.Host]
	return ws.Host != "" && known && newest.ID != ws.Incarnation.ID && newest.StartedAt > ws.Incarnation.StartedAt
}

// endReplaced ends the runs of workers that do not answer and whose hosts run other
// workers: their leases need not be waited for.
func (c *Core) endReplaced(t Times) {
	var ended []string
	for id, ws := range c.workers {
		if len(ws.Runs) > 0 && ws.UnansweredCalls > 0 && c.replacedOnHost(ws) {
			ended = append(ended, id)
		}
	}
	slices.Sort(ended)
	for _, id := range ended {
		ws := c.workers[id]
		c.opt.Logger.Info().Str("worker", id).Str("on", ws.Host).Str("newer", c.newestOnHost[ws.Host].ID).Int("runs", len(ws.Runs)).Msg("another worker has been started on the worker's host")
		c.recordCrash(ws, t)
		for _, r := range sortedRuns(ws) {
			c.recordEnd(ws, r, job.EndWorkerLost, "", t)
		}
		c.dropIdle(id)
	}
}
