// Package isolation assigns each request suspected of crashing endpoints an endpoint of its own, so
// that a crash there identifies the request that caused it.
package isolation

import (
	"slices"

	"github.com/grademill/grademill/decide/fingerprint"
	"github.com/grademill/grademill/decide/rendezvous"
)

// reservedDivisor bounds the assigned endpoints: at most one in reservedDivisor, but at least one,
// is assigned to a suspect. The others serve all other requests.
const reservedDivisor = 3

// Plan assigns endpoints to suspects. Gateways that know the same suspects and endpoints compute
// the same plan. The zero Plan assigns no endpoint.
type Plan struct {
	// assigned maps each suspect that has an endpoint to it. No two suspects share one.
	assigned map[fingerprint.Fingerprint]string
	// reserved holds the assigned endpoints at which no other request may start.
	reserved map[string]bool
}

// New returns the plan for suspects, in any order, among endpoints. If there are too few endpoints,
// the last suspects get none for now. A single endpoint is assigned to the first suspect and also
// serves all other requests.
func New(suspects []fingerprint.Fingerprint, endpoints []string) Plan {
	p := Plan{assigned: make(map[fingerprint.Fingerprint]string), reserved: make(map[string]bool)}
	maxReserved := max(len(endpoints)/reservedDivisor, 1)
	free := slices.Clone(endpoints)
	suspects = slices.Sorted(slices.Values(suspects))
	for _, f := range suspects[:min(maxReserved, len(suspects))] {
		top := rendezvous.Top(f.String(), free, 1)
		if len(top) == 0 {
			break
		}
		p.assigned[f] = top[0]
		p.reserved[top[0]] = len(endpoints) > 1
		free = slices.DeleteFunc(free, func(e string) bool { return e == top[0] })
	}
	return p
}

// Endpoint returns the endpoint of a suspect, and false while it has none.
func (p Plan) Endpoint(f fingerprint.Fingerprint) (string, bool) {
	endpoint, ok := p.assigned[f]
	return endpoint, ok
}

// Empty reports whether no suspect has an endpoint.
func (p Plan) Empty() bool {
	return len(p.assigned) == 0
}

// Reserved reports whether an endpoint is reserved for a suspect, so that no other request may
// start there.
func (p Plan) Reserved(endpoint string) bool {
	return p.reserved[endpoint]
}
