// Package outages keeps which gateways have lost the store, and tells an outage of the store
// from the loss of one gateway's way to it.
//
// The order of events is told by what was heard before what, and not by ages or clocks: a
// gateway that has lost the store draws a number for its outage and tells it to the others; one
// that the store answers once it has heard the number tells it back. Whoever gets its own number
// back knows that the store answered another gateway after its own loss had begun, however long
// the messages were under way.
package outages

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Outages are the losses of the store that are under way: this gateway's and what others told
// of theirs. Set the exported field before the first use.
type Outages struct {
	// Fresh is how long the word of another gateway counts.
	Fresh time.Duration

	mu sync.Mutex // guards what follows
	// own is the number of this gateway's outage, 0 while there is none.
	own uint64
	// others are those of other gateways, by name.
	others map[string]told
}

// told is the outage of another gateway.
type told struct {
	number uint64
	// first and last are when it was first and last heard of, by the clock of proofs.
	first, last time.Time
}

// Begin begins an outage of this gateway, and reports whether none was under way.
func (o *Outages) Begin() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.own != 0 {
		return false
	}
	o.own = rand.Uint64() | 1
	return true
}

// End ends this gateway's outage.
func (o *Outages) End() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.own = 0
}

// Own returns the number of this gateway's outage, 0 when there is none.
func (o *Outages) Own() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.own
}

// Hear takes in the number of another gateway's outage, 0 for none, and reports whether it is
// a new one. The time is that of the clock of proofs.
func (o *Outages) Hear(gateway string, number uint64, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	former := o.others[gateway]
	switch {
	case number == 0:
		delete(o.others, gateway)
		return false
	case former.number == number:
		former.last = now
		o.others[gateway] = former
		return false
	}
	if o.others == nil {
		o.others = make(map[string]told)
	}
	o.others[gateway] = told{number: number, first: now, last: now}
	return true
}

// Any reports whether another gateway has lately told of an outage.
func (o *Outages) Any(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.forget(now)
	return len(o.others) > 0
}

// Partial returns the outages of others that are none of the store itself: it has answered a
// question that this gateway sent, at a time, after it had heard of them.
func (o *Outages) Partial(sent, now time.Time) []uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.forget(now)
	var list []uint64
	for _, t := range o.others {
		if sent.After(t.first) {
			list = append(list, t.number)
		}
	}
	return list
}

// forget drops the words of gateways that have said nothing for long; o.mu is held.
func (o *Outages) forget(now time.Time) {
	for gateway, t := range o.others {
		if now.Sub(t.last) > o.Fresh {
			delete(o.others, gateway)
		}
	}
}
