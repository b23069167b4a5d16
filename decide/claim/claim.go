// Package claim decides who may run a call that carries an idempotency key.
package claim

import (
	"encoding/json"
	"time"

	"github.com/grademill/grademill/state/headlog"
)

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

// Latest returns the claim in force for key in the log.
func Latest(h headlog.Head, key string) (Claim, bool) {
	for i := len(h.Records) - 1; i >= 0; i-- {
		c, err := Decode(h.Records[i])
		if err == nil && c.Key == key {
			return c, true
		}
	}
	return Claim{}, false
}

// Decode returns the claim of a record.
func Decode(r headlog.Record) (Claim, error) {
	var c Claim
	err := json.Unmarshal(r.Body, &c)
	return c, err
}

// Allows reports whether c may follow the claim in force: there is none, or c
// replaces just that one.
func (c Claim) Allows(latest Claim, exists bool) bool {
	if !exists {
		return true
	}
	return c.Former == latest.ID
}

// Expired returns how many of the oldest records are older than keep.
func Expired(h headlog.Head, now time.Time, keep time.Duration) int {
	for i, record := range h.Records {
		c, err := Decode(record)
		if err == nil && now.Sub(c.At) < keep {
			return i
		}
	}
	return len(h.Records)
}
