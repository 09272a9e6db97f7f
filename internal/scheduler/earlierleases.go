package scheduler

import "time"

// logEarlierLeases logs how long this holder waits for the leases of earlier ones, after the
// pool's log was restored.
func (c *Core) logEarlierLeases(now time.Duration) {
	var recordedEnd time.Duration
	for _, end := range c.unreached.leasesEnd {
		recordedEnd = max(recordedEnd, end)
	}
	c.opt.Logger.Info().Int64("token", c.opt.Token).Int64("previous_token", c.opt.PreviousToken).
		Dur("earlier_holders", c.opt.EarlierHolders).Dur("longest_lease", c.leaseBounds().Granted).Dur("leases_remaining", max(0, c.earlierLeasesEnd-now)).
		Int("recorded_workers", len(c.unreached.leasesEnd)).Dur("recorded_remaining", max(0, recordedEnd-now)).
		Msg("workers may hold leases of earlier holders")
}
