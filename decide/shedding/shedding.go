// Package shedding decides which requests a fleet of gateways admits while callers ask for more than
// the endpoints can serve. Gateways that know the same demand and capacity admit the same classes.
package shedding

import (
	"cmp"
	"maps"
	"slices"

	"github.com/grademill/grademill/decide/demand"
)

// Defaults of the fields of a Policy.
const (
	// DefaultReturnShare leaves 0.95 of the capacity to new requests. Answers to returning callers are
	// late, and at least 0.9 of the capacity has to be served in time: with 0.1 it was 0.89 to 0.90 at 1.1
	// to 3 times the capacity, with 0.05 it is 0.94 to 0.95.
	DefaultReturnShare = 0.05
	// DefaultMinShare keeps each kind above a quarter of the overall share although the reports are
	// inexact.
	DefaultMinShare = 0.4
)

// returnHeadroom is the part of the capacity that returning callers get only as their reserved share.
// The estimate of the capacity is a few hundredths off, and without it new requests were shed in their
// place: 0.93 of them were in time in the worst second after a burst.
const returnHeadroom = 0.05

// rounding is the shortfall of a share that counts as none.
const rounding = 1e-9

// fairSteps is the number of bisections for the even share of a class, to 1 in 10^12.
const fairSteps = 40

// Policy says how capacity is divided among classes and teams.
type Policy struct {
	// MinShare is the least share of a class or team in parts of the share of all requests, 0 to 0.9.
	MinShare float64
	// ReturnShare is the part of the capacity that is reserved for returning callers, 0 to 0.5.
	ReturnShare float64
	// Weights holds the weights of teams, above 0. A team without one has the weight 1.
	Weights map[string]float64
}

// Level states which share of the requests of each class and team the fleet admits. The zero Level
// admits all. It is an immutable value.
type Level struct {
	limited bool
	// marginal is the most urgent class of new requests that is not admitted as a whole.
	marginal demand.Class
	// minimum is the share of a class of new requests that gets nothing beyond it, reserved that of
	// returning callers.
	minimum, reserved float64
	classes           map[demand.Class]share
}

// share is the share of the requests of a class to admit.
type share struct {
	// all applies to teams without a share of their own. For returning callers, early is the part of
	// it that is not reserved.
	all, early float64
	teams      map[string]float64
}

// Level returns the level for the demand of the fleet, this gateway included, and the capacity in
// requests per second. It is open while the demand is within the capacity or the capacity is 0.
func (p Policy) Level(fleet demand.Demand, capacity float64) Level {
	offered := fleet.Offered()
	if capacity <= 0 || offered <= capacity {
		return Level{}
	}
	classes := slices.SortedFunc(maps.Keys(fleet.Classes), func(a, b demand.Class) int {
		return cmp.Compare(a.Priority, b.Priority)
	})
	returning := 0.0
	for _, class := range classes {
		if class.Returning {
			returning += fleet.Classes[class].Offered
		}
	}
	l := Level{limited: true, minimum: 1, reserved: 1, classes: make(map[demand.Class]share, len(classes))}
	fresh := max(offered-returning, 0)
	if fresh > 0 {
		l.minimum = min(p.MinShare*capacity/fresh, 1)
	}
	if returning > 0 {
		l.reserved = min(p.ReturnShare*capacity/returning, 1)
	}
	if minima := l.minimum*fresh + l.reserved*returning; minima > capacity {
		l.minimum *= capacity / minima
		l.reserved *= capacity / minima
	}
	rest := capacity - l.minimum*fresh - l.reserved*returning
	found := false
	for _, class := range classes {
		load := fleet.Classes[class]
		if class.Returning || load.Offered <= 0 {
			continue
		}
		extra := min((1-l.minimum)*load.Offered, rest)
		rest -= extra
		part := l.minimum + extra/load.Offered
		if !found && part < 1-rounding {
			l.marginal, found = class, true
		}
		l.classes[class] = p.divide(load, min(part, 1))
	}
	rest = max(rest-returnHeadroom*capacity, 0)
	for _, class := range classes {
		load := fleet.Classes[class]
		if !class.Returning || load.Offered <= 0 {
			continue
		}
		extra := min((1-l.reserved)*load.Offered, rest)
		rest -= extra
		part := l.reserved + extra/load.Offered
		if !found && part < 1-rounding {
			l.marginal, found = class, true
		}
		l.classes[class] = share{all: min(part, 1), early: extra / load.Offered}
	}
	return l
}

// divide divides the admitted part of a class among its teams by weighted max-min fairness.
func (p Policy) divide(load demand.Load, part float64) share {
	if part >= 1 || len(load.Teams) == 0 {
		return share{all: part}
	}
	named, smallest := 0.0, load.Offered
	for _, offered := range load.Teams {
		named += offered
		smallest = min(smallest, offered)
	}
	unnamed := max(load.Offered-named, 0)
	at := func(even float64) (s share, sum float64) {
		s.teams = make(map[string]float64, len(load.Teams))
		for team, offered := range load.Teams {
			weight := p.Weights[team]
			if weight <= 0 {
				weight = 1
			}
			s.teams[team] = 1
			if offered > 0 {
				s.teams[team] = min(max(even*weight/offered, p.MinShare*part), 1)
			}
			sum += s.teams[team] * offered
		}
		// An unnamed team asks for no more than the smallest named one.
		s.all = part
		if smallest > 0 {
			s.all = max(part, min(even/smallest, 1))
		}
		return s, sum + s.all*unnamed
	}
	// At the even share low all teams together fit, at high they do not.
	granted := part * load.Offered
	low, high := 0.0, load.Offered
	for _, weight := range p.Weights {
		if weight > 0 {
			high = max(high, load.Offered/weight)
		}
	}
	for range fairSteps {
		mid := (low + high) / 2
		if _, sum := at(mid); sum <= granted {
			low = mid
		} else {
			high = mid
		}
	}
	s, _ := at(low)
	return s
}

// Open reports whether all requests are admitted.
func (l Level) Open() bool { return !l.limited }

// Marginal returns the most urgent class of new requests of which only a part is admitted, or the most
// urgent class of returning callers if all new requests are admitted. Of an open level it is the zero
// Class.
func (l Level) Marginal() demand.Class { return l.marginal }

// Admit returns the share, 0 to 1, of the requests of a class and team to admit. Of a class without
// known demand, requests more urgent than the marginal class are all admitted.
func (l Level) Admit(class demand.Class, team string) float64 {
	if !l.limited {
		return 1
	}
	s, known := l.classes[class]
	switch {
	case !known && class.Returning:
		return l.reserved
	case !known && (l.marginal.Returning || class.Priority < l.marginal.Priority):
		return 1
	case !known:
		return l.minimum
	}
	if part, named := s.teams[team]; named {
		return part
	}
	return s.all
}

// AdmitEarly returns the share, 0 to 1, of the returning callers of a class to admit that have come back
// sooner than any Retry-After delay. They get no part of the reserved capacity.
func (l Level) AdmitEarly(class demand.Class) float64 {
	if !l.limited {
		return 1
	}
	return l.classes[demand.Class{Priority: class.Priority, Returning: true}].early
}
