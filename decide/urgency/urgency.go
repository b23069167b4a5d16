// Package urgency orders queued requests of equal priority.
package urgency

// Urgency ranks requests of equal priority: a higher one is admitted first.
type Urgency int

// Urgencies in ascending order.
const (
	// Late is a request of a returning caller while more callers return than the service has room
	// for. Its answer is late in any case, and a request that it displaced would be late as well.
	Late Urgency = iota
	// New is a request that can still be answered in time, and whose caller can retry.
	New
	// Returned is a request whose caller has retried as told, and will not retry again.
	Returned
	// Sent is a request that has been sent already: the work done for it would be lost.
	Sent
	// Levels is the number of urgencies.
	Levels
)

// maxReturningShare is the ratio of returning callers to admitted requests above which they no
// longer go first: new requests would get as little of the room as late ones.
const maxReturningShare = 0.5

// Load is a gateway's view of the load of a service.
type Load struct {
	// Admitted is the rate of admitted requests, Returning that of returning callers, per second.
	Admitted, Returning float64
}

// Of returns the urgency of a request. While returning callers are few, they go first: a service at
// capacity then loses none of them, at the price of some more late answers (smallest cards at 1.4
// times their capacity, per second: 22 late and none rejected for good, against 9 and 5 with new
// requests first). Once more callers return than there is room for, some are lost in any order, and
// new requests go first, or nearly all answers are late (the same cards at 2.4: 35 in time, 116
// late and 96 rejected for good, against 146, 4 and 98 with new requests first).
func (l Load) Of(begun, returned bool) Urgency {
	switch {
	case begun:
		return Sent
	case !returned:
		return New
	case l.Admitted > 0 && l.Returning > maxReturningShare*l.Admitted:
		return Late
	}
	return Returned
}
