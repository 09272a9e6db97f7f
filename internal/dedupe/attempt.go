package dedupe

// claimResult is the result of an answer for a claim attempt.
type claimResult uint8

const (
	// resultAskBackup means that the claim must be sent to the backup next.
	resultAskBackup claimResult = iota + 1
	// resultGranted means that the request may start.
	resultGranted
	// resultDuplicate means that the ID was already claimed.
	resultDuplicate
	// resultRejected means that it is not proved that the ID is unclaimed.
	resultRejected
)

// claimAttempt is the state of one claim at the daemons of its pair. The primary is
// always asked first, so that two competing claimants cannot each be granted one
// half of the pair.
type claimAttempt struct {
	claim           Claim
	pair            Pair
	granted         int
	historyComplete bool
}

// nextDaemon returns the daemon to ask next.
func (t *claimAttempt) nextDaemon() string {
	if t.granted == 0 {
		return t.pair.Primary
	}
	return t.pair.Backup
}

// recordAnswer processes the answer of nextDaemon. The request may start only if
// both daemons of the pair recorded the claim in the claimant's epoch and at least
// one of them knows every earlier grant for the ID.
func (t *claimAttempt) recordAnswer(a ClaimAnswer) claimResult {
	switch a.Status {
	case StatusGranted:
		t.historyComplete = t.historyComplete || a.HistoryComplete
		t.granted++
		if t.granted < 2 {
			return resultAskBackup
		}
		if t.historyComplete {
			return resultGranted
		}
		return resultRejected
	case StatusDuplicate:
		return resultDuplicate
	default:
		return resultRejected
	}
}
