// Package overload decides which requests of a model service a gateway admits while the fleet has
// too little room for all of them, and which share of the free room of an endpoint the gateway may
// take. All gateways decide by the same sums of their load reports.
package overload

import (
	"math"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/grademill/grademill/decide/capacity"
	"github.com/grademill/grademill/decide/demand"
	"github.com/grademill/grademill/decide/hallsplit"
	"github.com/grademill/grademill/decide/retryafter"
	"github.com/grademill/grademill/decide/roomshare"
	"github.com/grademill/grademill/decide/shedding"
)

const (
	// forgetAfter is how long a service may be without demand before its estimate is dropped.
	forgetAfter = 10 * time.Second
	// defaultRemoteWeight is how much the demand of a gateway counts at the endpoints of all other
	// halls together: most requests stay in the hall of their gateway.
	defaultRemoteWeight = 0.2
	// midsizeFleet is the largest fleet whose gateways name [demand.MaxTeams] teams of each class in
	// their own load reports, and largeFleetTeams the number that they name in a larger one. With 8
	// teams in each of 6 classes, the reports of a gateway take 63 kB/s there.
	midsizeFleet    = 68
	largeFleetTeams = 4
)

// Reports are the load reports of the other gateways.
type Reports interface {
	// FleetDemand returns the sum of the reports for a service, HallDemands the same by hall, and
	// FleetDemandAge the age of the newest one.
	FleetDemand(service string) demand.Demand
	HallDemands(service string) map[string]demand.Demand
	FleetDemandAge(service string, now time.Time) time.Duration
	// Size returns the number of gateways, Heard the number of those that the reports cover, this one
	// included in both.
	Size() int
	Heard() int
	// Announced returns the number of gateways that the store names, 0 while it has not been read.
	Announced() int
	// Unreported reports whether some gateways use endpoints of models but report no load.
	Unreported() bool
}

// Meter records the state of the admission.
type Meter interface {
	// Level records, for a service, the estimated capacity of the fleet and the rates of requests
	// offered and admitted, per second, and whether requests are shed.
	Level(service string, capacity, offered, admitted float64, shedding bool)
	// Shed counts a request that is refused because the fleet has no room for its class.
	Shed(service string, returning bool)
	// HallPart records the part of the demand of this gateway's hall that is served in a hall.
	HallPart(service, hall string, part float64)
}

// Control is the overload control of one gateway. Set the exported fields before the first use. It
// is safe for concurrent use.
type Control struct {
	// Hall is the data hall of the gateway.
	Hall string
	// Enabled switches the counting of requests and the load reports on. Without it, nothing is
	// counted, recorded or reported.
	Enabled bool
	// Admission switches the shedding of requests on. Without it every request is admitted.
	Admission bool
	// Policy divides the capacity among the classes of requests.
	Policy shedding.Policy
	// Seed differs between gateways, so that they do not shed at the same moments.
	Seed uint64
	// Reports are the load reports of the other gateways.
	Reports Reports
	// Objective returns the shortest objective among the routes of a service.
	Objective func(service string) time.Duration
	// Position returns the position of this gateway among all, see retryafter.Load.
	Position func() float64
	// RequestDuration returns the typical duration of a request, 0 if unknown.
	RequestDuration func(service string) time.Duration
	// Waiting returns the number of queued requests of a service.
	Waiting func(service string) int
	// Split switches the division of the demand among halls on.
	Split bool
	// Halls returns the halls that have endpoints of a service, with their capacities and without
	// their demands. Their sum bounds the estimated capacity from below. It may be nil without Split.
	Halls func(service string) []hallsplit.Hall
	Meter Meter
	Log   zerolog.Logger

	mu       sync.Mutex // guards services
	services map[string]*service
}

// of returns the state of a service.
func (c *Control) of(name string) *service {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.services[name]
	if s == nil {
		if c.services == nil {
			c.services = make(map[string]*service)
		}
		s = newService(c.Seed)
		c.services[name] = s
	}
	return s
}

// all returns the services that have had requests.
func (c *Control) all() map[string]*service {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make(map[string]*service, len(c.services))
	for name, s := range c.services {
		list[name] = s
	}
	return list
}

// Arrival describes a request that arrives.
type Arrival struct {
	Service, Team string
	Class         demand.Class
	// Early is set for a returning caller that has not kept the Retry-After delay.
	Early bool
	// Exempt is set for a request that is admitted in any case, such as one that resumes a stream.
	Exempt bool
}

// Decision is the result of an arrival.
type Decision struct {
	// Admit is set if the request may wait for room.
	Admit bool
	// Share is the share of such requests that is admitted, 1 for all.
	Share float64
	// Hall is where an admitted request is to be served if there is room.
	Hall string
}

// Arrive counts a request and decides whether the fleet has room for it.
func (c *Control) Arrive(a Arrival, now time.Time) Decision {
	if !c.Enabled {
		return Decision{Admit: true, Share: 1}
	}
	s := c.of(a.Service)
	d := s.arrive(a, now, c.Admission, c.Hall)
	if !d.Admit {
		c.Meter.Shed(a.Service, a.Class.Returning)
	}
	return d
}

// CountAdmitted counts a request that has got its first reservation.
func (c *Control) CountAdmitted(service string, now time.Time) {
	if c.Enabled {
		c.of(service).count(now, true)
	}
}

// CountRefused counts a request that is refused for lack of room.
func (c *Control) CountRefused(service string, now time.Time) {
	if c.Enabled {
		c.of(service).count(now, false)
	}
}

// Demands returns this gateway's own load report, by service. It names teams only while the fleet is
// short of room, when they matter, and otherwise spares the bytes. In a large fleet it names fewer.
func (c *Control) Demands(now time.Time) map[string]demand.Demand {
	demands := make(map[string]demand.Demand)
	large := c.Reports.Size() > midsizeFleet
	for name, s := range c.all() {
		d, short := s.report(now, c.Waiting(name))
		if !short {
			d = d.WithoutTeams()
		} else if large {
			d = withTeams(d, largeFleetTeams)
		}
		if d.Offered() > 0 || d.Waiting > 0 || d.Admitted > 0 {
			demands[name] = d
		}
	}
	return demands
}

// withTeams returns the demand with the names of the teams that have the most demand of each class.
func withTeams(d demand.Demand, most int) demand.Demand {
	classes := make(map[demand.Class]demand.Load, len(d.Classes))
	for class, load := range d.Classes {
		teams := load.HeaviestTeams()
		named := make(map[string]float64, most)
		for _, team := range teams[:min(most, len(teams))] {
			named[team] = load.Teams[team]
		}
		classes[class] = demand.Load{Offered: load.Offered, Teams: named}
	}
	d.Classes = classes
	return d
}

// Tick computes the levels anew from the latest reports.
func (c *Control) Tick(now time.Time) {
	for name, s := range c.all() {
		c.update(name, s, now)
	}
}

// update computes the level of a service and this gateway's shares of room.
func (c *Control) update(name string, s *service, now time.Time) {
	own := s.demand(now, c.Waiting(name))
	others := c.Reports.FleetDemand(name)
	position := c.Position()
	age := c.Reports.FleetDemandAge(name, now)
	halls := c.Reports.HallDemands(name)
	var sites []hallsplit.Hall
	if c.Halls != nil {
		sites = c.Halls(name)
	}
	size, heard := c.Reports.Size(), c.Reports.Heard()
	if heard == 1 && c.Reports.Announced() == 1 {
		size = 1 // the only gateway, for which Size assumes others
	}
	target, span := capacity.Target(c.Objective(name), c.Reports.Unreported()), c.RequestDuration(name)
	s.mu.Lock()
	fleet := own.Plus(others)
	s.bound = 0
	for _, h := range sites {
		s.bound += h.Capacity
	}
	alone := heard < 2 && size > 1
	if alone {
		s.bound *= s.part
	}
	s.estimate.Span = span
	switch {
	case alone && !s.alone: // the others may still run, and use their parts of the capacity
		s.estimate = s.estimate.WithPart(s.part)
	case !alone && s.alone && s.part > 0:
		s.estimate = s.estimate.WithPart(1 / s.part)
	case !alone && s.alone: // its part has never been known: it starts with the estimate of the others
		s.estimate = capacity.Estimate{Span: s.estimate.Span}
	}
	s.estimate = s.estimate.Next(fleet, target, now)
	if c.Admission { // otherwise the level is open, since no request is shed
		s.level = c.Policy.Level(fleet, s.capacity())
	}
	if !alone {
		// Reports lapse one by one, so those that are missing may be of gateways that still run.
		s.part = part(own.Offered(), fleet.Offered(), size) * float64(heard) / float64(size)
		s.refusedPart = s.reported.Refused / (s.reported.Refused + others.Refused)
		// What gateways that are not heard may take is set aside.
		covered := float64(heard) / float64(size)
		if !c.Split {
			s.shares, s.elsewhere = shares(s.level, own, halls, c.Hall, size, covered)
		} else {
			s.division.update(sites, c.placed(s, own, halls), s.estimate.Value(), heard < size, now)
			s.shares = s.division.shares(c.placedRate(s, own), c.Hall, size, covered)
			s.elsewhere = defaultRemoteWeight / float64(size)
		}
	}
	if fleet.Offered() > 0 {
		s.wantedAt = now
	} else if now.Sub(s.wantedAt) > forgetAfter {
		s.estimate, s.level = capacity.Estimate{}, shedding.Level{}
	}
	s.fleet, s.age, s.alone, s.position, s.size = fleet, age, alone, position, size
	s.reported, s.latest = s.latest, own
	division := s.division.changes(c.Hall)
	level, perSecond := s.level, s.capacity()
	logs := c.Admission && s.mustLog(now)
	s.mu.Unlock()
	c.Meter.Level(name, perSecond, fleet.Offered(), fleet.Admitted, !level.Open())
	if logs {
		c.logLevel(name, level, perSecond, fleet, age, alone)
	}
	c.recordDivision(name, division)
}

func (c *Control) logLevel(name string, level shedding.Level, perSecond float64, fleet demand.Demand, age time.Duration, alone bool) {
	line := c.Log.Info().Str("service", name).Bool("open", level.Open()).Float64("capacity_per_s", round(perSecond)).
		Float64("offered_per_s", round(fleet.Offered())).Float64("admitted_per_s", round(fleet.Admitted)).
		Float64("waiting", fleet.Waiting).Bool("alone", alone)
	if age < unknownAge {
		line = line.Dur("report_age_ms", age)
	}
	if !level.Open() {
		m := level.Marginal()
		line = line.Int("marginal_priority", m.Priority).Bool("marginal_returning", m.Returning).
			Float64("marginal_share", roundShare(classShare(level, m, fleet.Classes[m])))
	}
	line.Msg("shedding level")
}

// round rounds a rate for the log.
func round(x float64) float64 {
	return math.Round(x*10) / 10
}

// part returns own as a share of all, an even share while nothing is known.
func part(own, all float64, size int) float64 {
	if all <= 0 {
		return 1 / float64(max(size, 1))
	}
	return own / all
}

// shares returns this gateway's share of the free room at the endpoints of each hall, by the demand
// that the level admits, and that at those of halls whose gateways report no demand. heard is the
// part of the gateways that the reports cover.
func shares(
	level shedding.Level, own demand.Demand, halls map[string]demand.Demand, hall string, size int, heard float64,
) (byHall map[string]float64, elsewhere float64) {
	ownRate := admissible(level, own)
	rates, sum := make(map[string]float64, len(halls)+1), 0.0
	for name, d := range halls {
		rates[name] = admissible(level, d)
		sum += rates[name]
	}
	byHall = make(map[string]float64, len(rates)+1)
	rates[hall] += 0
	remote := defaultRemoteWeight / float64(max(len(rates)-1, 1))
	for name, near := range rates {
		rate := ownRate
		if name != hall {
			rate *= remote
		}
		byHall[name] = heard * roomshare.Share(rate, near, sum-near, remote, size)
	}
	return byHall, heard * roomshare.Share(ownRate, 0, sum, 1, size) // the same weight for all
}

// admissible returns the rate of requests that the level admits of a demand.
func admissible(level shedding.Level, d demand.Demand) float64 {
	rate := 0.0
	for class, load := range d.Classes {
		unnamed := load.Offered
		for team, offered := range load.Teams {
			rate += offered * level.Admit(class, team)
			unnamed -= offered
		}
		rate += max(unnamed, 0) * level.Admit(class, "")
	}
	return rate
}

// RoomShare returns this gateway's share of the free room at the endpoints of a hall, and whether it
// is a share of the whole room, because this gateway does not hear the others. It is an even share
// until an update has heard another gateway.
func (c *Control) RoomShare(service, hall string) (share float64, whole bool) {
	s := c.of(service)
	s.mu.Lock()
	updated := s.size > 0
	s.mu.Unlock()
	size := 0
	if !updated {
		size = c.Reports.Size() // without the lock, since it takes that of the reports
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.size == 0 {
		s.size = size
	}
	if share, known := s.shares[hall]; known {
		return share, s.alone
	}
	if len(s.shares) == 0 { // no round has heard another gateway
		return 1 / float64(max(s.size, 1)), s.alone
	}
	return s.elsewhere, s.alone
}

// RetryLoad completes the load from which the Retry-After delay of a refused caller is computed.
func (c *Control) RetryLoad(service string, load retryafter.Load) retryafter.Load {
	s := c.of(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.Admission || s.alone {
		return load
	}
	load.Capacity, load.OfferedNew = s.capacity(), offeredNew(s.fleet)
	load.Part, load.Position = s.refusedPart, s.position
	return load
}

// offeredNew returns the rate of requests of callers that do not retry.
func offeredNew(d demand.Demand) float64 {
	rate := 0.0
	for class, load := range d.Classes {
		if !class.Returning {
			rate += load.Offered
		}
	}
	return rate
}
