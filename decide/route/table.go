// Package route chooses the chain of endpoints that serves a request. A Table is an immutable
// snapshot of a model's endpoints; Table.Choose returns the cheapest chain among a sample of
// them.
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

// Usage counts the open sessions of one endpoint and holds its last load report. It is safe for
// concurrent use and outlives the tables that point to it.
type Usage struct {
	// OwnSessions is the number of sessions that this process has open.
	OwnSessions atomic.Int64
	// OtherSessions is the number of other processes' sessions, by the endpoint's last report.
	OtherSessions atomic.Int64
	// StepNanos is the measured time of one step in nanoseconds; 0 while unknown.
	StepNanos atomic.Int64
	// Limit is the number of sessions that the endpoint admits; 0 while unknown.
	Limit atomic.Int64
	// Batch is the number of steps that the endpoint runs together; 0 while unknown.
	Batch atomic.Int64
	// Epoch is the agent's epoch for calls that run at most once; see package once.
	Epoch atomic.Uint64
}

// Report is an endpoint's report of its own load. Zero fields are unknown.
type Report struct {
	Sessions, Limit, Batch int
	Step                   time.Duration
}

// Report records a load report.
func (u *Usage) Report(r Report) {
	u.OtherSessions.Store(max(0, int64(r.Sessions)-u.OwnSessions.Load()))
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

// Load returns the open sessions as a fraction of the limit.
func (u *Usage) Load() float64 {
	limit := cmp.Or(u.Limit.Load(), defaultLimit)
	return float64(u.OwnSessions.Load()+u.OtherSessions.Load()) / float64(limit)
}

// Candidate is an endpoint with its usage.
type Candidate struct {
	Endpoint fleet.Endpoint
	Usage    *Usage
}

// Links returns the one-way latency between two data halls.
type Links func(from, to string) time.Duration

// Table is an immutable snapshot of the endpoints that serve one model. Its methods are safe
// for concurrent use.
type Table struct {
	// Layers is the number of layers that a chain covers.
	Layers int
	// Candidates are sorted by range, hall and name.
	Candidates []Candidate

	halls      []string
	boundaries []int
	groups     []group
	links      []float64 // nanoseconds by from*len(halls)+to
	home       int
}

// group is the candidates that hold the same range in the same hall.
type group struct {
	from, to   int // indices into boundaries
	hall       int
	begin, end int // indices into Candidates
}

// defaultStep is the assumed step time of endpoints that have not reported one.
const defaultStep = 10 * time.Millisecond

// The assumed session limit and batch size of endpoints that have not reported them.
const (
	defaultLimit = 32
	defaultBatch = 8
)

// Choose checks all candidates of a group of at most smallGroup, and sampleSize of a larger
// one. Many processes that choose by the same stale reports then spread over the group, as with
// the power of two choices (Mitzenmacher 2001).
const (
	smallGroup = 4
	sampleSize = 2
)

// New returns a table for requests that start in the hall home. It leaves out candidates that
// are leaving, hold no layers, or hold layers outside the model.
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

// index fills halls, boundaries and groups.
func (t *Table) index(home string) {
	t.halls = []string{home}
	t.boundaries = []int{0, t.Layers}
	for _, c := range t.Candidates {
		t.halls = append(t.halls, c.Endpoint.Hall)
		t.boundaries = append(t.boundaries, c.Endpoint.Layers.First, c.Endpoint.Layers.End)
	}
	slices.Sort(t.halls)
	t.halls = slices.Compact(t.halls)
	slices.Sort(t.boundaries)
	t.boundaries = slices.Compact(t.boundaries)
	for i, c := range t.Candidates {
		e := c.Endpoint
		from, _ := slices.BinarySearch(t.boundaries, e.Layers.First)
		to, _ := slices.BinarySearch(t.boundaries, e.Layers.End)
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
	// Stages are indices into the table's Candidates; only the first Len are valid.
	Stages [MaxStages]int32
	// Len is the number of stages.
	Len int
	// Cost is the estimated time of one token.
	Cost time.Duration
	// RunnerUp is the candidate that distinguishes the second cheapest chain found from this
	// one, or -1 for none. RunnerUpCost is the cost of that chain.
	RunnerUp     int32
	RunnerUpCost time.Duration
	// Full is set when a stage is at its limit.
	Full bool
}

// Range returns the layers of stage i.
func (t *Table) Range(c Choice, i int) layer.Range {
	return t.Candidates[c.Stages[i]].Endpoint.Layers
}

// fullPenalty is the cost in nanoseconds that ranks endpoints at their limit behind all others.
const fullPenalty = float64(time.Hour)

// cost returns the estimated time of a step at candidate i in nanoseconds, and whether the
// endpoint is at its limit. The cost grows without bound towards the limit: low load goes to
// the fastest endpoints, high load to all of them, so that slow endpoints run full batches as
// well.
func (t *Table) cost(i int) (cost float64, full bool) {
	c := &t.Candidates[i]
	step := float64(cmp.Or(time.Duration(c.Usage.StepNanos.Load()), c.Endpoint.StepTime, defaultStep))
	open := c.Usage.OwnSessions.Load() + c.Usage.OtherSessions.Load()
	limit := cmp.Or(c.Usage.Limit.Load(), defaultLimit)
	if open >= limit {
		return step + fullPenalty, true
	}
	return step * float64(limit) / float64(limit-open), false
}

// scratch is the working memory of one choice, indexed by state: a boundary and a hall.
type scratch struct {
	cost      []float64
	candidate []int32 // last candidate on the cheapest path, -1 for none
	prev      []int32 // state before that candidate
	// runnerUp is the second best candidate in place of the last one, -1 for none, and extra
	// its additional cost.
	runnerUp []int32
	extra    []float64
}

var scratches = sync.Pool{New: func() any { return new(scratch) }}

// reset prepares s for n states.
func (s *scratch) reset(n int) {
	if cap(s.cost) < n {
		s.cost = make([]float64, n)
		s.candidate = make([]int32, n)
		s.prev = make([]int32, n)
		s.runnerUp = make([]int32, n)
		s.extra = make([]float64, n)
	}
	s.cost, s.candidate, s.prev, s.runnerUp, s.extra = s.cost[:n], s.candidate[:n], s.prev[:n], s.runnerUp[:n], s.extra[:n]
	for i := range s.cost {
		s.cost[i] = math.Inf(1)
		s.candidate[i] = -1
		s.runnerUp[i] = -1
	}
}

// Choose returns the cheapest chain among a sample of the candidates. The avoid function
// reports candidates to leave out; it may be nil. The seed determines the sample. Choose
// returns false when no chain of at most MaxStages covers all layers.
func (t *Table) Choose(seed uint64, avoid func(*fleet.Endpoint) bool) (Choice, bool) {
	s := scratches.Get().(*scratch)
	defer scratches.Put(s)
	halls := len(t.halls)
	s.reset(len(t.boundaries) * halls)
	s.cost[t.home] = 0
	for g := range t.groups {
		grp := &t.groups[g]
		from, cost := t.cheapestEntry(s, grp)
		if math.IsInf(cost, 1) {
			continue
		}
		p := t.sample(grp, mix(seed+uint64(g)), avoid)
		if p.best < 0 {
			continue
		}
		state := grp.to*halls + grp.hall
		s.record(state, from, cost, p)
	}
	return t.trace(s)
}

// cheapestEntry returns the cheapest state from which a chain can enter grp, with the cost up
// to the group's hall.
func (t *Table) cheapestEntry(s *scratch, grp *group) (state int, cost float64) {
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

// record records a path to a state through a picked candidate. A path that is not the cheapest
// one may become the runner-up.
func (s *scratch) record(state, from int, cost float64, p pick) {
	total := cost + p.cost
	if total >= s.cost[state] {
		if extra := total - s.cost[state]; s.runnerUp[state] < 0 || extra < s.extra[state] {
			s.runnerUp[state], s.extra[state] = int32(p.best), extra
		}
		return
	}
	former, gap := s.candidate[state], s.cost[state]-total
	s.cost[state], s.candidate[state], s.prev[state] = total, int32(p.best), int32(from)
	s.runnerUp[state], s.extra[state] = int32(p.second), p.extra
	if former >= 0 && (p.second < 0 || gap < p.extra) {
		s.runnerUp[state], s.extra[state] = former, gap
	}
}

// pick is the result of sampling a group.
type pick struct {
	best int // -1 for none
	cost float64
	// second is the next best candidate, -1 for none, and extra its additional cost over best.
	second int
	extra  float64
}

// sample picks the cheapest of a few candidates of grp.
func (t *Table) sample(grp *group, seed uint64, avoid func(*fleet.Endpoint) bool) pick {
	p := pick{best: -1, second: -1}
	size := grp.end - grp.begin
	start := int(seed % uint64(size))
	checked, limit := 0, sampleSize
	if size <= smallGroup {
		limit = size
	}
	for i := 0; i < size && checked < limit; i++ {
		at := grp.begin + (start+i)%size
		if avoid != nil && avoid(&t.Candidates[at].Endpoint) {
			continue
		}
		checked++
		cost, _ := t.cost(at)
		p.consider(at, cost)
	}
	return p
}

// consider takes one candidate into account.
func (p *pick) consider(at int, cost float64) {
	switch {
	case p.best < 0:
		p.best, p.cost = at, cost
	case cost < p.cost:
		p.second, p.extra = p.best, p.cost-cost
		p.best, p.cost = at, cost
	case p.second < 0 || cost-p.cost < p.extra:
		p.second, p.extra = at, cost-p.cost
	}
}

// trace returns the chain that leads to the cheapest end state, and false when there is none of
// at most MaxStages.
func (t *Table) trace(s *scratch) (Choice, bool) {
	best, second := t.endStates(s)
	if best < 0 {
		return Choice{}, false
	}
	c := Choice{Cost: time.Duration(s.cost[best]), RunnerUp: -1}
	if second >= 0 {
		c.considerRunnerUp(s.candidate[second], s.cost[second]-s.cost[best])
	}
	for state := best; s.candidate[state] >= 0; state = int(s.prev[state]) {
		if c.Len == MaxStages {
			return Choice{}, false
		}
		c.Stages[c.Len] = s.candidate[state]
		c.Len++
		if s.runnerUp[state] >= 0 {
			c.considerRunnerUp(s.runnerUp[state], s.extra[state])
		}
		_, full := t.cost(int(s.candidate[state]))
		c.Full = c.Full || full
	}
	slices.Reverse(c.Stages[:c.Len])
	return c, true
}

// endStates returns the cheapest and the second cheapest end state, -1 for none. It adds the
// latency back to the home hall to their costs.
func (t *Table) endStates(s *scratch) (best, second int) {
	halls := len(t.halls)
	last := (len(t.boundaries) - 1) * halls
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

// considerRunnerUp takes a chain into account that replaces one candidate and costs extra
// nanoseconds more.
func (c *Choice) considerRunnerUp(candidate int32, extra float64) {
	if cost := c.Cost + time.Duration(extra); c.RunnerUp < 0 || cost < c.RunnerUpCost {
		c.RunnerUp, c.RunnerUpCost = candidate, cost
	}
}

// mix scrambles a seed so that successive seeds differ in all bits (splitmix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
