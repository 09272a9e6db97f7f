package dedupe

// result is what an answer means for a try.
type result uint8

const (
	// resultMore means that the next daemon of the pair is to be asked.
	resultMore result = iota + 1
	// resultGranted means that the request may start.
	resultGranted
	// resultDuplicate means that the ID was claimed before.
	resultDuplicate
	// resultRefused means that nothing was proved.
	resultRefused
)

// try is one claim on its way through the pair. The home is asked first and
// settles races: two claimants cannot each hold one half.
type try struct {
	claim   Claim
	pair    Pair
	asked   int
	vouched bool
}

// target returns the daemon to ask next.
func (t *try) target() string {
	if t.asked == 0 {
		return t.pair.Home
	}
	return t.pair.Backup
}

// take takes in the answer of target. The request may start only when both of
// the pair recorded the claim in the claimant's epoch and one of them vouches
// that no earlier grant is unknown to it.
func (t *try) take(a ClaimAnswer) result {
	switch a.Status {
	case StatusGranted:
		t.vouched = t.vouched || a.Vouched
		t.asked++
		if t.asked < 2 {
			return resultMore
		}
		if t.vouched {
			return resultGranted
		}
		return resultRefused
	case StatusDuplicate:
		return resultDuplicate
	default:
		return resultRefused
	}
}
