package gateway

import "time"

// Meter counts what a gateway does.
type Meter interface {
	// Connection counts a new connection to an endpoint.
	Connection()
	// Request counts a request of a kind that ended, by its outcome, with the
	// time to the first byte and to the end.
	Request(kind, outcome string, first, total time.Duration)
	// Pause notes the longest pause of a stream.
	Pause(d time.Duration)
	// Retry counts a second send, by its cause.
	Retry(cause string)
	// Check counts a check whether an endpoint lives, by its result.
	Check(result string)
	// Digest counts the bytes of a digest that was sent to another gateway, or
	// dropped because digests had filled their part of the link.
	Digest(bytes int, dropped bool)
	// Order counts an order, by its result.
	Order(result string)
	// Held counts a request that an endpoint does not take for now, by the reason.
	Held(reason string)
	// Fleet notes how many endpoints take new work, and how many are leaving, as this gateway believes.
	Fleet(open, leaving int)
	// Store notes up to which revision the store is known.
	Store(revision uint64)
	// Quarantine counts an event of the requests under which endpoints have ended.
	Quarantine(event string)
}
