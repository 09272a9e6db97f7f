package attempt

import "fmt"

// StatusError is a complete response that reports a failure of the target.
type StatusError struct {
	// Status is the HTTP status, 500 or more.
	Status int
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("target responded with status %d", e.Status) }
