package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/grademill/grademill/adapter/ingress"
	"github.com/grademill/grademill/decide/catalog"
	"github.com/grademill/grademill/decide/shortage"
	"github.com/grademill/grademill/port/exchange"
	"github.com/grademill/grademill/role/overload"
	"github.com/grademill/grademill/role/quarantine"
	"github.com/grademill/grademill/state/cell"
	"github.com/grademill/grademill/state/expiring"
	"github.com/grademill/grademill/state/retrybudgets"
	"github.com/grademill/grademill/state/sends"
)

// query is one request of a caller while it is served.
type query struct {
	w http.ResponseWriter
	r *http.Request

	exchange.RequestHeaders
	route   *catalog.Route
	service *catalog.Service
	team    string
	// priority is from 0, the most urgent, to 9.
	priority int
	body     []byte
	hasBody  bool
	// guard keeps the request from endpoints that it may crash.
	guard quarantine.Guard
	// version is the version of the configuration that admitted the request.
	version uint64
	// proofAge was the age of the freshness proof of that configuration.
	proofAge time.Duration

	start    time.Time
	deadline time.Time

	// sends are the sends of the request to endpoints.
	sends sends.Sends[*backend]
	// failure is the latest failure answer of an endpoint, which is delivered unless another attempt
	// gets a better one; nil for none.
	failure atomic.Pointer[sendResult]
	// mayHaveRun is set once an endpoint may have run the request.
	mayHaveRun atomic.Bool
	// everReached is set once any send may have reached an endpoint: only later sends count as
	// retries.
	everReached atomic.Bool
	// retryState is what the retry budget counted when it last refused a retry, nil if it did not.
	retryState atomic.Pointer[retrybudgets.State]
	// callerGone is set once the caller is known to have closed the connection.
	callerGone bool
	// reached is set once the endpoint of a current send may have received the request.
	reached atomic.Bool

	// refused says why the request may not be sent now, nil if it may.
	refused *quarantine.RefusedError

	// decision is that of the overload control on the request of a model.
	decision overload.Decision
	// returned is set when the caller has less time left than callers usually have on their first
	// attempt.
	returned bool
	// lastSearch describes the last search that found no chain, nil for none.
	lastSearch *shortage.Search
	// waited is how long the request waited in the queue for its first reservation, ahead the
	// number of requests that were queued when it arrived.
	waited time.Duration
	ahead  int
	// retryAfter is the Retry-After delay sent to the caller, 0 for none, and admitted the rate of
	// admission, in requests per second, from which it was computed.
	retryAfter time.Duration
	admitted   float64
	// cause is the cause of the next send, one of the cause constants.
	cause string
	// status, outcome and reason describe how the request ended, for the log.
	status          int
	outcome, reason string
	// first is when the first byte of the answer was sent.
	first time.Time
	// events is the number of events passed on, pause the longest wait between two of them, resumed
	// the number of times that the stream was resumed on another chain.
	events  int
	pause   time.Duration
	resumed int

	// avoided holds the addresses that are not to be tried again soon.
	avoided expiring.Set[string]
	// fleetFactor is how many requests of the whole fleet are sent again, because their endpoint is
	// lost, for each one of this gateway: see usage.fleetFactor. It is 0 if only this request is
	// sent again.
	fleetFactor cell.Cell[float64]

	mu sync.Mutex // guards the fields below
	// used names the endpoints, for the log.
	used []string
	// searched is set once the request has searched for an endpoint. declined names, for the log,
	// endpoints that did not let it start there at its first search. next is the endpoint that may
	// accept it first among those that did not accept it at the last search; nil when none is known
	// to.
	searched bool
	declined []string
	next     *backend
}

// hasSearched reports whether the request has searched for an endpoint before.
func (q *query) hasSearched() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.searched
}

// nextAvailable returns the endpoint that may accept the request first among those that did not
// accept it at the last search, nil when none is known to.
func (q *query) nextAvailable() *backend {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.next
}

// availableFrom returns when the endpoint of nextAvailable may accept the request, as known at now;
// it returns now if there is no such endpoint or the time is unknown.
func (q *query) availableFrom(now time.Time) time.Time {
	next := q.nextAvailable()
	if next == nil {
		return now
	}
	if from, known := next.use.intake.Load().NextSend(now); known {
		return from
	}
	return now
}

// declinedBy returns the endpoints that did not accept the request, for the log.
func (q *query) declinedBy() []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.declined
}

// requestFactor returns the fleetFactor of the request, at least 1.
func (q *query) requestFactor() float64 {
	return max(q.fleetFactor.Load(), 1)
}

// avoidTime is how long a request avoids an endpoint that has failed it. One that waits longer may try the
// endpoint again.
const avoidTime = time.Second

// avoid marks an address as not to be tried again soon.
func (q *query) avoid(address string) { q.avoided.Add(address, time.Now()) }

// avoids reports whether an address is not to be tried at now.
func (q *query) avoids(address string, now time.Time) bool { return q.avoided.Has(address, now) }

// noteUsed adds to the endpoints that the log names.
func (q *query) noteUsed(used string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.used = append(q.used, used)
}

// running returns the endpoints that run the request, or may have run it, and have not certainly ended
// since; a route bounds their number. Silence does not prove an end, since this process may be too slow
// to receive the answers of a live endpoint.
func (q *query) running() []*backend {
	var list []*backend
	for _, b := range q.sends.Ran() {
		if !b.use.ended.Load() && !b.among(list) {
			list = append(list, b)
		}
	}
	return list
}

// runs returns the number of the endpoints of running.
func (q *query) runs() int { return len(q.running()) }

// firsts returns the endpoints at which the request may begin, nil for any.
func (q *query) firsts() []*backend {
	if list := q.running(); len(list) >= max(q.route.Attempts, 1) {
		return list
	}
	return nil
}

// callerLeft reports whether the caller is known to have closed the connection.
func (q *query) callerLeft() bool {
	return q.callerGone || errors.Is(q.r.Context().Err(), context.Canceled)
}

// gone checks whether the caller has closed the connection.
func (q *query) gone() bool {
	q.callerGone = q.callerGone || ingress.CallerDisconnected(q.r.Context())
	return q.callerGone
}

// timeLeft returns the time until the deadline of the request.
func (q *query) timeLeft(now time.Time) time.Duration {
	return q.deadline.Sub(now)
}

// setOutcome records how the request ended.
func (q *query) setOutcome(status int, outcome, reason string) {
	q.status, q.outcome, q.reason = status, outcome, reason
}
