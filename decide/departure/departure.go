// Package departure describes endpoints that take no new work any more.
package departure

import "github.com/grademill/grademill/decide/endpoint"

// Departure says that one life of an endpoint takes no new work. It is immutable; the zero
// Departure covers nothing.
type Departure struct {
	// Endpoint is the endpoint's ID, and Born the life as in endpoint.Endpoint.
	Endpoint string
	Born     int64
	// Announced is set when the endpoint has said that it leaves, which it does not take back.
	// Otherwise its record has gone, and a later record brings it back.
	Announced bool
	// Revision is that of the store at which the record said so or went, 0 when the store had no
	// part in it.
	Revision uint64
}

// Covers reports whether an endpoint takes no new work, by a record of a revision.
func (d Departure) Covers(e endpoint.Endpoint, revision uint64) bool {
	if e.ID != d.Endpoint || e.Follows(d.life()) {
		return false
	}
	return d.Announced || revision < d.Revision
}

// With returns what is known after another departure of the same endpoint: of two lives the later
// one counts.
func (d Departure) With(other Departure) Departure {
	switch {
	case d == Departure{} || other.life().Follows(d.life()):
		return other
	case d.life().Follows(other.life()):
		return d
	}
	d.Born = max(d.Born, other.Born)
	d.Announced = d.Announced || other.Announced
	d.Revision = max(d.Revision, other.Revision)
	return d
}

// life returns the life that departs.
func (d Departure) life() endpoint.Endpoint {
	return endpoint.Endpoint{ID: d.Endpoint, Born: d.Born}
}
