package roomshare_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/grademill/grademill/decide/roomshare"
)

// The simulated load: the intervals are those of role/gossip, the rest is a deployment whose
// least loaded hall is offered 1.5 times its capacity.
const (
	tick         = 15 * time.Millisecond
	sumsTicks    = 20 // 300 ms between sums of a hall
	delayTicks   = 2  // 30 ms on the way
	holdTicks    = 200
	timeoutTicks = 33 // a request waits for half a second
	flatSize     = 12
	stages       = 10
	replicas     = 2
	meanNeed     = 800.0
	needSpread   = 0.8 // sigma of the lognormal distribution
	overload     = 1.5
	// leaving is the part of the requests that use another hall.
	leaving = 0.05
	// remoteWeight is the part of the demand of other halls that counts at an endpoint, divided
	// among those halls.
	remoteWeight = 0.2
	warmUpTicks  = 400
	spanTicks    = 600
)

// rule is how a gateway decides whether a request may be placed.
type rule int

const (
	unlimited       rule = iota // what seems free by the latest reports
	withoutReuse                // Budget without WithRelease
	budgeted                    // Budget
	withoutLearning             // Budget without WithRejection
)

func (r rule) String() string {
	return [...]string{"unlimited", "without reuse", "budgeted", "without learning"}[r]
}

type digest struct {
	held   []float64
	demand float64
}

type request struct {
	need  float64
	hall  int
	since int
	chain [stages]int
}

type gateway struct {
	hall    int
	rule    rule
	weight  float64
	phase   int
	held    []float64
	near    map[int]digest // by gateway
	sums    map[int]digest // by hall
	seen    []float64      // memory in the reports of others
	budgets []roomshare.Budget
	shares  []float64
	known   int // reports in force at the last round
	// settled is when all others must have been heard after the first one.
	settled int
	waiting []request
	// ended is set while the gateway does not run, cut while it exchanges no digests.
	ended, cut bool
	// arrivals and rejected count its requests at endpoints.
	arrivals, rejected int
}

// fleet replays one load against gateways that report to each other.
type fleet struct {
	random   *rand.Rand
	halls    int
	room     float64
	interval int // ticks between digests
	all      []*gateway
	used     []float64 // memory really held at each endpoint
	events   map[int][]func()
	now      int
	rate     float64 // arrivals per tick and weight
	// lost is the share of digests that are lost.
	lost float64

	sent        int // requests sent along a chain
	utilization float64
	samples     int
}

func newFleet(size, halls int, requests float64, r rule) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(1, 2)), halls: halls, room: requests * meanNeed, events: make(map[int][]func())}
	n := halls * stages * replicas
	f.used = make([]float64, n)
	peers := size - 1
	if size > flatSize {
		peers = (size+halls-1)/halls - 1
	}
	f.interval = int(math.Round(10 * float64(max(peers, flatSize)) / flatSize))
	weights := make([]float64, halls)
	for i := range size {
		g := &gateway{
			hall: i % halls, rule: r, weight: []float64{1, 4, 2, 3}[(i/halls+i%halls)%4], phase: f.random.IntN(f.interval),
			held: make([]float64, n), seen: make([]float64, n), shares: make([]float64, n), budgets: make([]roomshare.Budget, n),
			near: make(map[int]digest), sums: make(map[int]digest),
		}
		for e := range g.shares {
			g.shares[e] = roomshare.Share(0, 1, 0, remoteWeight, size)
		}
		f.start(g)
		weights[g.hall] += g.weight
		f.all = append(f.all, g)
	}
	f.rate = overload * requests * replicas / holdTicks / slices.Min(weights)
	return f
}

func (f *fleet) at(tick int, do func()) { f.events[tick] = append(f.events[tick], do) }

// settling is the time in which a gateway that hears the first of the others hears them all.
func (f *fleet) settling() int { return 2 * max(f.interval, sumsTicks) }

// end stops a gateway, and start runs it; its requests go on at the endpoints.
func (f *fleet) end(g *gateway) { g.ended, g.cut = true, true }

func (f *fleet) start(g *gateway) {
	g.ended, g.cut, g.settled = false, false, f.now+f.settling()
	f.round(g)
}

func (f *fleet) flat() bool { return len(f.all) <= flatSize }

// report sends a gateway's digest to the gateways of its hall, or to all in a small fleet.
func (f *fleet) report(from int) {
	g := f.all[from]
	if g.cut {
		return
	}
	d := digest{append([]float64(nil), g.held...), f.demand(g)}
	var receivers []*gateway
	for _, to := range f.all {
		if to != g && (f.flat() || to.hall == g.hall) {
			receivers = append(receivers, to)
		}
	}
	for _, to := range receivers {
		if f.random.Float64() >= f.lost {
			f.at(f.now+delayTicks, func() {
				if !to.cut {
					to.take(to.near, from, d)
				}
			})
		}
	}
	f.at(f.now+6*f.interval+delayTicks, func() { drop(receivers, from, d, func(g *gateway) map[int]digest { return g.near }) })
}

// drop removes a digest that is six intervals old where no later one has arrived.
func drop(receivers []*gateway, key int, d digest, reports func(*gateway) map[int]digest) {
	for _, to := range receivers {
		if old, ok := reports(to)[key]; ok && &old.held[0] == &d.held[0] {
			to.take(reports(to), key, digest{})
		}
	}
}

// reportSums sends the sums of a hall, as its first gateway knows them, to the other halls.
func (f *fleet) reportSums(hall int) {
	from := f.all[hall]
	if from.cut {
		return
	}
	sum := digest{append([]float64(nil), from.held...), f.demand(from)}
	for _, d := range from.near {
		sum.demand += d.demand
		for e, held := range d.held {
			sum.held[e] += held
		}
	}
	f.at(f.now+2*delayTicks, func() {
		for _, to := range f.all {
			if to.hall != hall && !to.cut {
				to.take(to.sums, hall, sum)
			}
		}
	})
	f.at(f.now+6*sumsTicks+2*delayTicks, func() { drop(f.all, hall, sum, func(g *gateway) map[int]digest { return g.sums }) })
}

// take replaces a report by a newer one; one without held drops it.
func (g *gateway) take(reports map[int]digest, key int, d digest) {
	old, seen := reports[key], g.seen
	switch {
	case d.held == nil:
		for e, held := range old.held {
			seen[e] -= held
		}
		delete(reports, key)
		return
	case old.held == nil:
		for e, held := range d.held {
			seen[e] += held
		}
	default:
		was := old.held[:len(d.held)]
		for e, held := range d.held {
			if held != was[e] {
				seen[e] += held - was[e]
			}
		}
	}
	reports[key] = d
}

// demand is what a gateway reports; the former build reports none.
func (f *fleet) demand(g *gateway) float64 {
	if g.rule == unlimited {
		return 0
	}
	return g.weight
}

// round starts a round of all budgets of a gateway.
func (f *fleet) round(g *gateway) {
	demands := make([]float64, f.halls)
	for from, d := range g.near {
		demands[f.all[from].hall] += d.demand
	}
	total := 0.0
	for hall, d := range g.sums {
		demands[hall] += d.demand
	}
	for _, d := range demands {
		total += d
	}
	weight, turnover := remoteWeight/float64(f.halls-1), float64(f.interval)/holdTicks
	lost := len(g.near)+len(g.sums) < g.known
	g.known = len(g.near) + len(g.sums)
	if g.known == 0 {
		g.settled = f.now + f.settling()
	}
	isolated := len(f.all) > 1 && f.now < g.settled
	for e := range g.budgets {
		hall := e / (stages * replicas)
		own := g.weight
		if hall != g.hall {
			own *= weight
		}
		if isolated {
			g.budgets[e] = g.budgets[e].WithRound(roomshare.IsolatedRound(f.room, g.held[e], g.shares[e], meanNeed, turnover))
			continue
		}
		if !lost {
			g.shares[e] = roomshare.Share(own, demands[hall], total-demands[hall], weight, len(f.all))
		}
		g.budgets[e] = g.budgets[e].WithRound(roomshare.Round{Free: f.room - g.held[e] - g.seen[e], Share: g.shares[e], Typical: meanNeed, Turnover: turnover})
	}
}

// chain chooses the endpoint of each stage with the most room among those that may be used.
func (f *fleet) chain(g *gateway, r *request) bool {
	for stage := range stages {
		best, most := -1, 0.0
		for replica := range replicas {
			e := (r.hall*stages+stage)*replicas + replica
			free := f.room - g.held[e] - g.seen[e] - r.need
			if free >= 0 && (best < 0 || free > most) && (g.rule == unlimited || g.budgets[e].Allows(r.need)) {
				best, most = e, free
			}
		}
		if best < 0 {
			return false
		}
		r.chain[stage] = best
	}
	return true
}

// place sends a request along its chain until an endpoint rejects it.
func (f *fleet) place(g *gateway, r request) bool {
	f.sent++
	for i, e := range r.chain {
		g.arrivals++
		g.budgets[e] = g.budgets[e].WithRequest(r.need)
		if f.used[e]+r.need > f.room {
			g.rejected++
			if g.rule != withoutLearning {
				g.budgets[e] = g.budgets[e].WithRejection()
			}
			f.release(g, r.chain[:i], r.need)
			return false
		}
		f.used[e] += r.need
		g.held[e] += r.need
	}
	f.at(f.now+holdTicks/2+f.random.IntN(holdTicks), func() { f.release(g, r.chain[:], r.need) })
	return true
}

func (f *fleet) release(g *gateway, chain []int, need float64) {
	for _, e := range chain {
		f.used[e] -= need
		g.held[e] -= need
		if g.rule >= budgeted {
			g.budgets[e] = g.budgets[e].WithRelease(need)
		}
	}
}

func (f *fleet) step() {
	for _, do := range f.events[f.now] {
		do()
	}
	delete(f.events, f.now)
	for hall := range f.halls {
		if !f.flat() && (f.now+7*hall)%sumsTicks == 0 {
			f.reportSums(hall)
		}
	}
	for i, g := range f.all {
		if g.ended {
			continue
		}
		if (f.now+g.phase)%f.interval == 0 {
			f.report(i)
			if g.rule != unlimited {
				f.round(g)
			}
		}
		f.serve(g)
	}
	f.now++
}

// serve adds the requests that arrive in a tick and tries those that wait.
func (f *fleet) serve(g *gateway) {
	for wait := f.random.ExpFloat64(); wait < f.rate*g.weight; wait += f.random.ExpFloat64() {
		need := min(meanNeed*math.Exp(needSpread*f.random.NormFloat64()-needSpread*needSpread/2), 10*meanNeed)
		r := request{need: need, hall: g.hall, since: f.now}
		if f.random.Float64() < leaving {
			r.hall = (g.hall + 1 + f.random.IntN(f.halls-1)) % f.halls
		}
		g.waiting = append(g.waiting, r)
	}
	kept := g.waiting[:0]
	for _, r := range g.waiting {
		if f.now-r.since <= timeoutTicks && (!f.chain(g, &r) || !f.place(g, r)) {
			kept = append(kept, r)
		}
	}
	g.waiting = kept
}

// run steps the fleet. It returns the share of arrivals at endpoints that were rejected in that
// time, and the mean share of memory in use.
func (f *fleet) run(ticks int) (rejected, used float64) {
	f.sent, f.utilization, f.samples = 0, 0, 0
	for _, g := range f.all {
		g.arrivals, g.rejected = 0, 0
	}
	for range ticks {
		f.step()
		for _, u := range f.used {
			f.utilization += u / f.room
		}
		f.samples += len(f.used)
	}
	return f.rejected(f.all...), f.utilization / float64(f.samples)
}

// rejectedRequests returns the share of the requests sent that some endpoint rejected.
func (f *fleet) rejectedRequests() float64 {
	rejected := 0
	for _, g := range f.all {
		rejected += g.rejected
	}
	return float64(rejected) / float64(max(f.sent, 1))
}

// held returns the mean part of the memory of its hall's endpoints that a gateway holds.
func (f *fleet) held(g *gateway) float64 { return f.hallHeld(g, g.hall) }

func (f *fleet) hallHeld(g *gateway, hall int) (held float64) {
	for e := hall * stages * replicas; e < (hall+1)*stages*replicas; e++ {
		held += g.held[e] / f.room / stages / replicas
	}
	return held
}

// rejected returns the share of the arrivals of some gateways that endpoints rejected.
func (f *fleet) rejected(some ...*gateway) float64 {
	arrivals, rejected := 0, 0
	for _, g := range some {
		arrivals += g.arrivals
		rejected += g.rejected
	}
	return float64(rejected) / float64(max(arrivals, 1))
}
