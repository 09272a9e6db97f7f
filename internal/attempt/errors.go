package attempt

import "fmt"

// StatusError is a complete answer by which a target reports its own failure.
type StatusError struct {
	// Status is the HTTP status, 500 or more.
	Status int
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("target answered status %d", e.Status) }
