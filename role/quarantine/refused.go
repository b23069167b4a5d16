package quarantine

import (
	"time"

	"github.com/grademill/grademill/decide/cause"
)

// RefusedError reports that a request must not be sent to an endpoint.
type RefusedError struct {
	Reason string
	// Cause is what the request is not sent for, zero if its caller has left.
	Cause cause.Cause
	// RetryAfter is when the caller may try again.
	RetryAfter time.Duration
}

// Error returns the reason.
func (e *RefusedError) Error() string {
	return "the request is not sent: " + e.Reason
}
