package throttle

import "time"

// Report is the part of an answer in which an endpoint states what load it accepts.
type Report struct {
	// Limit is the number of requests per second that the endpoint accepts from all gateways
	// together, 0 if it states none.
	Limit float64
	// RetryAfter is the backoff period that the endpoint asks of a gateway whose request it has rejected,
	// 0 if it asks for none.
	RetryAfter time.Duration
	// Leaving is set if the endpoint is about to shut down.
	Leaving bool
	// Unreadable is the header that could not be parsed, shortened, empty if all were parsed. Its
	// meaning counts neither as stated nor as absent.
	Unreadable string
	// Sent is when the request was sent, Received when its answer arrived.
	Sent, Received time.Time
}
