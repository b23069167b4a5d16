package throttle

import "time"

// Word is the part of an answer in which an endpoint states what load it accepts.
type Word struct {
	// Limit is the number of requests per second that the endpoint accepts from all gateways
	// together, 0 if it states none.
	Limit float64
	// Rest is the backoff period that the endpoint asks of a gateway whose request it has rejected,
	// 0 if it asks for none.
	Rest time.Duration
	// Leaving is set if the endpoint is about to shut down.
	Leaving bool
	// Unclear is the header that could not be parsed, shortened, empty if all were parsed. Its
	// meaning counts neither as stated nor as absent.
	Unclear string
	// Sent is when the request was sent, Heard when its answer arrived.
	Sent, Heard time.Time
}
