package overload

import (
	"math"
	"strconv"
	"sync"
	"time"

	"github.com/grademill/grademill/decide/capacity"
	"github.com/grademill/grademill/decide/demand"
	"github.com/grademill/grademill/decide/hallsplit"
	"github.com/grademill/grademill/decide/rate"
	"github.com/grademill/grademill/decide/shedding"
	"github.com/grademill/grademill/decide/thinning"
)

// rateSpan is the time constant of the rates in load reports. It is short, because a burst fills the
// endpoints within a second.
const rateSpan = time.Second

// service is what a gateway knows of the load of one model service.
type service struct {
	mu sync.Mutex // guards all fields
	// admitted and refused are the rates of first reservations and of refusals for lack of room.
	admitted, refused rate.Meter
	// offered holds the rates of arrivals by class.
	offered  map[demand.Class]*classRates
	estimate capacity.Estimate
	// bound is the rate that the memory and slots of the endpoints allow this gateway and those that it
	// hears, 0 if unknown.
	bound   float64
	level   shedding.Level
	thinner thinning.Thinner
	// fleet is the demand of all gateways as of the last update, age that of the newest report of
	// another gateway, and alone is set while no other gateway is heard although there are some.
	fleet demand.Demand
	age   time.Duration
	alone bool
	// part and refusedPart are this gateway's parts of the fleet's arrivals and refusals; refusedPart
	// is NaN while nobody refuses. shares are its shares of free room by hall, and elsewhere is that in
	// halls without demand. All stay as they are while alone is set.
	part, refusedPart float64
	shares            map[string]float64
	elsewhere         float64
	// division is that of the demand among halls, and sequence directs single requests by it.
	division division
	sequence hallsplit.Sequence
	// latest is this gateway's demand as of the last update, and reported as of the one before: the
	// reports of the others are about as old.
	latest, reported demand.Demand
	// position is the position of this gateway among all, size their number; 0 before the first
	// update.
	position float64
	size     int
	// wantedAt is when the service last had demand.
	wantedAt time.Time
	// logged describes the level that was last logged.
	logged loggedLevel
}

// loggedLevel is what decides whether a level differs enough from one that was logged.
type loggedLevel struct {
	at       time.Time
	open     bool
	marginal demand.Class
	capacity float64
}

// classRates holds the rates of the requests of one class.
type classRates struct {
	all   rate.Meter
	teams map[string]rate.Meter
}

func newService(seed uint64) *service {
	return &service{
		admitted: rate.Meter{Span: rateSpan}, refused: rate.Meter{Span: rateSpan}, logged: loggedLevel{open: true}, age: unknownAge,
		offered: make(map[demand.Class]*classRates), thinner: thinning.Thinner{Seed: seed},
		sequence: hallsplit.Sequence{Position: float64(seed>>11) / (1 << 53)},
	}
}

// arrive counts a request of a gateway of a hall, decides whether to admit it, and directs it to a
// hall.
func (s *service) arrive(a Arrival, now time.Time, admission bool, hall string) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	rates := s.offered[a.Class]
	if rates == nil {
		rates = &classRates{all: rate.Meter{Span: rateSpan}, teams: make(map[string]rate.Meter)}
		s.offered[a.Class] = rates
	}
	rates.all = rates.all.WithCount(now, 1)
	if !a.Class.Returning && a.Team != "" {
		team, known := rates.teams[a.Team]
		if !known {
			team.Span = rateSpan
		}
		rates.teams[a.Team] = team.WithCount(now, 1)
	}
	if !admission || a.Exempt || s.level.Open() {
		return Decision{Admit: true, Share: 1, Hall: s.direct(hall)}
	}
	share := s.level.Admit(a.Class, a.Team)
	key := strconv.Itoa(a.Class.Priority) + "/" + a.Team
	if a.Class.Returning {
		key = strconv.Itoa(a.Class.Priority) + " returning"
	}
	if a.Early {
		share, key = s.level.AdmitEarly(a.Class), key+" early"
	}
	if !s.thinner.Keep(key, share) {
		return Decision{Share: share}
	}
	return Decision{Admit: true, Share: share, Hall: s.direct(hall)}
}

// direct returns the hall that is to serve the next request of a gateway of a hall.
func (s *service) direct(hall string) string {
	hall, s.sequence = s.sequence.Next(s.division.split, hall)
	return hall
}

// count counts a request that was admitted or refused for lack of room.
func (s *service) count(now time.Time, admitted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if admitted {
		s.admitted = s.admitted.WithCount(now, 1)
	} else {
		s.refused = s.refused.WithCount(now, 1)
	}
}

// minBoundShare is the part of the bound by memory and slots below which the capacity is not taken to
// be. The estimate follows what is admitted, which is little after an outage although there is room:
// without it a fleet shed four in ten requests for 8 s after the store had been down.
const minBoundShare = 0.5

// capacity returns the capacity of the fleet in requests per second, 0 if unknown. The caller holds the
// lock.
func (s *service) capacity() float64 {
	if s.estimate.Value() <= 0 {
		return 0
	}
	return max(s.estimate.Value(), minBoundShare*s.bound)
}

// demand returns the demand at this gateway.
func (s *service) demand(now time.Time, waiting int) demand.Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := demand.Demand{
		Admitted: s.admitted.PerSecond(now), Refused: s.refused.PerSecond(now), Waiting: float64(waiting),
		Classes: make(map[demand.Class]demand.Load, len(s.offered)),
	}
	if value := s.estimate.Value(); value > 0 {
		d.CapacitySum, d.Estimates = value, 1
	}
	for class, rates := range s.offered {
		offered := rates.all.PerSecond(now)
		if offered < minRate {
			if offered > 0 { // 0 is the rate of the first second, too
				delete(s.offered, class)
			}
			continue
		}
		d.Classes[class] = demand.Load{Offered: offered, Teams: rates.byTeam(now)}
	}
	return d.Plus(demand.Demand{}) // keeps the teams with the most demand
}

// byTeam returns the rates of the teams, and forgets those without requests.
func (r *classRates) byTeam(now time.Time) map[string]float64 {
	teams := make(map[string]float64, len(r.teams))
	for team, m := range r.teams {
		if perSecond := m.PerSecond(now); perSecond >= minRate {
			teams[team] = perSecond
		} else if perSecond > 0 {
			delete(r.teams, team)
		}
	}
	return teams
}

// report returns the demand at this gateway, and whether the fleet is short of room.
func (s *service) report(now time.Time, waiting int) (demand.Demand, bool) {
	d := s.demand(now, waiting)
	s.mu.Lock()
	defer s.mu.Unlock()
	return d, s.fleet.Waiting > 0 || !s.level.Open()
}

const (
	// logInterval is the least time between two log lines of a service. The estimate moves by a tenth
	// within a second, and near the capacity the level may open and close at each update.
	logInterval = time.Second
	// loggedCapacityChange is the relative change of the capacity that is logged.
	loggedCapacityChange = 0.1
)

// mustLog reports whether the level has to be logged at now, and then takes it for logged. The
// start of shedding is logged at once, because the lines explain refusals; other changes wait until
// logInterval has passed. Two starts have an end between them, which waits, so there are never more
// than two lines in logInterval. The caller holds the lock.
func (s *service) mustLog(now time.Time) bool {
	next := loggedLevel{at: now, open: s.level.Open(), marginal: s.level.Marginal(), capacity: s.capacity()}
	last := s.logged
	starts := last.open && !next.open
	changed := next.open != last.open || next.marginal != last.marginal ||
		math.Abs(next.capacity-last.capacity) > loggedCapacityChange*last.capacity
	if !changed || !starts && now.Sub(last.at) < logInterval {
		return false
	}
	s.logged = next
	return true
}

// minRate is the rate, in requests per second, below which a class or team is forgotten.
const minRate = 0.02
