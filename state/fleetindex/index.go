// Package fleetindex holds snapshots of the endpoints of a fleet.
package fleetindex

import (
	"maps"
	"slices"

	"github.com/grademill/grademill/state/roster"
)

// Index is a snapshot of all known endpoints. It is immutable, and holds nothing by which a later
// snapshot could be misread: all its keys are names. The zero Index is empty.
type Index[E any] struct {
	// Open holds the endpoints that take new work, by service.
	Open map[string][]E
	// ByID and ByAddress also hold endpoints that are leaving.
	ByID      map[string]E
	ByAddress map[string]E
	// ByHall holds the endpoints, leaving ones too, by the name of their data hall.
	ByHall map[string][]E
}

// New returns an index of the given endpoints; record returns the record of one.
func New[E any](all []E, record func(E) *roster.Record) *Index[E] {
	x := &Index[E]{
		Open: make(map[string][]E), ByID: make(map[string]E), ByAddress: make(map[string]E), ByHall: make(map[string][]E),
	}
	for _, e := range all {
		r := record(e)
		x.ByID[r.ID] = e
		x.ByHall[r.Hall] = append(x.ByHall[r.Hall], e)
		x.ByAddress[r.Address] = e
		if !r.Leaving {
			x.Open[r.Service] = append(x.Open[r.Service], e)
		}
	}
	return x
}

// Halls returns the names of the data halls, sorted.
func (x *Index[E]) Halls() []string {
	return slices.Sorted(maps.Keys(x.ByHall))
}
