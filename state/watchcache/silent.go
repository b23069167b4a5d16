package watchcache

import (
	"slices"
	"time"
)

// silentFor is how long a gateway that was not heard is asked after the others: until digests tell of
// its end.
const silentFor = 8 * time.Second

// silent are the gateways that have not been heard when they were asked, by their addresses. The zero
// silent has none.
type silent map[string]time.Time

// note notes that a gateway was not heard at a time.
func (s *silent) note(address string, now time.Time) {
	if *s == nil {
		*s = make(silent)
	}
	for other, at := range *s {
		if now.Sub(at) >= silentFor {
			delete(*s, other)
		}
	}
	(*s)[address] = now
}

// last returns addresses in their order, those that have lately not been heard last.
func (s silent) last(addresses []string, now time.Time) []string {
	lately := func(address string) bool {
		at, noted := s[address]
		return noted && now.Sub(at) < silentFor
	}
	heard := slices.DeleteFunc(slices.Clone(addresses), lately)
	for _, address := range addresses {
		if lately(address) {
			heard = append(heard, address)
		}
	}
	return heard
}
