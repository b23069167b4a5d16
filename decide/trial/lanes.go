// Package trial places requests that are suspected of ending the endpoints that begin to run
// them, each at an endpoint of its own: what ends there tells which of them it was.
package trial

import (
	"slices"

	"github.com/grademill/grademill/decide/fingerprint"
	"github.com/grademill/grademill/decide/rendezvous"
)

// laneShare is one over the part of the endpoints that may be lanes: the rest serves all others.
const laneShare = 2

// Lanes are the endpoints at which suspects are tried. Gateways that know the same suspects and
// endpoints have the same lanes. The zero Lanes has none.
type Lanes struct {
	// of is the lane of each suspect that has one, by its fingerprint.
	of map[fingerprint.Fingerprint]string
	// taken are the lanes.
	taken map[string]bool
}

// New returns the lanes of suspects, in any order, among endpoints. Where there are too few, the
// suspects that come later have none yet. A single endpoint is the lane of the first suspect, and
// serves all others, too.
func New(suspects []fingerprint.Fingerprint, endpoints []string) Lanes {
	l := Lanes{of: make(map[fingerprint.Fingerprint]string), taken: make(map[string]bool)}
	most := max(len(endpoints)/laneShare, 1)
	free := slices.Clone(endpoints)
	suspects = slices.Sorted(slices.Values(suspects))
	for _, f := range suspects[:min(most, len(suspects))] {
		top := rendezvous.Top(f.String(), free, 1)
		if len(top) == 0 {
			break
		}
		l.of[f] = top[0]
		l.taken[top[0]] = len(endpoints) > 1
		free = slices.DeleteFunc(free, func(e string) bool { return e == top[0] })
	}
	return l
}

// Of returns the lane of a suspect, and false while it has none.
func (l Lanes) Of(f fingerprint.Fingerprint) (string, bool) {
	lane, ok := l.of[f]
	return lane, ok
}

// Empty reports whether there are none.
func (l Lanes) Empty() bool {
	return len(l.of) == 0
}

// Taken reports whether an endpoint is a lane, at which nothing else is to begin.
func (l Lanes) Taken(endpoint string) bool {
	return l.taken[endpoint]
}
