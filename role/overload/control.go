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
}

// Control is the overload control of one gateway. Set the exported fields before the first use. It
// is safe for concurrent use.
type Control struct {
	// Hall is the data hall of the gateway.
	Hall string
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
	Meter   Meter
	Log     zerolog.Logger

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
	// Reserved is set if the request is admitted while others are shed: it need not give way.
	Reserved bool
	// Share is the share of such requests that is admitted, 1 for all.
	Share float64
}

// Arrive counts a request and decides whether the fleet has room for it.
func (c *Control) Arrive(a Arrival, now time.Time) Decision {
	s := c.of(a.Service)
	d := s.arrive(a, now, c.Admission)
	if !d.Admit {
		c.Meter.Shed(a.Service, a.Class.Returning)
	}
	return d
}

// CountAdmitted counts a request that has got its first reservation.
func (c *Control) CountAdmitted(service string, now time.Time) {
	c.of(service).count(now, true)
}

// CountRefused counts a request that is refused for lack of room.
func (c *Control) CountRefused(service string, now time.Time) {
	c.of(service).count(now, false)
}

// Demands returns this gateway's own load report, by service. It names teams only while the fleet is
// short of room, when they matter, and otherwise spares the bytes.
func (c *Control) Demands(now time.Time) map[string]demand.Demand {
	demands := make(map[string]demand.Demand)
	for name, s := range c.all() {
		d, short := s.report(now, c.Waiting(name))
		if !short {
			d = d.WithoutTeams()
		}
		if d.Offered() > 0 || d.Waiting > 0 || d.Admitted > 0 {
			demands[name] = d
		}
	}
	return demands
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
	size, heard := c.Reports.Size(), c.Reports.Heard()
	target := capacity.Target(c.Objective(name), c.Reports.Unreported())
	s.mu.Lock()
	fleet := own.Plus(others)
	alone := heard < 2 && size > 1
	s.estimate.Span = c.RequestDuration(name)
	switch {
	case alone && !s.alone: // the others may still run, and use their parts of the capacity
		s.estimate = s.estimate.WithPart(s.part)
	case !alone && s.alone && s.part > 0:
		s.estimate = s.estimate.WithPart(1 / s.part)
	}
	s.estimate = s.estimate.Next(fleet, target, now)
	s.level = c.Policy.Level(fleet, s.estimate.Value())
	if !alone {
		// Reports lapse one by one, so those that are missing may be of gateways that still run.
		s.part = part(own.Offered(), fleet.Offered(), size) * float64(heard) / float64(size)
		s.refusedPart = s.reported.Refused / (s.reported.Refused + others.Refused)
		// What gateways that are not heard may take is set aside.
		s.shares = shares(s.level, own, halls, c.Hall, size, float64(heard)/float64(size))
	}
	if fleet.Offered() > 0 {
		s.wantedAt = now
	} else if now.Sub(s.wantedAt) > forgetAfter {
		s.estimate, s.level = capacity.Estimate{}, shedding.Level{}
	}
	s.fleet, s.age, s.alone, s.position = fleet, age, alone, position
	s.reported, s.latest = s.latest, own
	level, perSecond, changed := s.level, s.estimate.Value(), s.level.Open() != s.wasOpen || s.level.Marginal() != s.wasMarginal
	s.wasOpen, s.wasMarginal = level.Open(), level.Marginal()
	s.mu.Unlock()
	c.Meter.Level(name, perSecond, fleet.Offered(), fleet.Admitted, !level.Open())
	if c.Admission && changed {
		c.logLevel(name, level, perSecond, fleet, age, alone)
	}
}

func (c *Control) logLevel(name string, level shedding.Level, perSecond float64, fleet demand.Demand, age time.Duration, alone bool) {
	line := c.Log.Info().Str("service", name).Bool("open", level.Open()).Float64("capacity_per_s", round(perSecond)).
		Float64("offered_per_s", round(fleet.Offered())).Float64("admitted_per_s", round(fleet.Admitted)).
		Float64("waiting", fleet.Waiting).Bool("alone", alone)
	if age < time.Hour {
		line = line.Dur("report_age_ms", age)
	}
	if !level.Open() {
		m := level.Marginal()
		line = line.Int("marginal_priority", m.Priority).Bool("marginal_returning", m.Returning)
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
// that the level admits. heard is the part of the gateways that the reports cover.
func shares(level shedding.Level, own demand.Demand, halls map[string]demand.Demand, hall string, size int, heard float64) map[string]float64 {
	ownRate := admissible(level, own)
	rates, sum := make(map[string]float64, len(halls)+1), 0.0
	for name, d := range halls {
		rates[name] = admissible(level, d)
		sum += rates[name]
	}
	list := make(map[string]float64, len(rates)+1)
	rates[hall] += 0
	remote := defaultRemoteWeight / float64(max(len(rates)-1, 1))
	for name, near := range rates {
		rate := ownRate
		if name != hall {
			rate *= remote
		}
		list[name] = heard * roomshare.Share(rate, near, sum-near, remote, size)
	}
	return list
}

// admissible returns the rate of requests that the level admits of a demand.
func admissible(level shedding.Level, d demand.Demand) float64 {
	rate := 0.0
	for class, load := range d.Classes {
		rate += load.Offered * level.Admit(class, "")
	}
	return rate
}

// RoomShare returns this gateway's share of the free room at the endpoints of a hall, and whether it
// is a share of the whole room, because this gateway does not hear the others.
func (c *Control) RoomShare(service, hall string) (share float64, whole bool) {
	s := c.of(service)
	size := c.Reports.Size()
	s.mu.Lock()
	defer s.mu.Unlock()
	if share, known := s.shares[hall]; known {
		return share, s.alone
	}
	if len(s.shares) == 0 || hall == c.Hall {
		return 1 / float64(max(size, 1)), s.alone
	}
	return defaultRemoteWeight / float64(max(size, 1)), s.alone
}

// RetryLoad completes the load from which the Retry-After delay of a refused caller is computed.
func (c *Control) RetryLoad(service string, load retryafter.Load) retryafter.Load {
	s := c.of(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.Admission || s.alone {
		return load
	}
	load.Capacity, load.OfferedNew = s.estimate.Value(), offeredNew(s.fleet)
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
