package throttle

import "time"

// Limit is an endpoint's limit on the requests that it accepts from all gateways together. The zero
// Limit means that the endpoint has never stated one.
type Limit struct {
	// Rate is the limit in requests per second, 0 if the endpoint has withdrawn its limit.
	Rate float64
	// At is the latest time at which the limit certainly applied: the arrival of the answer that
	// stated it, or the sending of the request whose answer stated none.
	At time.Time
	// Relays is the number of gateways that have forwarded the limit.
	Relays int
}

// Named reports whether l states a limit.
func (l Limit) Named() bool { return l.Rate > 0 }
