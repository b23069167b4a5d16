// Package layerreport tracks endpoints whose own report of their layers contradicts their record in
// the store. A Report is such a report; Overrides tells for how long it takes precedence.
package layerreport

import (
	"time"

	"github.com/grademill/grademill/decide/layer"
)

// Report is an endpoint's report of layers that differ from its record: the endpoint has
// restarted, or the record is stale. It is immutable.
type Report struct {
	// Reported is the reported range, Recorded the range in the record at the time of the report.
	Reported, Recorded layer.Range
	At                 time.Time
}

// Overrides reports whether the report takes precedence at now over a record of the given range:
// until the record changes, but no longer than lag, by which a record may be late.
func (h Report) Overrides(recorded layer.Range, now time.Time, lag time.Duration) bool {
	return h.Recorded == recorded && now.Sub(h.At) <= lag
}
