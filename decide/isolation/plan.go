// Package isolation places requests that are suspected of ending the endpoints that begin to run
// them, each at an endpoint of its own: what ends there tells which of them it was.
package isolation

import (
	"slices"

	"github.com/grademill/grademill/decide/fingerprint"
	"github.com/grademill/grademill/decide/rendezvous"
)

// reservedShare is one over the part of the endpoints that may be reserved: the rest serves all
// others.
const reservedShare = 3

// Plan says at which endpoint each suspect is tried. Gateways that know the same suspects and
// endpoints have the same plan. The zero Plan has no suspects.
type Plan struct {
	// of is the endpoint of each suspect that has one. No two have the same.
	of map[fingerprint.Fingerprint]string
	// reserved are those of them at which nothing else is to begin.
	reserved map[string]bool
}

// New returns the plan for suspects, in any order, among endpoints. Where there are too few, the
// suspects that come later have none yet. A single endpoint is that of the first suspect, and
// serves all others, too.
func New(suspects []fingerprint.Fingerprint, endpoints []string) Plan {
	p := Plan{of: make(map[fingerprint.Fingerprint]string), reserved: make(map[string]bool)}
	most := max(len(endpoints)/reservedShare, 1)
	free := slices.Clone(endpoints)
	suspects = slices.Sorted(slices.Values(suspects))
	for _, f := range suspects[:min(most, len(suspects))] {
		top := rendezvous.Top(f.String(), free, 1)
		if len(top) == 0 {
			break
		}
		p.of[f] = top[0]
		p.reserved[top[0]] = len(endpoints) > 1
		free = slices.DeleteFunc(free, func(e string) bool { return e == top[0] })
	}
	return p
}

// Of returns the endpoint at which a suspect is tried, and false while it has none.
func (p Plan) Of(f fingerprint.Fingerprint) (string, bool) {
	endpoint, ok := p.of[f]
	return endpoint, ok
}

// Empty reports whether there are no suspects.
func (p Plan) Empty() bool {
	return len(p.of) == 0
}

// Reserved reports whether a suspect is tried at an endpoint, and nothing else is to begin there.
func (p Plan) Reserved(endpoint string) bool {
	return p.reserved[endpoint]
}
