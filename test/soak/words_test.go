package soak_test

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/grademill/grademill/standin/site"
)

// wordHeard is how long a gateway may take to heed a word that it has passed on.
const wordHeard = 500 * time.Millisecond

// speech is what an endpoint said for a while.
type speech struct {
	endpoint    *site.Endpoint
	says        site.Says
	from, until time.Time
}

// process is one life of a gateway.
type process struct {
	node *node
	life int
}

// speak has endpoints ask for what they can bear, one after the other, for a time.
func (w *world) speak(seed uint64, d time.Duration) {
	r := rand.New(rand.NewPCG(seed, 9))
	for end := time.Now().Add(d); time.Now().Before(end); {
		e, _ := w.backs.pick(r, []string{records, model}[r.IntN(2)])
		if e == nil {
			return
		}
		s := speech{endpoint: e, from: time.Now()}
		lasts := time.Duration(2+r.IntN(3)) * time.Second
		switch r.IntN(3) {
		case 0:
			s.says.Rest = time.Duration(1000+r.IntN(2000)) * time.Millisecond
		case 1:
			s.says.Limit, s.says.Above = 1+5*r.Float64(), 2
		default:
			s.says.Limit = 0.2 + 5*r.Float64()
			lasts = site.LimitHeard + site.LimitSpan
		}
		w.t.Logf("%s: %s says %+v for %s", s.from.Format("15:04:05.000"), e.ID, s.says, lasts)
		e.Say(s.says)
		time.Sleep(lasts)
		e.Say(site.Says{})
		s.until = time.Now()
		w.speeches = append(w.speeches, s)
	}
}

// checkWords checks that endpoints got what they had asked for.
func (w *world) checkWords(c *callers) {
	byID := make(map[string]sent, len(c.all))
	for _, s := range c.all {
		byID[s.id] = s
	}
	for _, s := range w.speeches {
		if w.linkHarmed(s) {
			continue
		}
		if s.says.Rest > 0 {
			w.checkRest(s, byID)
		} else if s.says.Above == 0 {
			w.checkLimit(s, byID)
		}
	}
	for e, left := range w.backs.left {
		if e.Saying().Leaving { // else only its record has gone
			w.checkLeavingWord(e, left, byID)
		}
	}
}

// linkHarmed reports whether the link of an endpoint was harmed around what it said.
func (w *world) linkHarmed(s speech) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, at := range w.linkFaults[s.endpoint] {
		if at.After(s.from.Add(-touch)) && at.Before(s.until) {
			return true
		}
	}
	return false
}

// arrival is a request as an endpoint got it.
type arrival struct {
	sent
	from    process
	arrived time.Time
}

// arrivals returns the requests of callers that an endpoint got within a time, in order.
func arrivals(e *site.Endpoint, from, until time.Time, byID map[string]sent) []arrival {
	var list []arrival
	times := e.Arrived()
	for i, r := range e.Seen()[:len(times)] {
		one, ok := byID[r.Header.Get("X-Request-Id")]
		if ok && !times[i].Before(from) && !times[i].After(until) {
			list = append(list, arrival{one, process{one.node, one.life}, times[i]})
		}
	}
	return list
}

// passedOn reports whether the caller has got a whole answer to the request.
func (s sent) passedOn() bool {
	return s.status == http.StatusOK && s.whole
}

// checkLimit checks what an endpoint got, once a limit had to be heard of, from gateways that had passed
// on one of its answers.
func (w *world) checkLimit(s speech, byID map[string]sent) {
	told := make(map[process]time.Time)
	var counted []time.Time
	for _, a := range arrivals(s.endpoint, s.from, s.until, byID) {
		known := told[a.from]
		if !known.IsZero() && a.arrived.After(known.Add(wordHeard)) && a.arrived.After(s.from.Add(site.LimitHeard)) {
			counted = append(counted, a.arrived)
		}
		if known.IsZero() && a.passedOn() {
			told[a.from] = a.ended
		}
	}
	most := site.MostWithin(counted, site.LimitSpan)
	assert.LessOrEqual(w.t, most, site.Allowed(s.says.Limit), "%s named %.2f a second", s.endpoint.ID, s.says.Limit)
	w.t.Logf("%s named %.2f a second and got %d, %d in the fullest span", s.endpoint.ID, s.says.Limit, len(counted), most)
}

// checkRest checks what an endpoint got within each rest that it asked a gateway for.
func (w *world) checkRest(s speech, byID map[string]sent) {
	arrived := make(map[process][]time.Time)
	for _, a := range arrivals(s.endpoint, s.from, s.until, byID) {
		arrived[a.from] = append(arrived[a.from], a.arrived)
	}
	for from, times := range arrived {
		assert.LessOrEqual(w.t, site.MostWithinRest(times, s.says.Rest), site.RestSlack,
			"%s within a rest that %s asked for", from.node.name, s.endpoint.ID)
	}
}

// checkLeavingWord checks that a gateway that has passed on an answer of an endpoint that said that it
// leaves sends it nothing later, in touch with the store or not.
func (w *world) checkLeavingWord(e *site.Endpoint, said time.Time, byID map[string]sent) {
	told := make(map[process]time.Time)
	for _, a := range arrivals(e, said, time.Now(), byID) {
		if a.at.Before(said) {
			continue
		}
		if known := told[a.from]; !known.IsZero() {
			assert.Less(w.t, a.at.Sub(known), site.LeavingHeard, "%s got %s from %s that had heard that it leaves", e.ID, a.id, a.from.node.name)
		} else if a.passedOn() {
			told[a.from] = a.ended
		}
	}
}
