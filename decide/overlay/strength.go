package overlay

import (
	"slices"

	"github.com/grademill/grademill/decide/rendezvous"
)

// What one gateway does for many others fills a thin link: a configuration of 80 kB for 93 others
// takes 20 Mbit/s for three seconds.
const (
	// strongShare is the part of some gateways that is looked at for the best links, and strongLeast
	// their least number: a thing is not left to a single one.
	strongShare, strongLeast = 8, 2
	// strongBelow is how many times thinner than the thinnest of these a link may be.
	strongBelow = 2
)

// leastStrong returns the thinnest link of the gateways of a list that have the best ones: an eighth of them,
// and those that are about as good. Where links are alike, that is all of them.
func leastStrong(list []Member) uint32 {
	links := make([]uint32, len(list))
	for i, m := range list {
		links[i] = m.LinkMegabits
	}
	slices.Sort(links)
	pool := min(max(len(links)/strongShare, strongLeast), len(links))
	return links[len(links)-pool] / strongBelow
}

// ranking returns a list in the order in which its gateways are to do a thing for others: those with
// the best links first, and among these, and among the rest, by the key.
func ranking(key string, list []Member) []Member {
	if len(list) == 0 {
		return nil
	}
	least := leastStrong(list)
	first, rest := make([]Member, 0, len(list)), []Member(nil)
	for _, m := range byKey(key, list) {
		if m.LinkMegabits >= least {
			first = append(first, m)
		} else {
			rest = append(rest, m)
		}
	}
	return append(first, rest...)
}

// byKey returns gateways in the order of their weights for a key.
func byKey(key string, list []Member) []Member {
	named := make(map[string]Member, len(list))
	for _, m := range list {
		named[m.Name] = m
	}
	ordered := make([]Member, 0, len(list))
	for _, name := range rendezvous.Top(key, namesOf(list), len(list)) {
		ordered = append(ordered, named[name])
	}
	return ordered
}
