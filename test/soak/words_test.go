package soak_test

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/grademill/grademill/standin/site"
)

// reportDelay is how long a gateway may take to act on an endpoint's report, from when it has passed on
// the response that carries the report.
const reportDelay = 500 * time.Millisecond

// overloadReport is a limit or backoff period that an endpoint asked for during a period.
type overloadReport struct {
	endpoint    *site.Endpoint
	signals     site.Signals
	from, until time.Time
}

// process is one incarnation of a gateway.
type process struct {
	node        *node
	incarnation int
}

// reportOverload makes one random endpoint after another ask for a limit or a backoff period, for a duration.
func (w *world) reportOverload(seed uint64, d time.Duration) {
	r := rand.New(rand.NewPCG(seed, 9))
	for end := time.Now().Add(d); time.Now().Before(end); {
		e, _ := w.backends.pick(r, []string{records, model}[r.IntN(2)])
		if e == nil {
			return
		}
		if e.CurrentSignals().Leaving {
			continue
		}
		s := overloadReport{endpoint: e, from: time.Now()}
		lasts := time.Duration(2+r.IntN(3)) * time.Second
		switch r.IntN(3) {
		case 0:
			s.signals.RetryAfter = time.Duration(1000+r.IntN(2000)) * time.Millisecond
		case 1:
			s.signals.Limit, s.signals.Above = 1+5*r.Float64(), 2
		default:
			s.signals.Limit = 0.2 + 5*r.Float64()
			lasts = site.LimitGrace + site.LimitSpan
		}
		w.t.Logf("%s: %s reports %+v for %s", s.from.Format("15:04:05.000"), e.ID, s.signals, lasts)
		e.SetSignals(s.signals)
		time.Sleep(lasts)
		if !e.CurrentSignals().Leaving { // it says so until it ends
			e.SetSignals(site.Signals{})
		}
		s.until = time.Now()
		w.mu.Lock()
		w.overloadReports = append(w.overloadReports, s)
		w.mu.Unlock()
	}
}

// checkOverloadReports checks that gateways kept to the limits, backoff periods and departures that
// endpoints reported.
func (w *world) checkOverloadReports(c *callers) {
	byID := make(map[string]exchange, len(c.all))
	for _, s := range c.all {
		byID[s.id] = s
	}
	for _, s := range w.overloadReports {
		if w.linkWasFaulty(s) {
			continue
		}
		if s.signals.RetryAfter > 0 {
			w.checkBackoff(s, byID)
		} else if s.signals.Above == 0 {
			w.checkLimit(s, byID)
		}
	}
	for e, left := range w.backends.left {
		if e.CurrentSignals().Leaving { // otherwise only its record was withdrawn
			w.checkLeavingReport(e, left, byID)
		}
	}
}

// linkWasFaulty reports whether the link of an endpoint was faulty shortly before or during a report.
func (w *world) linkWasFaulty(s overloadReport) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, at := range w.linkFaults[s.endpoint] {
		if at.After(s.from.Add(-reconnectBound)) && at.Before(s.until) {
			return true
		}
	}
	return false
}

// arrival is a request received by an endpoint.
type arrival struct {
	exchange
	from    process
	arrived time.Time
}

// arrivals returns the callers' requests that an endpoint received between from and until, in order.
func arrivals(e *site.Endpoint, from, until time.Time, byID map[string]exchange) []arrival {
	var list []arrival
	times := e.Arrived()
	for i, r := range e.Seen()[:len(times)] {
		ex, ok := byID[r.Header.Get("X-Request-Id")]
		if ok && !times[i].Before(from) && !times[i].After(until) {
			list = append(list, arrival{ex, process{ex.node, ex.incarnation}, times[i]})
		}
	}
	return list
}

// passedOn reports whether the caller received a complete successful response.
func (s exchange) passedOn() bool {
	return s.status == http.StatusOK && s.whole
}

// checkLimit checks that an endpoint got no more requests than its limit allows. It counts only requests
// that arrive more than site.LimitGrace after the report began, from gateways that passed on a response
// of the endpoint more than reportDelay before.
func (w *world) checkLimit(s overloadReport, byID map[string]exchange) {
	reported := make(map[process]time.Time)
	var counted []time.Time
	for _, a := range arrivals(s.endpoint, s.from, s.until, byID) {
		known := reported[a.from]
		if !known.IsZero() && a.arrived.After(known.Add(reportDelay)) && a.arrived.After(s.from.Add(site.LimitGrace)) {
			counted = append(counted, a.arrived)
		}
		if known.IsZero() && a.passedOn() {
			reported[a.from] = a.ended
		}
	}
	most := site.MaxWithin(counted, site.LimitSpan)
	assert.LessOrEqual(w.t, most, site.Allowed(s.signals.Limit), "%s asked for at most %.2f requests per second", s.endpoint.ID, s.signals.Limit)
	w.t.Logf("%s asked for at most %.2f requests per second and got %d, at most %d of them within one period", s.endpoint.ID, s.signals.Limit, len(counted), most)
}

// checkBackoff checks that each gateway sent at most site.RetryAfterSlack requests within a backoff
// period that the endpoint asked it for.
func (w *world) checkBackoff(s overloadReport, byID map[string]exchange) {
	arrived := make(map[process][]time.Time)
	for _, a := range arrivals(s.endpoint, s.from, s.until, byID) {
		arrived[a.from] = append(arrived[a.from], a.arrived)
	}
	for from, times := range arrived {
		assert.LessOrEqual(w.t, site.MaxWithinBackoff(times, s.signals.RetryAfter), site.RetryAfterSlack,
			"%s sent too many requests within a backoff period asked for by %s", from.node.name, s.endpoint.ID)
	}
}

// checkLeavingReport checks that a gateway, once it has passed on a response in which an endpoint reported its
// departure, sends it nothing more, even while it cannot reach the store.
func (w *world) checkLeavingReport(e *site.Endpoint, said time.Time, byID map[string]exchange) {
	reported := make(map[process]time.Time)
	for _, a := range arrivals(e, said, time.Now(), byID) {
		if a.at.Before(said) {
			continue
		}
		if known := reported[a.from]; !known.IsZero() {
			assert.Less(w.t, a.at.Sub(known), site.LeavingGrace, "%s got %s from %s, which knew of its departure", e.ID, a.id, a.from.node.name)
		} else if a.passedOn() {
			reported[a.from] = a.ended
		}
	}
}
