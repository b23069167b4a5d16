package claimlog

import (
	"encoding/json"
	"time"

	"github.com/grademill/grademill/decide/claim"
	"github.com/grademill/grademill/state/headlog"
)

// latest returns the claim in force for key, which is the last one in the log.
func latest(h headlog.Head, key string) (claim.Claim, bool) {
	for i := len(h.Records) - 1; i >= 0; i-- {
		c, err := decode(h.Records[i])
		if err == nil && c.Key == key {
			return c, true
		}
	}
	return claim.Claim{}, false
}

// decode returns the claim in the body of a record.
func decode(r headlog.Record) (claim.Claim, error) {
	var c claim.Claim
	err := json.Unmarshal(r.Body, &c)
	return c, err
}

// expired returns the number of records before the first one younger than keep.
// Records that do not decode count as expired.
func expired(h headlog.Head, now time.Time, keep time.Duration) int {
	for i, record := range h.Records {
		c, err := decode(record)
		if err == nil && now.Sub(c.At) < keep {
			return i
		}
	}
	return len(h.Records)
}
