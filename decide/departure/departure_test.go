package departure_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/grademill/grademill/decide/departure"
	"github.com/grademill/grademill/decide/endpoint"
)

func TestCovers(t *testing.T) {
	gone := departure.Departure{Endpoint: "a", Born: 5, Revision: 9}
	announced := departure.Departure{Endpoint: "a", Born: 5, Revision: 9, Announced: true}
	for name, c := range map[string]struct {
		d        departure.Departure
		e        endpoint.Endpoint
		revision uint64
		covers   bool
	}{
		"no departure":                         {departure.Departure{}, endpoint.Endpoint{ID: "a"}, 1, false},
		"another endpoint":                     {announced, endpoint.Endpoint{ID: "b", Born: 5}, 1, false},
		"record from before its removal":       {gone, endpoint.Endpoint{ID: "a", Born: 5}, 8, true},
		"record that makes it available again": {gone, endpoint.Endpoint{ID: "a", Born: 5}, 10, false},
		"record from after an announcement":    {announced, endpoint.Endpoint{ID: "a", Born: 5}, 10, true},
		"later incarnation":                    {announced, endpoint.Endpoint{ID: "a", Born: 6}, 10, false},
		"former incarnation":                   {announced, endpoint.Endpoint{ID: "a", Born: 4}, 10, true},
		"unreported incarnation":               {announced, endpoint.Endpoint{ID: "a"}, 10, true},
	} {
		assert.Equal(t, c.covers, c.d.Covers(c.e, c.revision), name)
	}
}

func TestWith(t *testing.T) {
	announced := departure.Departure{Endpoint: "a", Born: 5, Revision: 7, Announced: true}
	gone := departure.Departure{Endpoint: "a", Born: 5, Revision: 9}
	later := departure.Departure{Endpoint: "a", Born: 6, Revision: 8}
	both := departure.Departure{Endpoint: "a", Born: 5, Revision: 9, Announced: true}
	assert.Equal(t, gone, departure.Departure{}.Merge(gone))
	assert.Equal(t, both, announced.Merge(gone))
	assert.Equal(t, both, gone.Merge(announced))
	assert.Equal(t, later, both.Merge(later))
	assert.Equal(t, later, later.Merge(both))
}
