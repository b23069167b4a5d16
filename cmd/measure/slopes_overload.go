package main

import (
	"fmt"
	"math"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/grademill/grademill/adapter/cputime"
	"github.com/grademill/grademill/adapter/meter"
	"github.com/grademill/grademill/decide/catalog"
	"github.com/grademill/grademill/decide/demand"
	"github.com/grademill/grademill/decide/hallcapacity"
	"github.com/grademill/grademill/decide/hallsplit"
	"github.com/grademill/grademill/decide/layer"
	"github.com/grademill/grademill/decide/overlay"
	"github.com/grademill/grademill/decide/placement"
	"github.com/grademill/grademill/decide/roomshare"
	"github.com/grademill/grademill/decide/shedding"
	"github.com/grademill/grademill/role/gossip"
	"github.com/grademill/grademill/role/overload"
	"github.com/grademill/grademill/state/budget"
	"github.com/grademill/grademill/state/peers"
	wire "github.com/grademill/grademill/wire/gossip"
)

// Intervals of the digests, as in role/gossip.
const (
	digestInterval = 150 * time.Millisecond
	sumsInterval   = 300 * time.Millisecond
	// tickCount is the number of ticks that are measured. Twice as many run before them, so that the
	// level settles.
	tickCount = 40
	// spacedFleet is the size of a fleet above which only every second digest carries loads while
	// there is room.
	spacedFleet = 68
)

// overloadSize is a size of a fleet.
type overloadSize struct {
	gateways, halls int
	// endpoints is the number of endpoints, used the number of those that a gateway uses.
	endpoints, used int
}

var overloadSizes = []overloadSize{{30, 3, 58, 58}, {68, 5, 130, 130}, {300, 5, 540, 300}, {430, 10, 3800, 300}}

// overloadClasses are the classes of the measured service.
var overloadClasses = []demand.Class{
	{Priority: 0},
	{Priority: 1},
	{Priority: 2},
	{Priority: 3},
	{Priority: 4},
	{Priority: 5},
}

// overloadGateway is the overload control of one gateway of a fleet, with the reports that it has
// heard of the gateways of its hall and of the other halls.
type overloadGateway struct {
	overload.Control
	size    overloadSize
	self    overlay.Member
	overlay overlay.Overlay
	table   peers.Table
	holders []hallcapacity.Holder
	budgets []budget.Budget
	short   bool
	now     time.Time
}

func newOverloadGateway(size overloadSize, short bool) *overloadGateway {
	g := &overloadGateway{size: size, short: short, now: time.Unix(1e9, 0), budgets: make([]budget.Budget, size.endpoints)}
	g.self = overlay.Member{Name: "gateway-000", Hall: "hall-0"}
	g.table.Counter = func(string) peers.Counter { return nil }
	g.overlay.Self = g.self
	g.table.Announce(g.self.Name, g.self, g.now)
	for i := 1; i < size.gateways; i++ {
		m := overlay.Member{Name: fmt.Sprintf("gateway-%03d", i), Hall: fmt.Sprint("hall-", i%size.halls), HeardDirectly: true}
		g.table.Announce(m.Name, m, g.now)
		g.overlay.Others = append(g.overlay.Others, m)
	}
	for i := range size.endpoints {
		part := i / size.halls % 4
		g.holders = append(g.holders, hallcapacity.Holder{
			Hall: fmt.Sprint("hall-", i%size.halls), Layers: layer.Range{First: 20 * part, End: 20*part + 20}, Room: 10_000, Slots: 192,
		})
	}
	waiting := 0
	if short {
		waiting = 10
	}
	g.Control = overload.Control{
		Hall: g.self.Hall, Enabled: true, Admission: true, Reports: &g.table, Meter: meter.NewGateway(), Log: zerolog.Nop(),
		Policy:          shedding.Policy{MinShare: shedding.DefaultMinShare, ReturnShare: shedding.DefaultReturnShare},
		Objective:       func(string) time.Duration { return 500 * time.Millisecond },
		Position:        func() float64 { return 0.5 },
		RequestDuration: func(string) time.Duration { return 3 * time.Second },
		Waiting:         func(string) int { return waiting },
		Halls: func(string) []hallsplit.Hall {
			return hallcapacity.Halls(boundModel, g.holders, hallcapacity.Request{Tokens: 974, Duration: 3 * time.Second})
		},
	}
	return g
}

// interval returns the time between two digests of the gateway.
func (g *overloadGateway) interval() time.Duration {
	return digestInterval * time.Duration(max(len(g.overlay.DigestPeers()), overlay.FlatSize)) / overlay.FlatSize
}

// report returns the demand that a gateway reports. A gateway has 35 requests a second, as at the
// target of docs/CAPACITY.md, and while the fleet is short of room each class has 8 of 24 teams, which
// differ between gateways.
func (g *overloadGateway) report(number int) demand.Demand {
	d := demand.Demand{Admitted: 35, Classes: make(map[demand.Class]demand.Load)}
	if g.short {
		d.Admitted, d.Refused, d.Waiting, d.CapacitySum, d.Estimates = 15, 20, 10, 15*float64(g.size.gateways), 1
	}
	for _, class := range overloadClasses {
		load := demand.Load{Offered: 35.0 / float64(len(overloadClasses)), Teams: make(map[string]float64)}
		if g.short {
			teams := demand.MaxTeams
			if g.size.gateways > spacedFleet {
				teams = 4 // as overload.Control names in large fleets
			}
			for i := range teams {
				load.Teams[fmt.Sprintf("team-%03d", (number+3*i)%24)] = 0.1 * float64(i+1)
			}
		}
		d.Classes[class] = load
	}
	return d
}

// hear adds the reports of the gateways of the hall and the sums of the other halls.
func (g *overloadGateway) hear(number uint64) {
	add := func(from overlay.Member, members int, d demand.Demand) {
		g.table.AddReport(peers.Report{
			From: from, Incarnation: 1, Number: number, Members: members, Demands: map[string]demand.Demand{"assistant": d},
		}, g.self, g.now)
	}
	for i, m := range g.overlay.DigestPeers() {
		add(m, 0, g.report(i))
	}
	if g.overlay.Flat() {
		return
	}
	for _, hall := range g.overlay.Halls() {
		list := g.overlay.PeersIn(hall)
		add(list[0], len(list), g.hallSum(len(list)))
	}
}

// hallSum returns the sum of the demands of a number of gateways.
func (g *overloadGateway) hallSum(gateways int) demand.Demand {
	all := make([]demand.Demand, gateways)
	for i := range all {
		all[i] = g.report(i)
	}
	return demand.Sum(all...)
}

// arrive counts the requests of one interval.
func (g *overloadGateway) arrive() {
	n := int(35 * g.interval().Seconds())
	for i := range max(n, len(overloadClasses)) {
		class := overloadClasses[i%len(overloadClasses)]
		g.Arrive(overload.Arrival{Service: "assistant", Team: fmt.Sprintf("team-%03d", i%24), Class: class}, g.now)
		if !g.short || i%2 == 0 {
			g.CountAdmitted("assistant", g.now)
		}
	}
}

// shareRoom begins a round of the budgets of a number of endpoints.
func (g *overloadGateway) shareRoom(endpoints int) {
	for i := range endpoints {
		share, _ := g.RoomShare("assistant", g.holders[i].Hall)
		g.budgets[i].Begin(roomshare.Round{Free: 1000, Share: share, Typical: 974, Turnover: 0.05})
	}
}

// settle runs the control until the level is that of a steady load.
func (g *overloadGateway) settle() {
	for n := range 2 * tickCount {
		g.arrive()
		g.hear(uint64(n + 1))
		g.Tick(g.now)
		g.now = g.now.Add(g.interval())
	}
}

// tickTime returns the mean processor time of a tick with a round of the memory and the slots of a
// number of endpoints.
func (g *overloadGateway) tickTime(endpoints int) time.Duration {
	var used time.Duration
	for n := range tickCount {
		g.arrive()
		g.hear(uint64(1000 + n))
		begin := cputime.Used()
		g.Tick(g.now)
		g.shareRoom(endpoints)
		g.shareRoom(endpoints)
		used += cputime.Used() - begin
		g.now = g.now.Add(g.interval())
	}
	return used / tickCount
}

// loadBytes returns the size of the load reports in a digest.
func loadBytes(demands map[string]demand.Demand) int {
	return proto.Size(&wire.Digest{Loads: gossip.EncodeLoads(demands)})
}

// printSize prints the costs of a gateway of a fleet of one size.
func printSize(out *tabwriter.Writer, size overloadSize, short bool) {
	room := "room"
	if short {
		room = "short of room"
	}
	g := newOverloadGateway(size, short)
	g.settle()
	name := fmt.Sprintf("%d gateways, %s", size.gateways, room)
	interval, others := g.interval(), len(g.overlay.DigestPeers())
	own := loadBytes(map[string]demand.Demand{"assistant": g.report(0)})
	every := interval
	if size.gateways > spacedFleet && !short {
		every *= 2
	}
	perSecond := float64(own*others) / every.Seconds()
	fmt.Fprintf(out, "loads in own digests, %s\t%d B\tto %d every %v\t\t%.0f B/s\n", name, own, others, every, perSecond)
	if !g.overlay.Flat() {
		sums := loadBytes(map[string]demand.Demand{"assistant": g.hallSum(others + 1)})
		halls := len(g.overlay.Halls())
		perSecond := float64(sums) / sumsInterval.Seconds()
		fmt.Fprintf(out, "loads in sums, %s\t%d B\tto %d halls\tdelegate %.0f B/s\trelayed, mean of a gateway %.0f B/s\n",
			name, sums, halls, perSecond*float64(halls), perSecond*float64(halls)*float64(others)/float64(others+1))
	}
	for _, n := range slices.Compact([]int{0, size.used, size.endpoints}) {
		took := g.tickTime(n)
		fmt.Fprintf(out, "tick and %d endpoints, %s\t\t\t%v\t%.3f%% of a core\n", n, name, took, 100*took.Seconds()/interval.Seconds())
	}
	if g.size.gateways == overloadSizes[0].gateways {
		text, _ := proto.Marshal(&wire.Digest{Loads: gossip.EncodeLoads(map[string]demand.Demand{"assistant": g.hallSum(others + 1)})})
		took := meanCPUTime(20_000, func() {
			d := new(wire.Digest)
			_ = proto.Unmarshal(text, d)
			gossip.DecodeLoads(d.GetLoads())
		})
		fmt.Fprintf(out, "loads of a digest decoded, %s\t%d B\t\t\t%v\n", room, len(text), took)
	}
	heap := heapOf(func() any {
		g := newOverloadGateway(size, short)
		g.settle()
		return g
	})
	fmt.Fprintf(out, "overload control and load reports, %s\t\t\t\t%d kB\n", name, heap>>10)
}

// printArrive prints the processor time of an arrival.
func printArrive(out *tabwriter.Writer) {
	for _, short := range []bool{false, true} {
		g := newOverloadGateway(overloadSizes[0], short)
		g.settle()
		g.Tick(g.now)
		share, arrival := 1.0, overload.Arrival{Service: "assistant", Team: "team-007", Class: overloadClasses[3]}
		took := meanCPUTime(200_000, func() { share = min(share, g.Arrive(arrival, g.now).Share) })
		fmt.Fprintf(out, "arrival, share admitted %.3f\t\t\t\t%v\n", share, took)
	}
}

// printPlans prints the processor time of a plan with even room for a hall of 20 empty cards, and for
// one card that comes back empty.
func printPlans(out *tabwriter.Writer) {
	p, model := placement.Planner{EvenRoom: true}, *boundModel
	model.Prompt, model.Answer = 774, 200
	cards := boundHalls[len(boundHalls)-1].cards()
	fmt.Fprintf(out, "plan with even room, %d empty cards\t\t\t\t%v\n", len(cards), planTime(p, &model, cards))
	for moves := p.Plan(&model, cards); len(moves) > 0; moves = p.Plan(&model, cards) {
		cards = applyMoves(cards, moves)
	}
	fmt.Fprintf(out, "plan with even room, nothing to do\t\t\t\t%v\n", planTime(p, &model, cards))
	least, most := time.Duration(math.MaxInt64), time.Duration(0)
	for i := range cards {
		lost := slices.Clone(cards)
		lost[i].AssignedLayers = layer.Range{}
		took := planTime(p, &model, lost)
		least, most = min(least, took), max(most, took)
	}
	fmt.Fprintf(out, "plan with even room, one of %d cards empty\t\t\t\t%v to %v\n", len(cards), least, most)
}

func planTime(p placement.Planner, m *catalog.Model, cards []placement.Card) time.Duration {
	return meanCPUTime(5, func() { p.Plan(m, cards) })
}

// overloadSlopes prints what the overload control costs a gateway.
func overloadSlopes(out *tabwriter.Writer) error {
	fmt.Fprintln(out, "overload control\t\t\t\t")
	for _, size := range overloadSizes {
		for _, short := range []bool{false, true} {
			printSize(out, size, short)
		}
	}
	printArrive(out)
	printPlans(out)
	return out.Flush()
}
