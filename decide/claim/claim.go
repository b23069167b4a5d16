// Package claim decides who may run a call with an idempotency key.
package claim

import "time"

// Claim is the right to run a call once, on one incarnation of one agent.
type Claim struct {
	// ID is unique to the claim.
	ID string `json:"id"`
	// Key is the hash of the team and its idempotency key, in hexadecimal.
	Key string `json:"key"`
	// Digest is the hash of the request. It distinguishes a repeated request from another one with
	// the same key.
	Digest string `json:"digest"`
	// Endpoint, Address and Incarnation identify the only agent that may run the call.
	Endpoint    string `json:"endpoint"`
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation"`
	// Epoch is the agent's epoch when the claim was made; see package once.
	Epoch uint64 `json:"epoch"`
	// Former is the ID of the claim that this one replaces, which was settled as not run.
	Former string `json:"former,omitempty"`
	// At is the time of the claim on the entry's clock, by which old claims expire.
	At time.Time `json:"at"`
}

// Allows reports whether c may follow the latest claim: there is none, or c replaces exactly that
// one.
func (c Claim) Allows(latest Claim, exists bool) bool {
	if !exists {
		return true
	}
	return c.Former == latest.ID
}
