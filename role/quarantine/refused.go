package quarantine

import "time"

// RefusedError reports that a request must not be sent to an endpoint.
type RefusedError struct {
	Reason string
	// RetryAfter is when the caller may try again.
	RetryAfter time.Duration
}

// Error returns the reason.
func (e *RefusedError) Error() string {
	return "the request is not sent: " + e.Reason
}
