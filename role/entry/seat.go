package entry

import (
	"github.com/grademill/grademill/decide/fleet"
	"github.com/grademill/grademill/decide/route"
	"github.com/grademill/grademill/role/gate"
)

// seat is the room that a request holds: a chain, or one endpoint of a plain
// service.
type seat struct {
	stages []route.Candidate
	choice route.Choice
	// runnerUp is the end of the second best chain, empty for none.
	runnerUp string
	released bool
	// flowing is whether a token has come along the chain.
	flowing bool
}

// newSeat takes room at the candidates.
func newSeat(stages []route.Candidate) *seat {
	for _, c := range stages {
		c.Usage.Own.Add(1)
	}
	return &seat{stages: stages}
}

// release gives the room back; it may be called again.
func (s *seat) release() {
	if s.released {
		return
	}
	s.released = true
	for _, c := range s.stages {
		c.Usage.Own.Add(-1)
	}
}

// names returns the endpoints of the seat, in order.
func (s *seat) names() []string {
	names := make([]string, len(s.stages))
	for i, c := range s.stages {
		names[i] = c.Endpoint.Name
	}
	return names
}

// chain takes room along the cheapest chain of a service. Unless force is set
// it takes none where a stage is full.
func (e *Entry) chain(service string, avoid map[string]bool, force bool) (*seat, gate.Answer) {
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
	s := newSeat(stages)
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

// endpoint takes room at the least loaded endpoint of a plain service.
func (e *Entry) endpoint(service string, avoid map[string]bool) (*seat, gate.Answer) {
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
	return newSeat([]route.Candidate{candidates[best]}), gate.Granted
}
