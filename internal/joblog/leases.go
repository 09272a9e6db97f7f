package joblog

import (
	"greengagedeck/internal/logstore"
	"greengagedeck/internal/record"
)

// keyEarlierLeases is the key of EarlierLeases in the progress partition.
const keyEarlierLeases = "l"

// EarlierLeases tells for how long workers that a holder has not reached may still
// hold leases of earlier holders. The holder extends no lease of a worker that the
// log's record names.
type EarlierLeases struct {
	// Token is the fencing token of the holder that wrote the record.
	Token int64 `cbor:"1,keyasint"`
	// RemainingMillis is, by worker ID, how long the leases may last from when the
	// record was made, in milliseconds of the holder's clock.
	RemainingMillis map[string]int64 `cbor:"2,keyasint"`
	// StrayMillis is the same for workers that the holder has reached and that may hold a longer
	// lease than holders grant, of an order that was meant for an earlier incarnation.
	StrayMillis map[string]int64 `cbor:"3,keyasint,omitempty"`
}

// EarlierLeasesEntry returns the entry of a record of earlier leases, which replaces
// the last one.
func EarlierLeasesEntry(l EarlierLeases) (logstore.Entry, error) {
	value, err := record.Encode(l)
	return logstore.Entry{Key: keyEarlierLeases, Value: value}, err
}

// DeleteEarlierLeases returns the entry that deletes the record of earlier leases.
func DeleteEarlierLeases() logstore.Entry { return logstore.Entry{Key: keyEarlierLeases} }
