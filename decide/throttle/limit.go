package throttle

import "time"

// Limit is a word on how many requests an endpoint takes from all gateways together. The zero
// Limit is no word at all.
type Limit struct {
	// Rate is in requests a second, 0 when the endpoint names no limit any more.
	Rate float64
	// At is when that was surely so: when an answer came that named the limit, or when
	// the request went out whose answer named none.
	At time.Time
	// Relays is the number of gateways that it came through.
	Relays int
}

// Named reports whether the word names a limit.
func (l Limit) Named() bool { return l.Rate > 0 }
