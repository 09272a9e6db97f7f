// Package verdict says whether a request may have run on a target.
//
// Every failed or finished request carries exactly one Verdict. A request is
// NotRun until the first byte leaves for a target, MayHaveRun from then on,
// and Ran once a complete response has arrived. It returns to NotRun only on
// proof that the target never started it.
package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Verdict tells a caller whether its request may have run.
type Verdict uint8

// The verdicts, ordered by how much may have happened.
const (
	// NotRun means that no target started the request; this is proven.
	NotRun Verdict = iota + 1
	// MayHaveRun means that a target may or may not have run the request.
	MayHaveRun
	// Ran means that a target ran the request and its complete response is known.
	Ran
)

// String returns the name used in response headers and logs.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case MayHaveRun:
		return "may-have-run"
	case Ran:
		return "ran"
	default:
		return fmt.Sprintf("verdict(%d)", uint8(v))
	}
}

// Parse is the inverse of String.
func Parse(s string) (Verdict, error) {
	for _, v := range []Verdict{NotRun, MayHaveRun, Ran} {
		if v.String() == s {
			return v, nil
		}
	}
	return 0, fmt.Errorf("unknown verdict %q", s)
}

// Reason is a stable, machine-readable code for why a request failed.
type Reason string

// The reasons a request can fail for. docs/API.md lists them for callers.
const (
	ReasonBadRequest     Reason = "bad-request"
	ReasonUnknownEntry   Reason = "unknown-entry"
	ReasonNeverRunnable  Reason = "never-runnable"
	ReasonQuota          Reason = "quota"
	ReasonQueueFull      Reason = "queue-full"
	ReasonDeadline       Reason = "deadline"
	ReasonCancelled      Reason = "cancelled"
	ReasonNoTarget       Reason = "no-target"
	ReasonNotReady       Reason = "not-ready"
	ReasonStopping       Reason = "stopping"
	ReasonUnproven       Reason = "unproven"
	ReasonDuplicate      Reason = "duplicate"
	ReasonConnect        Reason = "connect"
	ReasonConnectionLost Reason = "connection-lost"
	ReasonTimeout        Reason = "timeout"
	ReasonTruncated      Reason = "truncated"
	ReasonMalformed      Reason = "malformed-answer"
	ReasonTargetRefused  Reason = "target-refused"
	ReasonPeerLost       Reason = "peer-lost"
)

// Error is a failed request: its verdict, the reason and, if the cause of the
// failure is temporary, when to retry.
type Error struct {
	Verdict    Verdict
	Reason     Reason
	Detail     string
	RetryAfter time.Duration
}

// Error implements error.
func (e *Error) Error() string {
	if e.Detail == "" {
		return fmt.Sprintf("%s (%s)", e.Reason, e.Verdict)
	}
	return fmt.Sprintf("%s (%s): %s", e.Reason, e.Verdict, e.Detail)
}

// NewNotRun returns an Error with verdict NotRun.
func NewNotRun(r Reason, format string, args ...any) *Error {
	return &Error{Verdict: NotRun, Reason: r, Detail: fmt.Sprintf(format, args...)}
}

// NewMayHaveRun returns an Error with verdict MayHaveRun.
func NewMayHaveRun(r Reason, format string, args ...any) *Error {
	return &Error{Verdict: MayHaveRun, Reason: r, Detail: fmt.Sprintf(format, args...)}
}

// Of returns the verdict that an error carries: Ran for nil, and MayHaveRun for
// an error without a verdict, since it proves nothing.
func Of(err error) Verdict {
	if err == nil {
		return Ran
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}

// ReasonOf returns the reason of an error, or an empty one if it has none.
func ReasonOf(err error) Reason {
	var e *Error
	if errors.As(err, &e) {
		return e.Reason
	}
	return ""
}

// RetryAfter returns when to retry according to an error, or 0 if it does not say.
func RetryAfter(err error) time.Duration {
	var e *Error
	if errors.As(err, &e) {
		return e.RetryAfter
	}
	return 0
}

// MarshalText returns the result of String. JSON encoding uses it too.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText is the inverse of MarshalText.
func (v *Verdict) UnmarshalText(text []byte) error {
	parsed, err := Parse(string(text))
	*v = parsed
	return err
}
