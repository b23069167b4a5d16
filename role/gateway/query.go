package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/grademill/grademill/decide/catalog"
	"github.com/grademill/grademill/decide/fingerprint"
	"github.com/grademill/grademill/port/exchange"
)

// query is one request of a caller on its way.
type query struct {
	w http.ResponseWriter
	r *http.Request

	exchange.Ask
	route   *catalog.Route
	service *catalog.Service
	team    string
	// priority is from 0, the most urgent, to 9.
	priority int
	body     []byte
	hasBody  bool
	// print tells the request from others when it comes again under another ID.
	print fingerprint.Fingerprint
	// version is that of the configuration that decided.
	version uint64
	// proofAge is how old the proof of that configuration was.
	proofAge time.Duration

	start    time.Time
	deadline time.Time

	// sends counts the endpoints that the request was sent to, ran are those that may
	// have run it.
	sends int
	ran   []*backend
	// last is the endpoint that it was last sent to, nil for none, and sentAt when that was.
	last   *backend
	sentAt time.Time
	// mayHaveRun is set once an endpoint may have run the request.
	mayHaveRun bool
	// arrived is set once a send may have reached an endpoint: only what follows it
	// counts as a retry.
	arrived atomic.Bool
	// gone is set once its caller is known to have closed the connection.
	gone bool
	// reached is set once the endpoint of the send under way may have got the request.
	reached atomic.Bool

	// apart is set once it has waited for all gateways to know of the suspects.
	apart bool

	// returned is set when its caller has less time than callers usually have when they
	// come first.
	returned bool
	// seen is what it saw when it last found no chain.
	seen sight
	// waited is how long it waited in line for its first seat, ahead the number of
	// requests that waited there when it came.
	waited time.Duration
	ahead  int
	// comeBack is when its caller was told to come back, 0 when it was not, and admitted
	// the requests a second that it was worked out from.
	comeBack time.Duration
	admitted float64
	// cause is that of the next send, out of a closed set.
	cause string
	// status, outcome and reason are what became of it, for the log.
	status          int
	outcome, reason string
	// first is when the first byte of the answer went out.
	first time.Time
	// events is the number of events passed on, pause the longest wait between
	// two of them, carried the number of times that the stream was carried over.
	events  int
	pause   time.Duration
	carried int

	mu sync.Mutex // guards what follows
	// tried are the addresses that are not to be tried again.
	tried map[string]bool
	// used names the endpoints, for the log.
	used []string
	// looked is set once it has looked for an endpoint, held names those that it would have begun at
	// and that did not take it, for the log, and next is the one of them, at the last look, that may
	// take it first; nil when none is known to.
	looked bool
	held   []string
	next   *backend
	// isolation is the endpoint at which it is tried apart from others under which endpoints have
	// ended, empty while it is not suspected.
	isolation string
	// together is how many requests of all gateways are sent again for each of this one's,
	// since the same endpoint was lost to them; 0 for a request that is alone.
	together float64
}

// setTogether notes how many requests are sent again for each of this gateway's.
func (q *query) setTogether(n float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.together = n
}

// hasLooked reports whether the request has looked for an endpoint before.
func (q *query) hasLooked() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.looked
}

// nextTaker returns the endpoint that may take the request first of those that took it not at the last
// look, nil when none is known to.
func (q *query) nextTaker() *backend {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.next
}

// takenFrom returns when that endpoint may take it, as known at now; now when there is none.
func (q *query) takenFrom(now time.Time) time.Time {
	next := q.nextTaker()
	if next == nil {
		return now
	}
	if from, known := next.use.intake.Load().From(now); known {
		return from
	}
	return now
}

// heldBy returns the endpoints that did not take the request, for the log.
func (q *query) heldBy() []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.held
}

// companions returns how many requests of all gateways do what this one does, for each of
// this gateway's: 1 at least.
func (q *query) companions() float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return max(q.together, 1)
}

// isolateAt notes at which endpoint the request is tried apart, empty for at any.
func (q *query) isolateAt(endpoint string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.isolation = endpoint
}

// isolatedAt returns the endpoint at which the request is tried apart, empty for none.
func (q *query) isolatedAt() string {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.isolation
}

// avoid marks an address as not to be tried again.
func (q *query) avoid(address string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.tried == nil {
		q.tried = make(map[string]bool)
	}
	q.tried[address] = true
}

// avoids reports whether an address is not to be tried again.
func (q *query) avoids(address string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.tried[address]
}

// note adds to the endpoints that the log names.
func (q *query) note(used string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.used = append(q.used, used)
}

// runs returns the number of endpoints that may have run the request and have not surely
// ended since: a route allows only so many. Silence is no proof, since this process may
// be too slow to hear an endpoint that goes on.
func (q *query) runs() int {
	n := 0
	for _, b := range q.ran {
		if !b.use.ended.Load() {
			n++
		}
	}
	return n
}

// callerLeft reports whether the caller has closed the connection, as far as is known.
func (q *query) callerLeft() bool {
	return q.gone || errors.Is(q.r.Context().Err(), context.Canceled)
}

// left returns how long the answer is still of use.
func (q *query) left(now time.Time) time.Duration {
	return q.deadline.Sub(now)
}

// set notes what became of the request.
func (q *query) set(status int, outcome, reason string) {
	q.status, q.outcome, q.reason = status, outcome, reason
}
