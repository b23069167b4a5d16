// Package demand describes what callers ask of a model service, as seen by one gateway or summed
// over several.
package demand

import (
	"cmp"
	"maps"
	"slices"
)

const (
	// MaxTeams is the largest number of teams that are named in a class. It bounds the size of a
	// digest; the demand of the other teams is in the total of the class.
	MaxTeams = 8
	// MaxPriority is the number of the least urgent priority; 0 is the most urgent.
	MaxPriority = 9
)

// Class is a class of requests that are admitted or refused alike.
type Class struct {
	// Priority is from 0, the most urgent, to [MaxPriority].
	Priority int
	// Returning is set for callers that retry after a refusal.
	Returning bool
}

// Load is the demand of a class, in requests per second.
type Load struct {
	// Offered is the rate of requests that arrive, of all teams.
	Offered float64
	// Teams holds the parts of the teams with the most demand. Their sum is at most Offered, except
	// for rounding.
	Teams map[string]float64
}

// HeaviestTeams returns the names of the teams in descending order of demand, and of equal ones in
// the order of their names.
func (l Load) HeaviestTeams() []string {
	return slices.SortedFunc(maps.Keys(l.Teams), func(a, b string) int {
		return cmp.Or(cmp.Compare(l.Teams[b], l.Teams[a]), cmp.Compare(a, b))
	})
}

// Demand is the demand for a model service. It is immutable: no method changes its maps or returns
// a value that shares them.
type Demand struct {
	// Admitted is the rate of requests that reserve a chain for the first time, Refused that of
	// refusals for lack of room, both in requests per second.
	Admitted, Refused float64
	// Waiting is the number of requests in the queue.
	Waiting float64
	// CapacitySum is the sum of the gateways' estimates of the fleet's capacity, in requests per
	// second, and Estimates the number of gateways in that sum.
	CapacitySum float64
	Estimates   int
	// Classes holds the demand by class.
	Classes map[Class]Load
}

// Sum returns the sum of demands. Each class keeps the [MaxTeams] teams with the most demand in the
// sum. They are chosen after everything is added, so the choice does not depend on the order.
func Sum(all ...Demand) Demand {
	sum := Demand{Classes: make(map[Class]Load)}
	for _, d := range all {
		sum.Admitted += d.Admitted
		sum.Refused += d.Refused
		sum.Waiting += d.Waiting
		sum.CapacitySum += d.CapacitySum
		sum.Estimates += d.Estimates
		for class, load := range d.Classes {
			total := sum.Classes[class]
			total.Offered += load.Offered
			if total.Teams == nil {
				total.Teams = make(map[string]float64, len(load.Teams))
			}
			for team, offered := range load.Teams {
				total.Teams[team] += offered
			}
			sum.Classes[class] = total
		}
	}
	for _, load := range sum.Classes {
		if len(load.Teams) <= MaxTeams {
			continue
		}
		for _, team := range load.HeaviestTeams()[MaxTeams:] {
			delete(load.Teams, team)
		}
	}
	return sum
}

// Plus returns the sum of two demands as [Sum] does. It is associative while no class has more than
// [MaxTeams] teams; the other values are associative always, except for rounding.
func (d Demand) Plus(other Demand) Demand {
	return Sum(d, other)
}

// WithoutTeams returns the demand without the names of teams.
func (d Demand) WithoutTeams() Demand {
	classes := make(map[Class]Load, len(d.Classes))
	for class, load := range d.Classes {
		classes[class] = Load{Offered: load.Offered}
	}
	d.Classes = classes
	return d
}

// Capacity returns the mean estimate of the fleet's capacity in requests per second, 0 if there is
// none.
func (d Demand) Capacity() float64 {
	if d.Estimates == 0 {
		return 0
	}
	return d.CapacitySum / float64(d.Estimates)
}

// Offered returns the rate of requests that arrive, of all classes.
func (d Demand) Offered() float64 {
	var total float64
	for _, load := range d.Classes {
		total += load.Offered
	}
	return total
}
