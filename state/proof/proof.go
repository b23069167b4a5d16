// Package proof holds the freshness proof of a value that is copied from elsewhere: a time up to which the copy was
// certainly the newest version.
package proof

import (
	"sync/atomic"
	"time"
)

// none is the age without a proof, beyond all bounds.
const none = time.Hour

// Proof is a freshness proof, whose times are of one clock. The zero Proof proves nothing. It is safe for concurrent use.
type Proof struct {
	// at is the time of the proof in nanoseconds of Unix time, 0 for none.
	at atomic.Int64
	// withheld is set while the newest version is known to be another one than the copy.
	withheld atomic.Bool
}

// Withhold sets whether the newest version is known but cannot be used, so that nothing proves the copy to be the newest
// one. The former proof stands, and ages.
func (p *Proof) Withhold(withheld bool) { p.withheld.Store(withheld) }

// Confirm records that the copy was the newest version at a time, unless the proof is withheld. It never replaces a later
// proof.
func (p *Proof) Confirm(at time.Time) {
	if p.withheld.Load() {
		return
	}
	p.at.Store(max(p.at.Load(), at.UnixNano()))
}

// At returns the time of the proof; without one, it is before all proofs.
func (p *Proof) At() time.Time { return time.Unix(0, p.at.Load()) }

// Age returns the age of the proof at now.
func (p *Proof) Age(now time.Time) time.Duration {
	at := p.at.Load()
	if at == 0 {
		return none
	}
	return time.Duration(now.UnixNano() - at)
}
