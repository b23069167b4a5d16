// Package holding describes endpoints that hold other layers than their records say.
package holding

import (
	"time"

	"github.com/grademill/grademill/decide/layer"
)

// Holding is what an endpoint said that it holds while its record said something else: it has
// started anew, or its record lags. It is immutable.
type Holding struct {
	// Held is what the endpoint said at a time, and Recorded what its record said then.
	Held, Recorded layer.Range
	At             time.Time
}

// Counts reports whether the endpoint's word counts at now beside a record: until the record changes,
// or for as long as it may lag.
func (h Holding) Counts(recorded layer.Range, now time.Time, lag time.Duration) bool {
	return h.Recorded == recorded && now.Sub(h.At) <= lag
}
