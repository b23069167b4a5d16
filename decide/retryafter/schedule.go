// Package retryafter computes the Retry-After delays of rejected callers.
package retryafter

import (
	"math"
	"time"
)

// MinDelay is the shortest delay, unless the caller accepts only a shorter one.
const MinDelay = 500 * time.Millisecond

// Bounds on the Retry-After delays and on their rate.
const (
	// returnShare is the rate of returning callers as a fraction of the admission rate, which applies
	// while the capacity is unknown. They come in addition to new requests, which already exceed the
	// capacity of the endpoints.
	returnShare = 0.25
	// minRate is the lowest rate of returning callers, per second, which applies while no request
	// is admitted and the capacity is unknown.
	minRate = 4
	// fillShare is the fraction of the fleet's room that is given out. Appointments are whole and the
	// parts of gateways are known 0.2 to 0.4 s late: without this margin 3 of 264 replays had a half
	// second with more than 1.2 times the room, with it 1 of 354.
	fillShare = 0.95
	// settlePeriod is how long after an unknown part no appointment is given. Rates of refusals are
	// known a second after the first one at a gateway and reported up to 0.4 s later; until then, the
	// parts of the gateways that refused first are too large.
	settlePeriod = 1500 * time.Millisecond
	// slotLength is the resolution of appointments. A change of the rate takes effect within one slot
	// after the first delay. Of 200 replays of 30 gateways at 1.15 times their capacity, 39 had a half
	// second above 1.2 times the room with slots of 250 ms, 18 with slots of 100 ms.
	slotLength = 100 * time.Millisecond
	// slotCount bounds the appointments that are kept, to 51 s ahead, and the cost of a delay.
	slotCount = 512
)

// Schedule assigns rejected callers times to retry, spaced at the rate at which room becomes
// available: callers with the same delay would arrive together and be rejected together. The zero
// Schedule is ready to use while Load.Capacity is 0. It is not safe for concurrent use.
type Schedule struct {
	// Random returns numbers in [0, 1). It must be set before use with Load.Capacity above 0.
	Random func() float64
	// ReturnShare is the fraction of the capacity that is reserved for returning callers. With 0 they
	// get appointments only for what new requests leave.
	ReturnShare float64

	// last is the latest time assigned while Load.Capacity is 0.
	last time.Time
	// slots counts the appointments by the number of their slot, modulo slotCount.
	slots [slotCount]slot
	// unknownAt is when the part was last unknown.
	unknownAt time.Time
	// position replaces Load.Position while that is 0; 0 if not drawn yet.
	position float64
}

// slot is a span of slotLength, numbered from the Unix epoch.
type slot struct {
	number int64
	// part is Load.Part when the slot came within the maximal delay. A part that rises later adds
	// nothing to the slot, because the other gateways have given the rest of it already.
	part float64
	// given is the number of appointments in the slot.
	given int
}

// Load is a gateway's view of the load of a service.
type Load struct {
	// Admitted is the rate of requests admitted, per second. It applies while Capacity is 0.
	Admitted float64
	// RequestDuration is the typical duration of a request, 0 if unknown. No delay is shorter,
	// because a slot that is taken is usually still taken a moment later: of callers told to retry
	// after the duration, 8 in 1,000 were rejected again; of those told to retry after half a
	// second, 19 (smallest cards at 1.4 times their capacity).
	RequestDuration time.Duration
	// Capacity is the rate of requests that the fleet can serve, per second, 0 if unknown.
	Capacity float64
	// OfferedNew is the rate of new requests that arrive at the fleet, per second.
	OfferedNew float64
	// Part is this gateway's part of the fleet's refusals, from 0 to 1. All refusals in it must be
	// of the same age, this gateway's own too: when refusals begin, a fresh count of its own beside
	// older ones of the others would make the part of every gateway 1. It is 0 while only others are
	// known to refuse, and NaN while nobody is. Neither gives an appointment; 0 also leaves the times
	// up to the maximal delay to the others, which have given them already.
	Part float64
	// Position is the position of this gateway among all, above 0 and below 1, such as
	// (rank+0.5)/size. Evenly distributed positions keep the fleet's rate even when each gateway
	// gives few appointments. 0 means unknown: the schedule then draws one.
	Position float64
	// Returned is set for a caller that has come back already. It gets no appointment, since it
	// does not come back as told a second time and the room would remain unused.
	Returned bool
}

// Delay returns the Retry-After delay of a caller rejected at now, at most maxDelay.
//
// With a known capacity the delay is an appointment: this gateway's part of the rate at which the
// fleet has room for returning callers is given out slot by slot, the earliest first. If no slot
// up to maxDelay has room, the delay is drawn evenly between the first and the maximal one.
// Appointments that have been given stay when the room shrinks; their slots get no more.
//
// Without a known capacity, the times are spaced at a quarter of the admission rate. Once they
// exceed maxDelay, they start over.
func (b *Schedule) Delay(now time.Time, load Load, maxDelay time.Duration) time.Duration {
	delay, _ := b.Appoint(now, load, maxDelay)
	return delay
}

// Appoint returns the same delay as Delay, and whether it is an appointment.
func (b *Schedule) Appoint(now time.Time, load Load, maxDelay time.Duration) (time.Duration, bool) {
	first := min(max(load.RequestDuration, MinDelay), maxDelay)
	if load.Capacity <= 0 {
		return b.spaced(now, load, first, maxDelay), false
	}
	if delay, found := b.appointment(now, load, first, maxDelay); found {
		return delay, true
	}
	return first + time.Duration(b.Random()*float64(maxDelay-first)), false
}

// spaced returns the delay for an unknown capacity.
func (b *Schedule) spaced(now time.Time, load Load, firstDelay, maxDelay time.Duration) time.Duration {
	first := now.Add(firstDelay)
	next := b.last.Add(time.Duration(float64(time.Second) / max(returnShare*load.Admitted, minRate)))
	if next.Before(first) || next.Sub(now) > maxDelay {
		next = first
	}
	b.last = next
	return next.Sub(now)
}

// appointment takes a place in the first slot with room. Only slots that lie entirely between the
// first and the maximal delay are used, because in the others all callers would get about the same
// time.
func (b *Schedule) appointment(now time.Time, load Load, first, maxDelay time.Duration) (time.Duration, bool) {
	if !(load.Part >= 0) { // also if it is NaN
		b.unknownAt = now
	}
	if load.Returned || now.Sub(b.unknownAt) < settlePeriod {
		return 0, false
	}
	part := min(load.Part, 1)
	perSlot := fillShare * load.room(b.ReturnShare) * slotLength.Seconds() // of the fleet
	start := slotNumber(now.Add(first + slotLength - 1))
	end := min(slotNumber(now.Add(maxDelay)), slotNumber(now)+slotCount)
	for number := start; number < end; number++ {
		if s := &b.slots[number%slotCount]; s.number != number {
			*s = slot{number: number, part: part}
		}
	}
	position := b.positionOr(load.Position)
	for number := start; number < end; number++ {
		s := &b.slots[number%slotCount]
		if offset, found := place(number, s.given, min(part, s.part)*perSlot, position); found {
			s.given++
			return time.Unix(0, number*int64(slotLength)).Add(offset).Sub(now), true
		}
	}
	return 0, false
}

// room returns the rate at which the fleet has room for returning callers, per second.
func (l Load) room(returnShare float64) float64 {
	return max(returnShare*l.Capacity, l.Capacity-l.OfferedNew)
}

// positionOr returns known, or the position drawn by this schedule if known is 0.
func (b *Schedule) positionOr(known float64) float64 {
	if known > 0 {
		return known
	}
	if b.position == 0 {
		b.position = b.Random()
	}
	return b.position
}

// place returns the time of the next appointment in a slot of which given are taken, from the start
// of the slot, and whether there is one for a mean of perSlot. The mean may be a fraction: it is
// rounded up in some slots and down in others, by a threshold that the golden ratio distributes
// evenly over successive slots and the position over gateways. The threshold of a slot does not
// depend on the rate: a rate that varies about its mean would otherwise be rounded up in every slot
// at some moment. The threshold also sets the time, so that the appointments of evenly distributed
// positions are evenly spaced.
func place(number int64, given int, perSlot, position float64) (time.Duration, bool) {
	_, threshold := math.Modf(float64(number)/math.Phi + position)
	offset := (float64(given+1) - threshold) / perSlot
	if !(offset < 1) { // also if the mean is 0
		return 0, false
	}
	return time.Duration(offset * float64(slotLength)), true
}

// slotNumber returns the number of the slot that contains t.
func slotNumber(t time.Time) int64 {
	return t.UnixNano() / int64(slotLength)
}
