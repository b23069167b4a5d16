package overlay

import (
	"slices"

	"github.com/grademill/grademill/decide/rendezvous"
)

// Work on behalf of many others saturates a slow link: sending a configuration of 80 kB to 93
// others takes three seconds at 20 Mbit/s. Gateways with fast links therefore do it first.
const (
	// fastDivisor and minFast select the gateways that set the threshold of a fast link: the
	// fastest 1/fastDivisor of all, but at least minFast, so that work never depends on a
	// single gateway.
	fastDivisor, minFast = 8, 2
	// fastTolerance is the factor by which a fast link may be slower than the slowest of these.
	fastTolerance = 2
)

// fastThreshold returns the least capacity of a fast link among the gateways of a list, in
// Mbit/s. Where all links are alike, all are fast.
func fastThreshold(list []Member) uint32 {
	links := make([]uint32, len(list))
	for i, m := range list {
		links[i] = m.LinkMegabits
	}
	slices.Sort(links)
	pool := min(max(len(links)/fastDivisor, minFast), len(links))
	return links[len(links)-pool] / fastTolerance
}

// ranking returns the gateways of a list in the order in which they do work on behalf of
// others: those with fast links first, and both groups in rendezvous order for the key.
func ranking(key string, list []Member) []Member {
	if len(list) == 0 {
		return nil
	}
	threshold := fastThreshold(list)
	fast, slow := make([]Member, 0, len(list)), []Member(nil)
	for _, m := range byKey(key, list) {
		if m.LinkMegabits >= threshold {
			fast = append(fast, m)
		} else {
			slow = append(slow, m)
		}
	}
	return append(fast, slow...)
}

// byKey returns gateways in rendezvous order for a key.
func byKey(key string, list []Member) []Member {
	byName := make(map[string]Member, len(list))
	for _, m := range list {
		byName[m.Name] = m
	}
	ordered := make([]Member, 0, len(list))
	for _, name := range rendezvous.Top(key, namesOf(list), len(list)) {
		ordered = append(ordered, byName[name])
	}
	return ordered
}
