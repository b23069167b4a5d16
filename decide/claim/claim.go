// Package claim decides who may run a call that carries an idempotency key.
package claim

import "time"

// Claim is the right to run a call once, at one incarnation of one agent.
type Claim struct {
	// ID is unique to the claim.
	ID string `json:"id"`
	// Key is the hash of the team and its idempotency key, in hexadecimal.
	Key string `json:"key"`
	// Digest is the hash of the request, by which a key that is used again for
	// something else is told from a repeated request.
	Digest string `json:"digest"`
	// Endpoint, Address and Incarnation name the only agent that may run the
	// call.
	Endpoint    string `json:"endpoint"`
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation"`
	// Epoch is the agent's epoch when the claim was made; see package once.
	Epoch uint64 `json:"epoch"`
	// Former is the claim that this one replaces; it was settled as not run.
	Former string `json:"former,omitempty"`
	// At is the time at the entry, by which old claims are forgotten.
	At time.Time `json:"at"`
}

// Allows reports whether c may follow the claim in force: there is none, or c
// replaces just that one.
func (c Claim) Allows(latest Claim, exists bool) bool {
	if !exists {
		return true
	}
	return c.Former == latest.ID
}
