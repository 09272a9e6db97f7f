package dedupe

import (
	"github.com/oklog/ulid/v2"

	"greengagedeck/internal/peer"
	"greengagedeck/internal/request"
)

// The methods of this slice.
const (
	// MethodClaim asks a daemon of an ID's pair to record a claim: a Claim
	// is answered by a ClaimAnswer.
	MethodClaim peer.Method = "d.claim"
	// MethodAbandon takes a claim back: an Abandon.
	MethodAbandon peer.Method = "d.abandon"
	// MethodComplete records that the request ran: a Complete.
	MethodComplete peer.Method = "d.complete"
)

// Claim asks for the right to start the request with an ID.
type Claim struct {
	_ struct{} `cbor:",toarray"`
	// Epoch is the claimant's epoch of membership.
	Epoch uint64
	ID    ulid.ULID
	// Token names this try: only its holder may abandon or complete it.
	Token ulid.ULID
	// Fingerprint is the hash of what the request asks for. A request with
	// the same ID and another fingerprint gets no stored answer.
	Fingerprint uint64
}

// Status says what became of a claim at one daemon of the pair.
type Status uint8

// The statuses of a ClaimAnswer.
const (
	// StatusGranted means that the claim is recorded.
	StatusGranted Status = iota + 1
	// StatusDuplicate means that the ID was claimed before.
	StatusDuplicate
	// StatusOtherEpoch means that claimant and daemon differ in their
	// epochs, and StatusNotPaired that the daemon is not of the ID's pair.
	StatusOtherEpoch
	StatusNotPaired
	// StatusNoLease means that the daemon cannot tell whether its epoch is
	// still current.
	StatusNoLease
	// StatusOutOfWindow means that the ID's time is too old or in the
	// future.
	StatusOutOfWindow
	// StatusFull means that the daemon holds as many claims as it may.
	StatusFull
)

var statusNames = [...]string{"unknown", "granted", "duplicate", "other-epoch",
	"not-paired", "no-lease", "out-of-window", "full"}

// String returns the status as it is used in details of errors and in tags.
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
	// Vouched is set when the daemon would know of every earlier grant for
	// the ID. A claim needs it from one of the pair.
	Vouched bool
	// Ran is set on a duplicate whose request is known to have run, and
	// Response is its answer if it is still kept.
	Ran      bool
	Response *request.Response
}

// Abandon takes back a claim whose request provably did not run.
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
	// Response is kept for a resend, unless it is nil.
	Response *request.Response
}
