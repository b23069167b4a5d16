// Package hallsplit divides the demand for a model service among data halls. Plan computes the
// division, a Split holds it, and a Sequence directs single requests by it.
package hallsplit

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// threshold is the utilization below which a hall serves all of its own demand.
	threshold = 0.85
	// evening is how far the utilization down to which halls are evened lies below threshold, for
	// each unit of the fleet's utilization that is above the threshold of its hall. Evening halls
	// completely from the threshold on would make the plan jump when a hall crosses it.
	evening = 2
	// smoothing is the time constant of the changes of a Split: 95 in 100 of a change is made within
	// 1 s.
	smoothing = time.Second / 3
	// leastPart is the part below which no demand is moved.
	leastPart = 1e-3
	// levelSteps is the number of bisections for the common utilization.
	levelSteps = 50
)

// Hall describes a data hall. All rates are in requests per second and at least 0.
type Hall struct {
	// Name is unique among the halls of a plan.
	Name string
	// Demand is the rate of requests that gateways of the hall place, Capacity the rate that its
	// endpoints serve.
	Demand, Capacity float64
	// LinkRate bounds the rate of requests that leave the hall and of those that enter it; 0 means no
	// bound.
	LinkRate float64
}

// bounded returns a rate within the bound of the links of the hall, and at least 0.
func (h Hall) bounded(rate float64) float64 {
	if h.LinkRate > 0 {
		rate = min(rate, h.LinkRate)
	}
	return max(rate, 0)
}

// surplus is the demand of the hall above a utilization, and room its capacity left below it.
func (h Hall) surplus(level float64) float64 { return h.bounded(h.Demand - level*h.Capacity) }
func (h Hall) room(level float64) float64    { return h.bounded(level*h.Capacity - h.Demand) }

// Split holds the part of each hall's demand that is served in each other hall. It is an immutable
// value. With the zero Split every hall serves its own demand.
type Split struct {
	// away holds the parts that are served in other halls, by hall and in the order of their names.
	away map[string][]destination
	at   time.Time
}

// destination is a part, above 0, of a hall's demand that is served in another one.
type destination struct {
	hall string
	part float64
}

// Plan returns the division of the demand of halls. Demand moves from halls above a common
// utilization to those below it: the utilization at which all are even, or a higher one while the
// excess over the threshold is small. Nothing moves while no hall is above the threshold. No hall
// sends or receives more than its links bear.
func Plan(halls []Hall) Split {
	level, ok := commonLevel(halls)
	if !ok {
		return Split{}
	}
	surplus, room := 0.0, 0.0
	for _, h := range halls {
		surplus += h.surplus(level)
		room += h.room(level)
	}
	if surplus <= 0 || room <= 0 {
		return Split{}
	}
	moved := min(surplus, room)
	plan := Split{away: make(map[string][]destination)}
	for _, from := range halls {
		sent := from.surplus(level) * moved / surplus
		if sent < leastPart*from.Demand || sent <= 0 {
			continue
		}
		row := make([]destination, 0, len(halls))
		for _, to := range halls {
			if part := sent / from.Demand * to.room(level) / room; part > 0 {
				row = append(row, destination{to.Name, part})
			}
		}
		slices.SortFunc(row, func(a, b destination) int { return cmp.Compare(a.hall, b.hall) })
		plan.away[from.Name] = row
	}
	return plan
}

// commonLevel returns the utilization down to which halls give demand away, and false if none does.
func commonLevel(halls []Hall) (level float64, ok bool) {
	excess, demand, capacity, least := 0.0, 0.0, 0.0, math.Inf(1)
	for _, h := range halls {
		excess += max(h.Demand-threshold*h.Capacity, 0)
		demand += h.Demand
		capacity += h.Capacity
		if h.Capacity > 0 {
			least = min(least, h.Capacity)
		}
	}
	if excess <= 0 || capacity <= 0 {
		return 0, false
	}
	low, high := 0.0, 2*demand/least // at high, each hall has room for all demand
	for range levelSteps {
		middle := (low + high) / 2
		balance := 0.0
		for _, h := range halls {
			balance += h.room(middle) - h.surplus(middle)
		}
		if balance < 0 {
			low = middle
		} else {
			high = middle
		}
	}
	return max(high, threshold-evening*excess/capacity), true
}

// Part returns the part of the demand of a hall that is served in another one or, if from and to are
// the same, in itself.
func (s Split) Part(from, to string) float64 {
	home := 1.0
	for _, d := range s.away[from] {
		if d.hall == to {
			return d.part
		}
		home -= d.part
	}
	if from == to {
		return max(home, 0)
	}
	return 0
}

// WithPlan returns s moved toward a plan, by the time since the last plan. The first plan only sets
// the time.
func (s Split) WithPlan(plan Split, now time.Time) Split {
	weight := 0.0
	if !s.at.IsZero() {
		weight = 1 - math.Exp(-max(now.Sub(s.at), 0).Seconds()/smoothing.Seconds())
	}
	next := Split{away: make(map[string][]destination), at: now}
	for from := range s.away {
		next.away[from] = nil
	}
	for from := range plan.away {
		next.away[from] = nil
	}
	for from := range next.away {
		row := blend(s.away[from], plan.away[from], weight)
		if len(row) == 0 {
			delete(next.away, from)
			continue
		}
		next.away[from] = row
	}
	return next
}

// blend returns old moved toward plan by a weight from 0 to 1.
func blend(old, plan []destination, weight float64) []destination {
	row := make([]destination, 0, len(old)+len(plan))
	for _, d := range old {
		row = append(row, destination{d.hall, (1 - weight) * d.part})
	}
	for _, d := range plan {
		i, known := slices.BinarySearchFunc(row, d.hall, func(d destination, hall string) int { return strings.Compare(d.hall, hall) })
		if !known {
			row = slices.Insert(row, i, destination{hall: d.hall})
		}
		row[i].part += weight * d.part
	}
	return slices.DeleteFunc(row, func(d destination) bool { return d.part < leastPart*leastPart })
}

// Change returns the largest difference of a part between two divisions.
func (s Split) Change(other Split) float64 {
	largest := 0.0
	compare := func(a, b Split) {
		for from, row := range a.away {
			largest = max(largest, math.Abs(a.Part(from, from)-b.Part(from, from)))
			for _, d := range row {
				largest = max(largest, math.Abs(d.part-b.Part(from, d.hall)))
			}
		}
	}
	compare(s, other)
	compare(other, s)
	return largest
}

// goldenRatio is the step of a Sequence. Multiples of it, modulo 1, are spread most evenly.
const goldenRatio = 0.6180339887498949

// Sequence directs single requests to halls in even steps: among any number of consecutive requests
// each hall gets its part, to within a few requests. It is an immutable value.
type Sequence struct {
	// Position is at least 0 and below 1. It differs between gateways at the start, so that gateways
	// with few requests do not all send the first one to the same hall.
	Position float64
}

// Next returns the hall that serves the next request of a hall, and the rest of the sequence.
func (q Sequence) Next(s Split, from string) (string, Sequence) {
	_, next := math.Modf(q.Position + goldenRatio)
	at := q.Position - s.Part(from, from)
	to := from
	for _, d := range s.away[from] {
		if at < 0 {
			break
		}
		to = d.hall
		at -= d.part
	}
	return to, Sequence{Position: next}
}
