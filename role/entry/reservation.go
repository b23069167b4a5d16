package entry

import (
	"github.com/grademill/grademill/decide/fleet"
	"github.com/grademill/grademill/decide/route"
	"github.com/grademill/grademill/role/gate"
)

// reservation is the capacity that a request holds at a chain, or at one endpoint of a plain
// service.
type reservation struct {
	stages []route.Candidate
	choice route.Choice
	// runnerUp is the last endpoint of the second best chain, empty if there is none.
	runnerUp string
	released bool
	// receiving is set once a token has arrived along the chain.
	receiving bool
}

// newReservation reserves capacity at the candidates.
func newReservation(stages []route.Candidate) *reservation {
	for _, c := range stages {
		c.Usage.OwnSessions.Add(1)
	}
	return &reservation{stages: stages}
}

// release releases the capacity. Further calls have no effect.
func (s *reservation) release() {
	if s.released {
		return
	}
	s.released = true
	for _, c := range s.stages {
		c.Usage.OwnSessions.Add(-1)
	}
}

// names returns the names of the reserved endpoints, in the order of the chain.
func (s *reservation) names() []string {
	names := make([]string, len(s.stages))
	for i, c := range s.stages {
		names[i] = c.Endpoint.Name
	}
	return names
}

// reserveChain reserves the cheapest chain of a service. Unless force is set, it reserves
// none if a stage is full.
func (e *Entry) reserveChain(service string, avoid map[string]bool, force bool) (*reservation, gate.Answer) {
	table := e.snapshot.Load().Models[service]
	if table == nil {
		return nil, gate.Never
	}
	choice, ok := e.choose(table, avoid)
	if !ok {
		return nil, gate.Never
	}
	if choice.Full && !force {
		return nil, gate.Full
	}
	stages := make([]route.Candidate, choice.Len)
	for i := range stages {
		stages[i] = table.Candidates[choice.Stages[i]]
	}
	s := newReservation(stages)
	s.choice = choice
	if choice.RunnerUp >= 0 {
		s.runnerUp = table.Candidates[choice.RunnerUp].Endpoint.Name
	}
	return s, gate.Granted
}

func (e *Entry) choose(table *route.Table, avoid map[string]bool) (route.Choice, bool) {
	seed := e.seed.Add(1) ^ e.incarnation
	if e.Chooser != nil && len(avoid) == 0 {
		return e.Chooser(table, seed)
	}
	if len(avoid) == 0 {
		return table.Choose(seed, nil)
	}
	return table.Choose(seed, func(c *fleet.Endpoint) bool { return avoid[c.Name] })
}

// reserveEndpoint reserves the least loaded endpoint of a plain service.
func (e *Entry) reserveEndpoint(service string, avoid map[string]bool) (*reservation, gate.Answer) {
	best := -1
	candidates := e.snapshot.Load().Plain[service]
	least := 0.0
	for i, c := range candidates {
		if avoid[c.Endpoint.Name] {
			continue
		}
		load := c.Usage.Load()
		if best < 0 || load < least {
			best, least = i, load
		}
	}
	if best < 0 {
		return nil, gate.Never
	}
	if least >= 1 {
		return nil, gate.Full
	}
	return newReservation([]route.Candidate{candidates[best]}), gate.Granted
}
