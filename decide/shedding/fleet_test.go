package shedding_test

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/grademill/grademill/decide/capacity"
	"github.com/grademill/grademill/decide/demand"
	"github.com/grademill/grademill/decide/rate"
	"github.com/grademill/grademill/decide/shedding"
	"github.com/grademill/grademill/decide/thinning"
	"github.com/grademill/grademill/decide/urgency"
)

// Times of the replayed deployment.
const (
	tick           = 10 * time.Millisecond
	pollInterval   = 15 * time.Millisecond
	digestInterval = 150 * time.Millisecond
	reportTimeout  = 6 * digestInterval
	isolatedAfter  = 2 * time.Second
	held           = 3 * time.Second        // a slot, by a request
	firstEvent     = 100 * time.Millisecond // from the slot to the first event
)

// kind is a kind of request; its weight is its part of the arrivals.
type kind struct {
	weight    float64
	priority  int
	team      string
	objective time.Duration
}

// load is a recorded load and what happens to the fleet under it. Functions of time may be nil.
type load struct {
	gateways int
	capacity float64 // requests per second
	kinds    []kind
	duration time.Duration
	offered  func(at time.Duration) float64 // in capacities
	room     func(at time.Duration) float64 // in parts of the slots
	today    func(gateway int) bool         // whether the gateway is of the former build
	ended    func(gateway int, at time.Duration) bool
	spread   time.Duration                            // by which the duration of a request is longer or shorter than held
	deaf     func(gateway int, at time.Duration) bool // whether it hears nobody
}

type request struct {
	kind      kind
	start     time.Duration // of the first attempt
	until     time.Duration
	returned  bool
	attempted time.Duration
}

type report struct {
	arrives, sent time.Duration
	demand        demand.Demand
}

// gateway is one copy of the decision with the queue, the meters and the reports that it needs.
type gateway struct {
	level    shedding.Level
	estimate capacity.Estimate
	thinner  thinning.Thinner
	queues   [40][]*request // by priority and urgency
	meters   map[demand.Class]map[string]*rate.Meter
	admitted rate.Meter
	refused  rate.Meter
	retries  rate.Meter
	reports  map[int][]report
	heard    time.Duration
	fleet    demand.Demand
	part     float64 // of the fleet's demand, set while the gateway is isolated
	inTime   float64 // in the second half of the load
}

// counts of a second of the load, by the time of the first attempt.
type counts struct {
	offered, inTime, late, lost float64
	capacity                    float64 // mean estimate at the end
	open                        float64 // gateways with an open level at the end
	served                      float64 // in time, by the time of admission
}

type result struct {
	gateways []float64 // in time in the second half of the load, by gateway
	seconds  []counts
	kinds    []map[kind]*counts // by second
}

// sum returns the counts of the seconds from a to b, of the kinds that match.
func (r result) sum(a, b int, match func(kind) bool) counts {
	var sum counts
	for _, second := range r.kinds[a:b] {
		for k, c := range second {
			if match == nil || match(k) {
				sum.offered += c.offered
				sum.inTime += c.inTime
				sum.late += c.late
				sum.lost += c.lost
			}
		}
	}
	for _, second := range r.seconds[a:b] {
		sum.served += second.served
	}
	return sum
}

func thinKey(class demand.Class, team string) string {
	return strconv.Itoa(class.Priority) + strconv.FormatBool(class.Returning) + team
}

func (c counts) share() float64 { return c.inTime / max(c.offered, 1) }

func at(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }

func count(m *rate.Meter, now time.Duration) {
	if m.Span == 0 {
		m.Span = time.Second
	}
	*m = m.WithCount(at(now), 1)
}

// order is the way in which a gateway admits requests.
type order int

const (
	byLevel        order = iota
	returningFirst       // today's, while few callers return
	byUrgency            // today's, with urgency.Load
)

// replay runs the load with the order at all gateways that are not of the former build. Those use
// byUrgency.
func replay(l load, way order) result {
	random := rand.New(rand.NewPCG(1, 2))
	seconds := int(l.duration / time.Second)
	res := result{seconds: make([]counts, seconds+8), kinds: make([]map[kind]*counts, seconds+8)}
	for i := range res.kinds {
		res.kinds[i] = make(map[kind]*counts)
		for _, k := range l.kinds {
			res.kinds[i][k] = &counts{}
		}
	}
	shortest := time.Hour
	total := 0.0
	for _, k := range l.kinds {
		shortest = min(shortest, k.objective)
		total += k.weight
	}
	pick := func() kind {
		at := random.Float64() * total
		for _, k := range l.kinds {
			if at -= k.weight; at < 0 {
				return k
			}
		}
		return l.kinds[0]
	}
	fleet := make([]*gateway, l.gateways)
	plain := func(i int) bool { return way == byUrgency || l.today != nil && l.today(i) }
	old := func(i int) bool { return way != byLevel || l.today != nil && l.today(i) }
	for i := range fleet {
		fleet[i] = &gateway{
			estimate: capacity.Estimate{Span: held}, thinner: thinning.Thinner{Seed: uint64(i)},
			meters: make(map[demand.Class]map[string]*rate.Meter), reports: make(map[int][]report),
		}
	}
	policy := shedding.Policy{MinShare: shedding.DefaultMinShare, ReturnShare: shedding.DefaultReturnShare}
	slots := l.capacity * held.Seconds()
	used := 0.0
	ends := make(map[time.Duration]float64) // slots by the tick in which they become free
	returns := make(map[time.Duration][]*request)
	record := func(q *request) *counts { return res.kinds[q.start/time.Second][q.kind] }
	refuse := func(g *gateway, q *request, now time.Duration) {
		count(&g.refused, now)
		if q.returned {
			record(q).lost++
			return
		}
		back := now + 3*time.Second + time.Duration(random.Int64N(300))*tick
		returns[back.Truncate(tick)] = append(returns[back.Truncate(tick)], q)
	}
	arrive := func(q *request, now time.Duration) {
		i := random.IntN(l.gateways)
		for l.ended != nil && l.ended(i, now) {
			i = random.IntN(l.gateways)
		}
		g := fleet[i]
		class := demand.Class{Priority: q.kind.priority, Returning: q.returned}
		if g.meters[class] == nil {
			g.meters[class] = make(map[string]*rate.Meter)
		}
		for _, name := range []string{"", q.kind.team} { // "" counts the class
			if g.meters[class][name] == nil {
				g.meters[class][name] = &rate.Meter{}
			}
			count(g.meters[class][name], now)
		}
		if !old(i) && !g.thinner.Keep(thinKey(class, q.kind.team), g.level.Admit(class, q.kind.team)) {
			refuse(g, q, now)
			return
		}
		q.until = q.start + q.kind.objective - firstEvent
		urgent := urgency.New
		if q.returned {
			g.retries = g.retries.WithCount(at(now), 1)
			q.until = now + 3*q.kind.objective - firstEvent
			urgent = urgency.Returned
			if plain(i) || !old(i) && g.level.Open() {
				urgent = urgency.Load{Admitted: g.admitted.PerSecond(at(now)), Returning: g.retries.PerSecond(at(now))}.Of(false, true)
			}
		}
		line := q.kind.priority*int(urgency.Levels) + int(urgency.Levels) - 1 - int(urgent)
		g.queues[line] = append(g.queues[line], q)
	}
	poll := func(g *gateway, now time.Duration, room float64) {
		for line, queue := range g.queues {
			if len(queue) == 0 {
				continue
			}
			queue = slices.DeleteFunc(queue, func(q *request) bool {
				if q.until >= now {
					return false
				}
				refuse(g, q, now)
				return true
			})
			for len(queue) > 0 && used < room {
				q := queue[0]
				queue = queue[1:]
				used++
				ends[(now+held+time.Duration((2*random.Float64()-1)*float64(l.spread))).Truncate(tick)]++
				count(&g.admitted, now)
				if q.returned {
					record(q).late++
				} else {
					record(q).inTime++
					res.seconds[now/time.Second].served++
					if now > l.duration/2 {
						g.inTime++
					}
				}
			}
			g.queues[line] = queue
		}
	}
	own := func(g *gateway, now time.Duration) demand.Demand {
		d := demand.Demand{Admitted: g.admitted.PerSecond(at(now)), Refused: g.refused.PerSecond(at(now)), Classes: make(map[demand.Class]demand.Load)}
		for _, queue := range g.queues {
			d.Waiting += float64(len(queue))
		}
		if v := g.estimate.Value(); v > 0 {
			d.CapacitySum, d.Estimates = v, 1
		}
		for class, meters := range g.meters {
			teams := make(map[string]float64)
			for team, m := range meters {
				teams[team] = m.PerSecond(at(now))
			}
			offered := teams[""]
			delete(teams, "")
			names := slices.SortedFunc(maps.Keys(teams), func(a, b string) int {
				return cmp.Or(cmp.Compare(teams[b], teams[a]), cmp.Compare(a, b))
			})
			for _, name := range names[min(len(names), demand.MaxTeams):] {
				delete(teams, name)
			}
			d.Classes[class] = demand.Load{Offered: offered, Teams: teams}
		}
		return d
	}
	decide := func(i int, now time.Duration) {
		g := fleet[i]
		if old(i) {
			return
		}
		d := own(g, now)
		for j, other := range fleet {
			if j != i && !(l.deaf != nil && l.deaf(j, now)) {
				delay := 200*time.Millisecond + time.Duration(random.Int64N(200))*time.Millisecond
				other.reports[i] = append(other.reports[i], report{now + delay, now, d})
			}
		}
		sum := d
		for j := range fleet {
			reports := g.reports[j]
			for len(reports) > 1 && reports[1].arrives <= now {
				reports = reports[1:]
			}
			g.reports[j] = reports
			if len(reports) > 0 && reports[0].arrives <= now && now-reports[0].sent <= reportTimeout+400*time.Millisecond {
				sum = sum.Plus(reports[0].demand)
				g.heard = now
			}
		}
		if now-g.heard >= isolatedAfter && g.part == 0 && g.fleet.Offered() > 0 {
			g.part = d.Offered() / max(g.fleet.Offered(), 1)
			g.estimate = g.estimate.WithPart(g.part)
		}
		if g.part > 0 && now-g.heard < isolatedAfter {
			g.estimate = g.estimate.WithPart(1 / g.part)
			g.part = 0
		}
		if g.part == 0 && g.heard == now {
			g.fleet = sum
		}
		g.estimate = g.estimate.Next(sum, capacity.Target(shortest, l.today != nil), at(now))
		g.level = policy.Level(sum, g.estimate.Value())
	}
	for now := time.Duration(0); now < l.duration+7*time.Second; now += tick {
		used -= ends[now]
		delete(ends, now)
		room := slots
		if l.room != nil {
			room *= l.room(now)
		}
		for _, q := range returns[now] {
			q.returned = true
			arrive(q, now)
		}
		delete(returns, now)
		if now < l.duration {
			mean := l.capacity * l.offered(now) * tick.Seconds()
			for gap := random.ExpFloat64(); gap < mean; gap += random.ExpFloat64() { // a Poisson process
				q := &request{kind: pick(), start: now}
				record(q).offered++
				arrive(q, now)
			}
		}
		for _, i := range random.Perm(l.gateways) {
			g := fleet[i]
			if l.ended != nil && l.ended(i, now) {
				continue
			}
			offset := time.Duration(i) * 7 * time.Millisecond
			if (now+offset)%pollInterval < tick {
				poll(g, now, room)
			}
			if (now+offset)%digestInterval < tick {
				decide(i, now)
			}
		}
		if s := &res.seconds[now/time.Second]; now%time.Second == time.Second-tick {
			for _, g := range fleet {
				s.capacity += g.estimate.Value() / float64(l.gateways)
				if g.level.Open() {
					s.open++
				}
			}
		}
	}
	for _, g := range fleet {
		res.gateways = append(res.gateways, g.inTime)
	}
	return res
}
