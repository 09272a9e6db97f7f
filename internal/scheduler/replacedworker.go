package scheduler

import (
	"slices"

	"greengagedeck/internal/worker"
)

// endReplaced ends the runs of workers that do not answer and whose hosts run other
// workers: their leases need not be waited for.
func (c *Core) endReplaced(t Times) {
	c.refreshWorkers(t.Now)
	var ended []string
	var newest map[string]*worker.State
	for id := range c.index.silent {
		ws := c.workers[id]
		if ws.UnansweredCalls == 0 || ws.Host == "" {
			continue
		}
		if newest == nil {
			newest = c.newestOnHosts()
		}
		if replaces(newest[ws.Host], ws) {
			ended = append(ended, id)
		}
	}
	slices.Sort(ended)
	for _, id := range ended {
		ws := c.workers[id]
		c.opt.Logger.Info().Str("worker", id).Str("on", ws.Host).Str("newer", newest[ws.Host].Incarnation.ID).Int("runs", len(ws.Runs)).Msg("another worker answers on the worker's host")
		c.recordCrash(ws, t)
		for _, r := range sortedRuns(ws) {
			c.endUnseen(ws, r, unseenHostReassigned, t)
		}
		c.dropIdle(id, t.Now)
	}
}

// newestOnHosts returns, by host, the worker that was the last to answer for the first
// time, of those that answer.
func (c *Core) newestOnHosts() map[string]*worker.State {
	out := map[string]*worker.State{}
	for _, ws := range c.workers {
		if ws.Host == "" || !reachable(ws) {
			continue
		}
		if other := out[ws.Host]; other == nil || ws.FencedAt > other.FencedAt {
			out[ws.Host] = ws
		}
	}
	return out
}

// replaces reports whether one worker on a host has replaced another: it first answered
// after the other had last answered, or had been found restarted. One host runs one worker at a time, so the other has
// ended, with all of its runs. The list alone does not show that: other programs write to
// it, and the times in it are times of day, which may be set back.
func replaces(newer, ws *worker.State) bool {
	return newer != nil && newer != ws && newer.FencedAt > max(ws.LastAnswer, ws.RestartedAt)
}
