package site

import (
	"net/http"
	"strconv"
	"time"
)

// Says is what an endpoint says of the requests that it takes.
type Says struct {
	// Limit is the requests a second that it takes from all gateways, 0 when it names none. With
	// Above it names it only while it runs more streams than that.
	Limit float64
	Above int
	// Rest is what it asks for with each request, all of which it turns away; 0 for none.
	Rest time.Duration
	// Leaving is set when it says that it is about to end.
	Leaving bool
}

// Say sets what the endpoint says from now on.
func (e *Endpoint) Say(s Says) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.says, e.namedAt = s, time.Time{}
}

// Saying returns what the endpoint says.
func (e *Endpoint) Saying() Says {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.says
}

// NamedAt returns when the endpoint first named the limit that it was last told to name, zero when it
// has not.
func (e *Endpoint) NamedAt() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.namedAt
}

// say writes what the endpoint says into the head of an answer, and reports whether the request is
// turned away.
func (e *Endpoint) say(h http.Header) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.says
	if s.Limit > 0 && (s.Above == 0 || len(e.running) > s.Above) {
		h.Set("Server-Limit", strconv.FormatFloat(s.Limit, 'f', -1, 64))
		if e.namedAt.IsZero() {
			e.namedAt = time.Now()
		}
	}
	if s.Leaving {
		h.Set("Server-Leaving", "1")
	}
	if s.Rest > 0 {
		h.Set("Retry-After", strconv.FormatFloat(s.Rest.Seconds(), 'f', -1, 64))
	}
	return s.Rest > 0
}

// LimitSpan is the span in which an endpoint that names a limit gets no more than Allowed, once
// LimitHeard has passed for all gateways to hear of it.
const (
	LimitSpan  = 4 * time.Second
	LimitHeard = 3 * time.Second
)

// Allowed returns how many requests an endpoint that names a limit a second may get within LimitSpan: half
// as many again as it takes, and five.
func Allowed(limit float64) int {
	return int(1.5*limit*LimitSpan.Seconds()) + 5
}

// An endpoint that has asked for a rest gets RestSlack requests more at most, from RestHeard later to the
// end of the rest. LeavingHeard is how long after it has said that it leaves it may get any.
const (
	RestHeard    = 500 * time.Millisecond
	RestSlack    = 2
	LeavingHeard = 2 * time.Second
)

// MostWithinRest returns the largest number of times that lie within a rest that was asked for at one of them.
func MostWithinRest(times []time.Time, rest time.Duration) int {
	most := 0
	for i, asked := range times {
		n := 0
		for _, at := range times[i+1:] {
			if d := at.Sub(asked); d > RestHeard && d < rest {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// MostWithin returns the largest number of times that lie within one span.
func MostWithin(times []time.Time, span time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
