// Package route chooses the chain of endpoints that a request walks.
package route

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/grademill/grademill/decide/fleet"
	"github.com/grademill/grademill/decide/layer"
)

// MaxStages is the largest number of stages in a chain.
const MaxStages = 16

// Usage counts the sessions that this process has open at one endpoint, and
// those that others have. It is safe for concurrent use and outlives the
// tables that point to it.
type Usage struct {
	// Own is the number of this process's open sessions.
	Own atomic.Int64
	// Others is the rest of what the endpoint last reported.
	Others atomic.Int64
	// StepNanos is the learned time of one step; 0 while not yet learned.
	StepNanos atomic.Int64
	// Limit is the number of sessions that the endpoint asks for.
	Limit atomic.Int64
	// Batch is the number of steps that the endpoint takes together.
	Batch atomic.Int64
	// Epoch is the agent's epoch for calls that run at most once.
	Epoch atomic.Uint64
}

// Report is what an endpoint says of its load. Zero fields are not known.
type Report struct {
	Sessions, Limit, Batch int
	Step                   time.Duration
}

// Report takes in a load report.
func (u *Usage) Report(r Report) {
	u.Others.Store(max(0, int64(r.Sessions)-u.Own.Load()))
	if r.Limit > 0 {
		u.Limit.Store(int64(r.Limit))
	}
	if r.Batch > 0 {
		u.Batch.Store(int64(r.Batch))
	}
	if r.Step > 0 {
		u.StepNanos.Store(int64(r.Step))
	}
}

// Load returns the open sessions as a share of the limit.
func (u *Usage) Load() float64 {
	limit := cmp.Or(u.Limit.Load(), defaultLimit)
	return float64(u.Own.Load()+u.Others.Load()) / float64(limit)
}

// Candidate is an endpoint with its usage.
type Candidate struct {
	Endpoint fleet.Endpoint
	Usage    *Usage
}

// Links is the one-way time between two data halls.
type Links func(from, to string) time.Duration

// Table is an immutable snapshot of the endpoints that serve one model. Its
// methods are safe for concurrent use.
type Table struct {
	// Layers is the number of layers that a chain covers.
	Layers int
	// Candidates are sorted by range and hall.
	Candidates []Candidate

	halls  []string
	cuts   []int
	groups []group
	links  []float64 // nanoseconds by from*len(halls)+to
	home   int
}

// group is the candidates that hold the same range in the same hall.
type group struct {
	from, to   int // indices into cuts
	hall       int
	begin, end int // indices into Candidates
}

// defaultStep is the step time assumed of endpoints that have not reported.
const defaultStep = 10 * time.Millisecond

// The limit on sessions and the size of a batch assumed of endpoints that have
// not reported.
const (
	defaultLimit = 32
	defaultBatch = 8
)

// A choice looks at all candidates of a small group, and at a few of a larger
// one: choices by many processes on the same stale reports then spread over the
// group, as with the power of two choices (Mitzenmacher 2001).
const (
	smallGroup = 4
	samples    = 2
)

// New returns a table of the candidates that may take new work, seen from the
// hall home. Candidates that are leaving or hold no layers are left out.
func New(layers int, home string, candidates []Candidate, links Links) *Table {
	t := &Table{Layers: layers}
	for _, c := range candidates {
		r := c.Endpoint.Layers
		if c.Endpoint.Leaving || r.Empty() || r.First < 0 || r.End > layers {
			continue
		}
		t.Candidates = append(t.Candidates, c)
	}
	slices.SortFunc(t.Candidates, func(a, b Candidate) int {
		x, y := a.Endpoint, b.Endpoint
		return cmp.Or(cmp.Compare(x.Layers.First, y.Layers.First), cmp.Compare(x.Layers.End, y.Layers.End),
			cmp.Compare(x.Hall, y.Hall), cmp.Compare(x.Name, y.Name))
	})
	t.index(home)
	t.home = slices.Index(t.halls, home)
	t.links = make([]float64, len(t.halls)*len(t.halls))
	for i, from := range t.halls {
		for j, to := range t.halls {
			t.links[i*len(t.halls)+j] = float64(links(from, to))
		}
	}
	return t
}

// index fills halls, cuts and groups.
func (t *Table) index(home string) {
	t.halls = []string{home}
	t.cuts = []int{0, t.Layers}
	for _, c := range t.Candidates {
		t.halls = append(t.halls, c.Endpoint.Hall)
		t.cuts = append(t.cuts, c.Endpoint.Layers.First, c.Endpoint.Layers.End)
	}
	slices.Sort(t.halls)
	t.halls = slices.Compact(t.halls)
	slices.Sort(t.cuts)
	t.cuts = slices.Compact(t.cuts)
	for i, c := range t.Candidates {
		e := c.Endpoint
		from, _ := slices.BinarySearch(t.cuts, e.Layers.First)
		to, _ := slices.BinarySearch(t.cuts, e.Layers.End)
		hall, _ := slices.BinarySearch(t.halls, e.Hall)
		last := len(t.groups) - 1
		if last >= 0 && t.groups[last].from == from && t.groups[last].to == to && t.groups[last].hall == hall {
			t.groups[last].end = i + 1
			continue
		}
		t.groups = append(t.groups, group{from: from, to: to, hall: hall, begin: i, end: i + 1})
	}
}

// Choice is a chosen chain.
type Choice struct {
	// Stages are indices into the table's Candidates, the first Len count.
	Stages [MaxStages]int32
	// Len is the number of stages.
	Len int
	// Cost is the estimated time of one token.
	Cost time.Duration
	// RunnerUp is the candidate that the second best chain found has and this one
	// has not; -1 when there is none. RunnerUpCost is that chain's cost.
	RunnerUp     int32
	RunnerUpCost time.Duration
	// Full is whether a stage is at its limit.
	Full bool
}

// Range returns the layers of stage i.
func (t *Table) Range(c Choice, i int) layer.Range {
	return t.Candidates[c.Stages[i]].Endpoint.Layers
}

// fullPenalty keeps endpoints at their limit behind all others.
const fullPenalty = float64(time.Hour)

// cost returns the estimated time of a step at candidate i, and whether the
// endpoint is at its limit. It rises without bound towards the limit: under
// little load the fastest endpoints are taken, and under much all of them, so
// that the batches of slow ones are full as well.
func (t *Table) cost(i int) (cost float64, full bool) {
	c := &t.Candidates[i]
	step := float64(cmp.Or(time.Duration(c.Usage.StepNanos.Load()), c.Endpoint.StepTime, defaultStep))
	open := c.Usage.Own.Load() + c.Usage.Others.Load()
	limit := cmp.Or(c.Usage.Limit.Load(), defaultLimit)
	if open >= limit {
		return step + fullPenalty, true
	}
	return step * float64(limit) / float64(limit-open), false
}

// scratch is the working memory of one choice, by cut and hall.
type scratch struct {
	cost []float64
	via  []int32 // candidate taken to get here, -1 for none
	prev []int32 // state before it
	// swap is the second best candidate in place of via, -1 for none, and more
	// what it would add to the cost.
	swap []int32
	more []float64
}

var scratches = sync.Pool{New: func() any { return new(scratch) }}

// reset makes s ready for n states.
func (s *scratch) reset(n int) {
	if cap(s.cost) < n {
		s.cost = make([]float64, n)
		s.via = make([]int32, n)
		s.prev = make([]int32, n)
		s.swap = make([]int32, n)
		s.more = make([]float64, n)
	}
	s.cost, s.via, s.prev, s.swap, s.more = s.cost[:n], s.via[:n], s.prev[:n], s.swap[:n], s.more[:n]
	for i := range s.cost {
		s.cost[i] = math.Inf(1)
		s.via[i] = -1
		s.swap[i] = -1
	}
}

// Choose returns the cheapest chain among a sample of the candidates. Avoid
// reports candidates that must not be used; it may be nil. Seed picks the
// sample. The second result is false when no chain covers all layers.
func (t *Table) Choose(seed uint64, avoid func(*fleet.Endpoint) bool) (Choice, bool) {
	s := scratches.Get().(*scratch)
	defer scratches.Put(s)
	halls := len(t.halls)
	s.reset(len(t.cuts) * halls)
	s.cost[t.home] = 0
	for g := range t.groups {
		grp := &t.groups[g]
		from, cost := t.enter(s, grp)
		if math.IsInf(cost, 1) {
			continue
		}
		p := t.sample(grp, mix(seed+uint64(g)), avoid)
		if p.best < 0 {
			continue
		}
		state := grp.to*halls + grp.hall
		s.reach(state, from, cost, p)
	}
	return t.trace(s)
}

// enter returns the cheapest state from which grp can be reached, with the cost
// up to the group's hall.
func (t *Table) enter(s *scratch, grp *group) (state int, cost float64) {
	halls := len(t.halls)
	cost = math.Inf(1)
	for h := range halls {
		at := s.cost[grp.from*halls+h] + t.links[h*halls+grp.hall]
		if at < cost {
			state, cost = grp.from*halls+h, at
		}
	}
	return state, cost
}

// reach notes a way to a state through a picked candidate. What is not the
// cheapest way is kept as its runner-up.
func (s *scratch) reach(state, from int, cost float64, p pick) {
	total := cost + p.cost
	if total >= s.cost[state] {
		if more := total - s.cost[state]; s.swap[state] < 0 || more < s.more[state] {
			s.swap[state], s.more[state] = int32(p.best), more
		}
		return
	}
	former, gap := s.via[state], s.cost[state]-total
	s.cost[state], s.via[state], s.prev[state] = total, int32(p.best), int32(from)
	s.swap[state], s.more[state] = int32(p.second), p.more
	if former >= 0 && (p.second < 0 || gap < p.more) {
		s.swap[state], s.more[state] = former, gap
	}
}

// pick is the outcome of looking at a few candidates of a group.
type pick struct {
	best int // -1 for none
	cost float64
	// second is the next best, -1 for none, and more what it costs above best.
	second int
	more   float64
}

// sample looks at a few candidates of grp.
func (t *Table) sample(grp *group, seed uint64, avoid func(*fleet.Endpoint) bool) pick {
	p := pick{best: -1, second: -1}
	size := grp.end - grp.begin
	start := int(seed % uint64(size))
	looked, enough := 0, samples
	if size <= smallGroup {
		enough = size
	}
	for i := 0; i < size && looked < enough; i++ {
		at := grp.begin + (start+i)%size
		if avoid != nil && avoid(&t.Candidates[at].Endpoint) {
			continue
		}
		looked++
		cost, _ := t.cost(at)
		p.offer(at, cost)
	}
	return p
}

// offer takes in one candidate.
func (p *pick) offer(at int, cost float64) {
	switch {
	case p.best < 0:
		p.best, p.cost = at, cost
	case cost < p.cost:
		p.second, p.more = p.best, p.cost-cost
		p.best, p.cost = at, cost
	case p.second < 0 || cost-p.cost < p.more:
		p.second, p.more = at, cost-p.cost
	}
}

// trace walks back from the cheapest end state.
func (t *Table) trace(s *scratch) (Choice, bool) {
	best, second := t.ends(s)
	if best < 0 {
		return Choice{}, false
	}
	c := Choice{Cost: time.Duration(s.cost[best]), RunnerUp: -1}
	if second >= 0 {
		c.runnerUp(s.via[second], s.cost[second]-s.cost[best])
	}
	for state := best; s.via[state] >= 0; state = int(s.prev[state]) {
		if c.Len == MaxStages {
			return Choice{}, false
		}
		c.Stages[c.Len] = s.via[state]
		c.Len++
		if s.swap[state] >= 0 {
			c.runnerUp(s.swap[state], s.more[state])
		}
		_, full := t.cost(int(s.via[state]))
		c.Full = c.Full || full
	}
	slices.Reverse(c.Stages[:c.Len])
	return c, true
}

// ends returns the cheapest and the second cheapest end state, -1 for none,
// with the way home added to their costs.
func (t *Table) ends(s *scratch) (best, second int) {
	halls := len(t.halls)
	last := (len(t.cuts) - 1) * halls
	best, second = -1, -1
	for h := range halls {
		state := last + h
		if math.IsInf(s.cost[state], 1) {
			continue
		}
		s.cost[state] += t.links[h*halls+t.home]
		switch {
		case best < 0 || s.cost[state] < s.cost[best]:
			best, second = state, best
		case second < 0 || s.cost[state] < s.cost[second]:
			second = state
		}
	}
	return best, second
}

// runnerUp takes in a chain with another candidate that costs more by extra.
func (c *Choice) runnerUp(candidate int32, extra float64) {
	if cost := c.Cost + time.Duration(extra); c.RunnerUp < 0 || cost < c.RunnerUpCost {
		c.RunnerUp, c.RunnerUpCost = candidate, cost
	}
}

// mix scrambles a seed so that neighbours differ in all bits.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
