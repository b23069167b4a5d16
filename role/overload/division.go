package overload

import (
	"maps"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/grademill/grademill/decide/demand"
	"github.com/grademill/grademill/decide/hallsplit"
	"github.com/grademill/grademill/decide/roomshare"
)

const (
	// spareWeight is how much the demand of a hall counts at the endpoints of all halls together to
	// which the division directs none of it: a request without room in its hall can still be placed.
	spareWeight = 0.05
	// loggedChange is the change of a part that is logged.
	loggedChange = 0.1
)

// division is the division of the demand for a service among halls. The zero division leaves the
// demand of each hall there.
type division struct {
	split hallsplit.Split
	// halls are those of the last plan, by name.
	halls map[string]hallsplit.Hall
	// own holds the parts of the demand of this gateway's hall that were last recorded, lastLogged the
	// division that was last logged.
	own        map[string]float64
	lastLogged hallsplit.Split
}

// placed returns the rates of the requests that are to be placed, by the hall of their gateways.
func (c *Control) placed(s *service, own demand.Demand, halls map[string]demand.Demand) map[string]float64 {
	rates := make(map[string]float64, len(halls)+1)
	for name, d := range halls {
		rates[name] = c.placedRate(s, d)
	}
	rates[c.Hall] += c.placedRate(s, own)
	return rates
}

// placedRate returns the rate of requests that are to be placed of a demand.
func (c *Control) placedRate(s *service, d demand.Demand) float64 {
	if !c.Admission {
		return d.Offered()
	}
	return admissible(s.level, d)
}

// update computes the division anew from the capacities of halls and the rates of requests placed by
// their gateways. estimate is the capacity of the fleet as measured, 0 if unknown. If some gateways
// are not heard, a hall without reports is taken to have the demand of the last update: its requests
// still come.
func (d *division) update(sites []hallsplit.Hall, rates map[string]float64, estimate float64, incomplete bool, now time.Time) {
	halls, sum := make(map[string]hallsplit.Hall, len(sites)), 0.0
	for _, h := range sites {
		halls[h.Name] = h
		sum += h.Capacity
	}
	names := maps.Clone(rates)
	if incomplete {
		for name, h := range d.halls {
			if _, heard := rates[name]; !heard {
				names[name] = h.Demand
			}
		}
	}
	for name, rate := range names {
		h := halls[name]
		h.Name, h.Demand = name, rate
		halls[name] = h
	}
	// The capacities are upper bounds. Their sum is known better while the fleet is short of room.
	if estimate > 0 && estimate < sum {
		for name, h := range halls {
			h.Capacity *= estimate / sum
			halls[name] = h
		}
	}
	d.halls = halls
	d.split = d.split.WithPlan(hallsplit.Plan(d.sorted()), now)
}

// sorted returns the halls in the order of their names, so that all gateways sum alike.
func (d *division) sorted() []hallsplit.Hall {
	list := make([]hallsplit.Hall, 0, len(d.halls))
	for _, name := range slices.Sorted(maps.Keys(d.halls)) {
		list = append(list, d.halls[name])
	}
	return list
}

// shares returns the share of the free room at the endpoints of each hall for a gateway of a hall
// with a rate of requests to place. heard is the part of the gateways that the reports cover.
func (d *division) shares(own float64, home string, size int, heard float64) map[string]float64 {
	least := spareWeight / float64(max(len(d.halls)-1, 1))
	list := make(map[string]float64, len(d.halls))
	for name := range d.halls {
		others := 0.0
		for from, h := range d.halls {
			rate := h.Demand
			if from == home {
				rate = max(rate-own, 0)
			}
			others += rate * max(d.split.Part(from, name), least)
		}
		list[name] = heard * roomshare.Share(own*max(d.split.Part(home, name), least), others, 0, 0, size)
	}
	return list
}

// divisionReport is what is recorded of a division.
type divisionReport struct {
	// own are the parts of the demand of this gateway's hall.
	own   map[string]float64
	split hallsplit.Split
	halls []hallsplit.Hall
	// logged is set if the division is to be logged.
	logged bool
}

// changes returns what is to be recorded of the division since the last call, for a gateway of a
// hall.
func (d *division) changes(home string) divisionReport {
	if d.halls == nil {
		return divisionReport{}
	}
	own := make(map[string]float64, len(d.halls))
	for name := range d.own {
		own[name] = 0 // a hall that has left is recorded once more
	}
	for name := range d.halls {
		own[name] = d.split.Part(home, name)
	}
	r := divisionReport{own: own, split: d.split, halls: d.sorted(), logged: d.split.Change(d.lastLogged) > loggedChange}
	d.own = maps.Clone(own)
	maps.DeleteFunc(d.own, func(name string, _ float64) bool { _, known := d.halls[name]; return !known })
	if r.logged {
		d.lastLogged = d.split
	}
	return r
}

// recordDivision records the parts of the demand of this gateway's hall, and logs a division that has
// changed.
func (c *Control) recordDivision(service string, r divisionReport) {
	for name, part := range r.own {
		c.Meter.HallPart(service, name, part)
	}
	if !r.logged {
		return
	}
	list := zerolog.Arr()
	for _, h := range r.halls {
		parts := zerolog.Dict()
		for _, to := range r.halls {
			if part := r.split.Part(h.Name, to.Name); part > 0 {
				parts.Float64(to.Name, roundPart(part))
			}
		}
		list.Dict(zerolog.Dict().Str("hall", h.Name).Float64("demand_per_s", round(h.Demand)).
			Float64("capacity_per_s", round(h.Capacity)).Dict("parts", parts))
	}
	c.Log.Info().Str("service", service).Array("halls", list).Msg("hall split")
}

// roundPart rounds a part for the log.
func roundPart(x float64) float64 { return round(100*x) / 100 }
