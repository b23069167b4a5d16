package overlay

import (
	"cmp"
	"slices"

	"github.com/grademill/grademill/decide/rendezvous"
)

// What one gateway does for many others fills a thin link: a configuration of 80 kB for 93 others
// takes 20 Mbit/s for three seconds.
const (
	// strongShare is the part of some gateways that is looked at for the best links, and leastStrong
	// their least number: a thing is not left to a single one.
	strongShare, leastStrong = 8, 2
	// strongBelow is how many times thinner than the thinnest of these a link may be.
	strongBelow = 2
)

// strong returns the gateways of a list whose hosts have the best links: an eighth of them, and those
// that are about as good. Where links are alike, that is all of them.
func strong(list []Member) []Member {
	if len(list) == 0 {
		return nil
	}
	links := make([]uint32, len(list))
	for i, m := range list {
		links[i] = m.LinkMegabits
	}
	slices.SortFunc(links, func(a, b uint32) int { return cmp.Compare(b, a) })
	least := links[min(max(len(links)/strongShare, leastStrong), len(links))-1] / strongBelow
	return slices.DeleteFunc(slices.Clone(list), func(m Member) bool { return m.LinkMegabits < least })
}

// ranking returns a list in the order in which its gateways are to do a thing for others: those with
// the best links first, and among these, and among the rest, by the key.
func ranking(key string, list []Member) []Member {
	first := strong(list)
	rest := slices.DeleteFunc(slices.Clone(list), func(m Member) bool {
		return slices.ContainsFunc(first, func(s Member) bool { return s.Name == m.Name })
	})
	return append(byKey(key, first), byKey(key, rest)...)
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
