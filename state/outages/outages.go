// Package outages records which gateways have lost the store, and distinguishes an outage of the
// store from one gateway's loss of its connection to it.
//
// It orders events by whether a gateway received a message before it sent a request, and not by
// ages or by the clocks of different gateways. A gateway that loses the store draws a random number
// for its outage and sends it to the others. Another gateway returns the number once the store has
// answered a request that it sent after it received the number. A gateway that gets its own number
// back knows that the store answered another gateway after its own outage began, whatever the delay
// of the messages.
package outages

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Outages holds the outages in progress: this gateway's own, and those that others reported. Set
// the exported field before the first use.
type Outages struct {
	// ReportLifetime is how long the report of another gateway counts.
	ReportLifetime time.Duration

	mu sync.Mutex // guards what follows
	// own is the number of this gateway's outage, 0 if there is none.
	own uint64
	// others holds the outages of other gateways, by name.
	others map[string]reportedOutage
}

// reportedOutage is the outage of another gateway.
type reportedOutage struct {
	number uint64
	// first and last are when its first and latest report arrived, by the clock of freshness
	// proofs: see mirror.Mirror.Now.
	first, last time.Time
}

// Begin starts an outage of this gateway, and reports whether none was in progress.
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

// Own returns the number of this gateway's outage, 0 if there is none.
func (o *Outages) Own() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.own
}

// HandleReport records the number of another gateway's outage, 0 for none, and reports whether it
// is new. now is read from the clock of freshness proofs.
func (o *Outages) HandleReport(gateway string, number uint64, now time.Time) bool {
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
		o.others = make(map[string]reportedOutage)
	}
	o.others[gateway] = reportedOutage{number: number, first: now, last: now}
	return true
}

// Any reports whether another gateway has recently reported an outage.
func (o *Outages) Any(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.forget(now)
	return len(o.others) > 0
}

// NotOfStore returns the numbers of the outages of others that are not outages of the store itself,
// given that the store has answered a request that this gateway sent at time sent. These are the
// outages that were first reported before that time.
func (o *Outages) NotOfStore(sent, now time.Time) []uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.forget(now)
	var list []uint64
	for _, outage := range o.others {
		if sent.After(outage.first) {
			list = append(list, outage.number)
		}
	}
	return list
}

// forget drops the outages without a recent report; o.mu is held.
func (o *Outages) forget(now time.Time) {
	for gateway, outage := range o.others {
		if now.Sub(outage.last) > o.ReportLifetime {
			delete(o.others, gateway)
		}
	}
}
