// Package departure defines Departure, which marks an endpoint as taking no new work. Covers
// applies a departure to an endpoint, and Merge combines two departures of the same one.
package departure

import "github.com/grademill/grademill/decide/endpoint"

// Departure marks one incarnation of an endpoint as taking no new work. It is immutable; the
// zero Departure covers nothing.
type Departure struct {
	// Endpoint is the endpoint's ID, and Born the incarnation's start as in endpoint.Endpoint.
	Endpoint string
	Born     int64
	// Announced is set when the endpoint itself has announced that it leaves, which is final.
	// Otherwise its record has been removed, and a later record makes it available again.
	Announced bool
	// Revision is the store's revision at which the record announced the departure or was
	// removed, 0 when the departure did not come from the store.
	Revision uint64
}

// Covers reports whether an endpoint, known from a record of the given revision, takes no new
// work.
func (d Departure) Covers(e endpoint.Endpoint, revision uint64) bool {
	if e.ID != d.Endpoint || e.Supersedes(d.incarnation()) {
		return false
	}
	return d.Announced || revision < d.Revision
}

// Merge combines two departures of the same endpoint. The one of the later incarnation takes
// precedence.
func (d Departure) Merge(other Departure) Departure {
	switch {
	case d == Departure{} || other.incarnation().Supersedes(d.incarnation()):
		return other
	case d.incarnation().Supersedes(other.incarnation()):
		return d
	}
	d.Born = max(d.Born, other.Born)
	d.Announced = d.Announced || other.Announced
	d.Revision = max(d.Revision, other.Revision)
	return d
}

// incarnation returns the departing incarnation.
func (d Departure) incarnation() endpoint.Endpoint {
	return endpoint.Endpoint{ID: d.Endpoint, Born: d.Born}
}
