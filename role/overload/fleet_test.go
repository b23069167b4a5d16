package overload_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/grademill/grademill/decide/demand"
	"github.com/grademill/grademill/decide/overlay"
	"github.com/grademill/grademill/decide/shedding"
	"github.com/grademill/grademill/role/overload"
	"github.com/grademill/grademill/state/peers"
)

// Times of the simulated fleet. The intervals and the number of missed digests are those of package
// gossip.
const (
	service        = "assistant"
	tick           = 10 * time.Millisecond
	digestInterval = 150 * time.Millisecond
	sumsInterval   = 300 * time.Millisecond
	missedDigests  = 6
	maxReportDelay = 100 * time.Millisecond
	requestTime    = 3 * time.Second
	target         = 500 * time.Millisecond
	maxWait        = 400 * time.Millisecond
)

// stream is a stream of arrivals, spread evenly over the gateways.
type stream struct {
	overload.Arrival
	perSecond float64
}

// gateway is a Control with the table, the queue and the meter that it needs.
type gateway struct {
	control  overload.Control
	table    peers.Table
	self     overlay.Member
	position float64
	sent     uint64
	// former is set for a gateway of the former build, which reports no load and sheds nothing. deaf
	// is set while it gets no reports, mute while its reports are lost, down while it does not run.
	former, deaf, mute, down bool
	queue                    []time.Duration // when the queued requests arrived
	running                  int             // its requests that hold a slot
	due                      []float64       // by stream: the arrivals due less those done, a Poisson process
	// shares holds the shares of the latest decisions by class, admitted counts admitted requests.
	shares   map[demand.Class]float64
	admitted int
	shed     int
	// capacity and shedding are those of the latest level.
	capacity float64
	shedding bool
}

func (g *gateway) Level(_ string, capacity, _, _ float64, shedding bool) {
	g.capacity, g.shedding = capacity, shedding
}
func (g *gateway) Shed(string, bool) { g.shed++ }

// HallPart does nothing.
func (g *gateway) HallPart(string, string, float64) {}

// fleet is several gateways before one pool of slots, on a virtual clock. Gateways hand each other
// their load reports as values.
type fleet struct {
	gateways []*gateway
	streams  []stream
	slots    int
	used     int
	now      time.Duration
	ends     map[time.Duration][]*gateway
	packets  map[time.Duration][]func(now time.Time)
	random   *rand.Rand
	// relayed is set if gateways of different halls exchange the sums of halls only.
	relayed bool
}

func at(now time.Duration) time.Time { return time.Unix(1000, 0).Add(now) }

// newFleet returns a fleet with a gateway in each of the halls and a capacity in requests per second.
func newFleet(capacity float64, halls ...string) *fleet {
	f := &fleet{
		slots: int(capacity * requestTime.Seconds()), ends: make(map[time.Duration][]*gateway),
		packets: make(map[time.Duration][]func(time.Time)), random: rand.New(rand.NewPCG(1, 2)),
	}
	for i, hall := range halls {
		f.add(fmt.Sprintf("gateway-%02d", i), hall, (float64(i)+0.5)/float64(len(halls)))
	}
	return f
}

// inOneHall returns the halls of n gateways.
func inOneHall(n int) []string {
	halls := make([]string, n)
	for i := range halls {
		halls[i] = "north"
	}
	return halls
}

// add adds a gateway that the store names to all others.
func (f *fleet) add(name, hall string, position float64) *gateway {
	g := &gateway{self: overlay.Member{Name: name, Hall: hall}, position: position, shares: make(map[demand.Class]float64)}
	g.table.Counter = func(string) peers.Counter { return nil }
	g.start(uint64(len(f.gateways)) + 1)
	f.gateways = append(f.gateways, g)
	for _, a := range f.gateways {
		for _, b := range f.gateways {
			a.table.Announce(b.self.Name, b.self, at(f.now))
		}
	}
	return g
}

// start sets up the control as the gateway daemon does.
func (g *gateway) start(seed uint64) {
	g.control = overload.Control{
		Enabled: true, Hall: g.self.Hall, Admission: true, Seed: seed, Reports: &g.table, Meter: g, Log: zerolog.New(io.Discard),
		Policy:          shedding.Policy{MinShare: shedding.DefaultMinShare, ReturnShare: shedding.DefaultReturnShare},
		Objective:       func(string) time.Duration { return target },
		Position:        func() float64 { return g.position },
		RequestDuration: func(string) time.Duration { return requestTime },
		Waiting:         func(string) int { return len(g.queue) },
	}
}

// run advances the clock. check, which may be nil, is called after each tick.
func (f *fleet) run(span time.Duration, check func()) {
	for until := f.now + span; f.now < until; f.now += tick {
		now := at(f.now)
		for _, g := range f.ends[f.now] {
			f.used--
			g.running--
		}
		delete(f.ends, f.now)
		for _, deliver := range f.packets[f.now] {
			deliver(now)
		}
		delete(f.packets, f.now)
		for _, i := range f.random.Perm(len(f.gateways)) {
			g := f.gateways[i]
			if g.down {
				continue
			}
			f.arrive(g, now)
			f.serve(g, now)
			phase := f.now + time.Duration(i)*tick
			if phase%digestInterval == 0 {
				f.round(g, now)
			}
			if f.relayed && phase%sumsInterval == 0 && f.isSpeaker(i) {
				f.sendSums(g, now)
			}
		}
		if check != nil {
			check()
		}
	}
}

// size returns the number of gateways that run.
func (f *fleet) size() int {
	n := 0
	for _, g := range f.gateways {
		if !g.down {
			n++
		}
	}
	return n
}

// arrive lets the requests of a tick arrive at a gateway.
func (f *fleet) arrive(g *gateway, now time.Time) {
	for len(g.due) < len(f.streams) {
		g.due = append(g.due, -f.random.ExpFloat64())
	}
	for i, s := range f.streams {
		g.due[i] += s.perSecond * tick.Seconds() / float64(f.size())
		for ; g.due[i] >= 0; g.due[i] -= f.random.ExpFloat64() {
			f.arriveOne(g, s.Arrival, now)
		}
	}
}

// arriveOne lets a request arrive and returns the decision on it.
func (f *fleet) arriveOne(g *gateway, a overload.Arrival, now time.Time) overload.Decision {
	a.Service = service
	d := overload.Decision{Admit: true, Share: 1}
	if !g.former {
		d = g.control.Arrive(a, now)
	}
	if !a.Early && !a.Exempt {
		g.shares[a.Class] = d.Share
	}
	if d.Admit {
		g.queue = append(g.queue, f.now)
	} else {
		g.control.CountRefused(service, now)
	}
	return d
}

// serve starts queued requests while there are free slots, and refuses those that waited too long.
func (f *fleet) serve(g *gateway, now time.Time) {
	for len(g.queue) > 0 && f.now-g.queue[0] > maxWait {
		g.queue = g.queue[1:]
		g.control.CountRefused(service, now)
	}
	for len(g.queue) > 0 && f.used < f.slots {
		g.queue = g.queue[1:]
		f.used++
		// The durations differ by a third.
		length := requestTime + time.Duration(f.random.IntN(200)-100)*tick
		f.ends[f.now+length] = append(f.ends[f.now+length], g)
		g.running++
		g.control.CountAdmitted(service, now)
		g.admitted++
	}
}

// round does what package gossip does before a digest, and sends the load report.
func (f *fleet) round(g *gateway, now time.Time) {
	g.control.Tick(now)
	r := peers.Report{From: g.self, Incarnation: 1, Interval: digestInterval}
	if g.former {
		r.Shares = map[string]peers.Usage{"card": {Held: int64(g.running)}}
	} else {
		r.Demands = g.control.Demands(now)
	}
	g.table.Expire(now, missedDigests, digestInterval)
	f.send(g, r, func(to *gateway) bool { return !f.relayed || to.self.Hall == g.self.Hall })
}

// isSpeaker reports whether a gateway sends the sums of its hall: the first one that runs.
func (f *fleet) isSpeaker(i int) bool {
	for _, g := range f.gateways[:i] {
		if !g.down && g.self.Hall == f.gateways[i].self.Hall {
			return false
		}
	}
	return true
}

// sendSums sends the sums of a hall to the other halls.
func (f *fleet) sendSums(g *gateway, now time.Time) {
	_, demands, members, _ := g.table.Sum(g.self.Hall)
	own := g.control.Demands(now)
	for name, d := range demands {
		own[name] = own[name].Plus(d)
	}
	r := peers.Report{From: g.self, Incarnation: 1, Interval: sumsInterval, Members: members + 1, Demands: own}
	f.send(g, r, func(to *gateway) bool { return to.self.Hall != g.self.Hall })
}

// send delivers a report after a delay to the gateways that match.
func (f *fleet) send(g *gateway, r peers.Report, match func(*gateway) bool) {
	g.sent++
	r.Number = g.sent
	if g.mute {
		return
	}
	for _, to := range f.gateways {
		if to == g || !match(to) {
			continue
		}
		due := f.now + tick + time.Duration(f.random.Int64N(int64(maxReportDelay))).Truncate(tick)
		f.packets[due] = append(f.packets[due], func(now time.Time) {
			if !to.down && !to.deaf {
				to.table.AddReport(r, to.self, now)
			}
		})
	}
}

// admittedDuring runs the fleet and returns the rates of requests that each gateway admitted.
func (f *fleet) admittedDuring(span time.Duration) []float64 {
	before := make([]int, len(f.gateways))
	for i, g := range f.gateways {
		before[i] = g.admitted
	}
	f.run(span, nil)
	rates := make([]float64, len(f.gateways))
	for i, g := range f.gateways {
		rates[i] = float64(g.admitted-before[i]) / span.Seconds()
	}
	return rates
}

// sum returns the sum of rates.
func sum(rates []float64) float64 {
	total := 0.0
	for _, r := range rates {
		total += r
	}
	return total
}

// logState logs the level of each gateway, for a failed test.
func (f *fleet) logState(t *testing.T) {
	for _, g := range f.gateways {
		t.Logf("%v %s: capacity %.1f, shedding %t, shares %v, queue %d", f.now, g.self.Name, g.capacity, g.shedding, g.shares, len(g.queue))
	}
}
