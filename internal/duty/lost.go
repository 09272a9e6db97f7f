package duty

// logLost logs that a duty is held under a newer claim, when this daemon last knew that it
// held the duty, and how long it might still have acted, which is negative if it had
// stopped before. The caller holds e.mu.
func (e *Elector) logLost(n Name, t Token, newer Claim) {
	age := e.opt.Clock.Now() - e.confirmedAt
	e.opt.Logger.Info().Str("duty", string(n)).Int64("token", int64(t)).Int64("newer_token", int64(newer.Token)).Str("holder", newer.Holder.ID()).
		Dur("confirmed", age).Dur("remaining", e.opt.Lease-age).Msg("duty lost")
}
