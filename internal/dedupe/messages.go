package dedupe

import (
	"github.com/oklog/ulid/v2"

	"greengagedeck/internal/peer"
	"greengagedeck/internal/request"
)

// The peer methods of this package.
const (
	// MethodClaim asks a daemon of an ID's pair to record a claim. The request
	// is a Claim, the answer a ClaimAnswer.
	MethodClaim peer.Method = "d.claim"
	// MethodAbandon withdraws a claim. The message is an Abandon.
	MethodAbandon peer.Method = "d.abandon"
	// MethodComplete records that the request ran. The message is a Complete.
	MethodComplete peer.Method = "d.complete"
)

// Claim requests the right to start the request with the given ID.
type Claim struct {
	_ struct{} `cbor:",toarray"`
	// Epoch is the claimant's membership epoch.
	Epoch uint64
	ID    ulid.ULID
	// Token identifies this attempt. The claim can be abandoned or completed
	// only with the same token.
	Token ulid.ULID
	// Fingerprint is a hash of the request's content. A request with the same
	// ID but another fingerprint does not get the stored answer.
	Fingerprint uint64
}

// Status is the outcome of a claim at one daemon of the pair.
type Status uint8

// The statuses of a ClaimAnswer.
const (
	// StatusGranted means that the claim is recorded.
	StatusGranted Status = iota + 1
	// StatusDuplicate means that the ID was claimed before.
	StatusDuplicate
	// StatusOtherEpoch means that claimant and daemon are in different
	// epochs, and StatusNotPaired that the daemon does not belong to the ID's
	// pair.
	StatusOtherEpoch
	StatusNotPaired
	// StatusNoLease means that the daemon's lease has expired: it does not
	// know whether its epoch is still current.
	StatusNoLease
	// StatusOutOfWindow means that the time in the ID is too old or in the
	// future.
	StatusOutOfWindow
	// StatusFull means that the daemon has reached its maximum number of
	// claims.
	StatusFull
)

var statusNames = [...]string{"unknown", "granted", "duplicate", "other-epoch",
	"not-paired", "no-lease", "out-of-window", "full"}

// String returns the name that is used in error details and metric tags.
func (s Status) String() string {
	if int(s) < len(statusNames) {
		return statusNames[s]
	}
	return statusNames[0]
}

// ClaimAnswer is the answer to a Claim.
type ClaimAnswer struct {
	_      struct{} `cbor:",toarray"`
	Status Status
	// Epoch is the daemon's own epoch.
	Epoch uint64
	// HistoryComplete is set if the daemon knows every earlier grant for the
	// ID. A claim is granted only if at least one daemon of the pair sets it.
	HistoryComplete bool
	// Ran is set for a duplicate whose request is known to have run, and
	// Response is its answer if it is still stored.
	Ran      bool
	Response *request.Response
}

// Abandon withdraws a claim whose request is known not to have run.
type Abandon struct {
	_     struct{} `cbor:",toarray"`
	ID    ulid.ULID
	Token ulid.ULID
}

// Complete records that a claimed request ran.
type Complete struct {
	_     struct{} `cbor:",toarray"`
	ID    ulid.ULID
	Token ulid.ULID
	// Response is stored for resends unless it is nil.
	Response *request.Response
}
