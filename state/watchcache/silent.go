package watchcache

import (
	"slices"
	"time"
)

// silentFor is how long a gateway that did not answer is queried last. If it has ended, the
// digests of other gateways report so by then.
const silentFor = 8 * time.Second

// silent holds the time at which gateways failed to answer, by address. The zero silent is empty.
type silent map[string]time.Time

// note records that a gateway did not answer.
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

// last returns the addresses in their order, except that those that recently did not answer come
// last.
func (s silent) last(addresses []string, now time.Time) []string {
	lately := func(address string) bool {
		at, noted := s[address]
		return noted && now.Sub(at) < silentFor
	}
	ordered := slices.DeleteFunc(slices.Clone(addresses), lately)
	for _, address := range addresses {
		if lately(address) {
			ordered = append(ordered, address)
		}
	}
	return ordered
}
