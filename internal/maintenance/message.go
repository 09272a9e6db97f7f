package maintenance

import "greengagedeck/internal/record"

// The record kinds of this package.
const (
	// KindClaim makes its author the executor of a drain whose executor is no
	// longer a member.
	KindClaim record.Kind = "maintenance.claim"
	// KindReboot announces a reboot before it is requested from the platform.
	KindReboot record.Kind = "maintenance.reboot"
	// KindVerified returns a rebooted host to service.
	KindVerified record.Kind = "maintenance.verified"
	// KindFailed marks a host as failed because it did not come back healthy.
	KindFailed record.Kind = "maintenance.failed"
	// KindBlocked gives the reason why a wave that is behind schedule drains no
	// host.
	KindBlocked record.Kind = "maintenance.blocked"
)

// Claim is the body of a KindClaim record.
type Claim struct {
	Drain string `cbor:"1,keyasint"`
}

// Reboot is the body of a KindReboot record.
type Reboot struct {
	Drain string `cbor:"1,keyasint"`
	// BootID is the host's boot ID before the reboot.
	BootID string `cbor:"2,keyasint"`
}

// Verified is the body of a KindVerified record.
type Verified struct {
	Drain string `cbor:"1,keyasint"`
	// BootID is the host's boot ID after the reboot.
	BootID string `cbor:"2,keyasint"`
}

// Failed is the body of a KindFailed record.
type Failed struct {
	Drain  string `cbor:"1,keyasint"`
	Reason string `cbor:"2,keyasint"`
}

// WaveBlocked is the body of a KindBlocked record.
type WaveBlocked struct {
	Wave   string `cbor:"1,keyasint"`
	Zone   string `cbor:"2,keyasint"`
	Reason string `cbor:"3,keyasint"`
}
