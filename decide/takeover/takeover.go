// Package takeover decides how long a gateway leaves the right to give orders to others that rank
// before it.
package takeover

import "time"

// stagger is how long a gateway waits for each gateway that ranks before it to take the
// right, for maxRank gateways at most: taking it is two calls of the store, and a
// digest announces a new holder at once.
const (
	stagger = 150 * time.Millisecond
	maxRank = 8
)

// Delay returns how long the gateway of the given rank, 0 for the first, waits for others to take the
// right after the store has said that nobody holds it. It waits longer while another gateway reports
// that it holds the right.
func Delay(rank int, othersLead bool) time.Duration {
	rank = min(rank, maxRank)
	if othersLead {
		rank = maxRank
	}
	return time.Duration(rank) * stagger
}
