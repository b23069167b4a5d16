// Package demand holds the demand for a model service as gateways report it to each other.
package demand

import (
	"cmp"
	"maps"
	"slices"
)

// MaxTeams is the number of teams of a class that a demand names.
const MaxTeams = 8

// Class is a class of requests.
type Class struct {
	// Priority is 0 for the most urgent requests, up to 9.
	Priority int
	// Returning is set for callers that retry.
	Returning bool
}

// Load is the demand of a class, in requests per second.
type Load struct {
	Offered float64
	// Teams holds the teams with the most demand, at most MaxTeams.
	Teams map[string]float64
}

// Demand is the demand for a service, with rates per second. It is an immutable value.
type Demand struct {
	Admitted, Refused, Waiting float64
	// CapacitySum is the sum of the estimates of Estimates gateways.
	CapacitySum float64
	Estimates   int
	Classes     map[Class]Load
}

// Plus returns the sum of both demands.
func (d Demand) Plus(o Demand) Demand {
	d.Admitted += o.Admitted
	d.Refused += o.Refused
	d.Waiting += o.Waiting
	d.CapacitySum += o.CapacitySum
	d.Estimates += o.Estimates
	classes := make(map[Class]Load, len(d.Classes))
	maps.Copy(classes, d.Classes)
	for class, load := range o.Classes {
		teams := maps.Clone(classes[class].Teams)
		if teams == nil {
			teams = make(map[string]float64)
		}
		for team, offered := range load.Teams {
			teams[team] += offered
		}
		if len(teams) > MaxTeams {
			names := slices.SortedFunc(maps.Keys(teams), func(a, b string) int {
				return cmp.Or(cmp.Compare(teams[b], teams[a]), cmp.Compare(a, b))
			})
			for _, name := range names[MaxTeams:] {
				delete(teams, name)
			}
		}
		classes[class] = Load{Offered: classes[class].Offered + load.Offered, Teams: teams}
	}
	d.Classes = classes
	return d
}

// Capacity returns the mean estimate of the capacity, 0 for none.
func (d Demand) Capacity() float64 {
	if d.Estimates == 0 {
		return 0
	}
	return d.CapacitySum / float64(d.Estimates)
}

// Offered returns the rate of requests of all classes.
func (d Demand) Offered() float64 {
	sum := 0.0
	for _, load := range d.Classes {
		sum += load.Offered
	}
	return sum
}
