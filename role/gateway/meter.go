package gateway

import (
	"time"

	"github.com/grademill/grademill/role/overload"
)

// Meter counts the operations of a gateway.
type Meter interface {
	// Connection counts a new connection to an endpoint.
	Connection()
	// Exceeded counts an answer of an endpoint that exceeded a bound.
	Exceeded()
	// Broken counts an answer of an endpoint that is not well-formed, or whose connection was reset before the request
	// was written.
	Broken()
	// Request counts a request of a kind that ended, by its outcome, with the time to the first
	// byte and to the end.
	Request(kind, outcome string, first, total time.Duration)
	// Pause records the longest pause of a stream.
	Pause(d time.Duration)
	// Retry counts a send after the first one, by its cause.
	Retry(cause string)
	// RetryRefused counts a request that the retry budget allowed no retry, by the reason.
	RetryRefused(reason string)
	// Check counts a health check of an endpoint, by its result.
	Check(result string)
	// Digest counts the bytes of a digest that was sent to another gateway, or dropped because
	// digests had used up their share of the link.
	Digest(bytes int, dropped bool)
	// Order counts an order, by its result.
	Order(result string)
	// Held counts a request that an endpoint does not accept for now, by the reason.
	Held(reason string)
	// Endpoints records how many endpoints take new work, and how many are leaving, as known to
	// this gateway.
	Endpoints(open, leaving int)
	// Store records the revision up to which the store is known.
	Store(revision uint64)
	// Keys records the number of API keys of the configuration in force, and whether requests need
	// one.
	Keys(n int, required bool)
	// Fault counts a computation for a request that failed with a panic.
	Fault()
	// Quarantine counts an event of the quarantine.
	Quarantine(event string)
	overload.Meter
}
