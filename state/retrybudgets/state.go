package retrybudgets

import (
	"github.com/rs/zerolog"

	"github.com/grademill/grademill/decide/retry"
)

// Limit is why a budget allows no further retry.
type Limit string

// Limits of budgets.
const (
	// UsedUp means that the retries allowed in a window have been made.
	UsedUp Limit = "the retry budget is used up"
	// RecentStart means that the process has started so recently that it does not know what is left.
	RecentStart Limit = "the retry budget is not known so soon after the start"
	// RecentReturn means that the process has been suspended or cut off until so recently that the
	// others may still use its part of the reserve.
	RecentReturn Limit = "the retry budget has no reserve so soon after an interruption"
	// FleetUnknown means that the number of processes that share the reserve is not known.
	FleetUnknown Limit = "the retry budget has no reserve while the fleet is not known"
)

// State is what the budget of a service counts at one time.
type State struct {
	retry.State
	// Size is the number of processes among which the reserve is divided, 0 if it is not known.
	Size int
	// Reserve is the part of the reserve that the process may use, and Limit what limits it.
	Reserve int
	Limit   Limit
}

// MarshalZerologObject adds the state to a log line.
func (s *State) MarshalZerologObject(line *zerolog.Event) {
	line.Int("retry_first_attempts", s.FirstAttempts).Int("retries_pending", s.Pending).Int("retries_sent", s.Sent).
		Float64("retries_allowed", s.Allowed).Int("retry_reserve", s.Reserve).Int("retry_gateways", s.Size)
}
