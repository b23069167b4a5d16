// Package urgency orders the requests of one priority that wait for room.
package urgency

// Urgency is how soon a request gets room among those of its priority: a higher one first.
type Urgency int

// The urgencies.
const (
	// Late is a request whose caller has come back, while more do than there is room for:
	// its answer is late in any case, and whoever it would displace would be late next.
	Late Urgency = iota
	// New is a request that can still be answered in time, and whose caller can come back.
	New
	// Returned is a request whose caller has come back, as it was told, and will not again.
	Returned
	// Begun is a request that has been sent: what was done for it would be lost.
	Begun
	// Levels is the number of urgencies.
	Levels
)

// manyReturning is the part of what gets room from which on too many callers come back:
// those that come first would get as little of it as those that are late.
const manyReturning = 0.5

// Load is what a gateway sees of a service.
type Load struct {
	// Admitted is the number of requests that get room in a second, Returning that of the
	// callers that come back.
	Admitted, Returning float64
}

// Of returns the urgency of a request. While no more callers come back than were told to,
// they are served first: a full fleet then loses none of them, at the price of some more
// late answers (site with the smallest cards at 1.4 of its load, a second: 22 late and none
// refused for good, 9 and 5 with new requests first). Once more come back than there is
// room for, some are lost in any order, and new requests go first, or nearly all answers
// are late (the same at 2.4: 35 in time, 116 late and 96 refused for good, 146, 4 and 98
// with new requests first).
func (l Load) Of(begun, returned bool) Urgency {
	switch {
	case begun:
		return Begun
	case !returned:
		return New
	case l.Admitted > 0 && l.Returning > manyReturning*l.Admitted:
		return Late
	}
	return Returned
}
