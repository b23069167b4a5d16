package gateway

import (
	"cmp"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/grademill/grademill/adapter/requestbody"
	"github.com/grademill/grademill/decide/catalog"
	"github.com/grademill/grademill/decide/cause"
	"github.com/grademill/grademill/decide/shortage"
	"github.com/grademill/grademill/state/expiring"
)

// Defaults for incoming requests.
const (
	// defaultMaxBody bounds a body, in bytes, where the configuration does not.
	defaultMaxBody = 4 << 20
	// retryAfterOverload is the Retry-After delay of a refusal due to load, retryAfterStore that of
	// one where the gateway waits for the store.
	retryAfterOverload = 250 * time.Millisecond
	retryAfterStore    = 600 * time.Millisecond
	// maxPriority is the least urgent priority of a request; 0 is the most urgent one.
	maxPriority = 9
)

// Outcomes of requests, as the logs and metrics name them.
const (
	outcomeServed   = "served"
	outcomeNotRun   = "not run"
	outcomeFailed   = "failed"
	outcomeRejected = "rejected"
	outcomeLeft     = "caller left"
	outcomeBroken   = "broken off"
)

// ServeHTTP serves one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := &query{w: w, r: r, start: time.Now(), avoided: expiring.Set[string]{Lifetime: avoidTime}}
	if !g.running.Enter() {
		w.Header().Set("Connection", "close")
		g.refuse(q, 0, "the gateway ends")
		return
	}
	defer g.running.Leave()
	defer func() { q.failure.Load().close() }()
	if g.partition.Alone() {
		w.Header().Set("Connection", "close")
	}
	abort := false
	if g.admit(q) {
		if q.service != nil && q.service.Model != nil {
			abort = g.serveModel(q)
		} else {
			g.servePlain(q)
		}
	}
	q.guard.End(q.reached.Load())
	g.logEnd(q)
	if abort || q.outcome == outcomeLeft { // the answer must not look complete
		panic(http.ErrAbortHandler)
	}
}

// admit checks a request and reports whether it is to be served. When it returns false it has
// answered the request.
func (g *Gateway) admit(q *query) bool {
	ask, err := g.Dialect.RequestHeaders(q.r.Header)
	q.RequestHeaders = ask
	if err != nil || ask.ID == "" {
		g.reject(q, http.StatusBadRequest, "the request has no ID, or a header that cannot be read")
		return false
	}
	c := g.catalog.Load()
	if c == nil {
		g.refuse(q, retryAfterStore, "no configuration is known yet")
		return false
	}
	if !g.admitBy(q, c) || !g.readBody(q, c.Limits) {
		return false
	}
	if read := g.catalog.Load(); read != c { // it came into force while the body was read
		if c = read; !g.admitBy(q, c) {
			return false
		}
	}
	q.deadline = q.start.Add(q.route.TimeLimit(q.CallerTimeout))
	if !g.stop.Load().Takes(time.Now(), q.deadline) {
		g.refuse(q, 0, "the gateway may stop before the request ends")
		return false
	}
	q.service = c.Services[q.route.Service(xxhash.Sum64String(q.ID))]
	if q.service == nil {
		g.refuse(q, retryAfterStore, "the service of the route is not configured")
		return false
	}
	g.initGuard(q)
	if !g.loaded.Load() && q.service.Model == nil {
		// A plain service has few endpoints: those read so far would get the requests of a whole fleet.
		g.refuse(q, retryAfterStore, "the store has not been read yet")
		return false
	}
	g.retries.CountFirstAttempt(q.service.Name, g.Clock())
	if g.quarantined(q, q.start) {
		g.refuse(q, q.refused.RetryAfter, string(shortage.Quarantine))
		return false
	}
	return true
}

// admitBy finds the route of a request and the team of its caller in a configuration, and reports
// whether that allows the request. When it returns false it has answered the request.
func (g *Gateway) admitBy(q *query, c *catalog.Catalog) bool {
	q.version, q.proofAge, q.team = c.Version, g.proofAge(), ""
	route, ok := c.Route(q.r.Host, q.r.URL.Path)
	if !ok {
		g.rejectByCatalog(q, http.StatusNotFound, "there is no such route")
		return false
	}
	q.route, q.priority = route, min(route.Priority, maxPriority)
	return g.authorize(q, c)
}

// authorize finds the team of the caller's key. A revoked key must not work, so keys are accepted
// only while the configuration is known to be current.
func (g *Gateway) authorize(q *query, c *catalog.Catalog) bool {
	if q.route.Public || !c.Keys.Required() {
		return true
	}
	if !g.fresh(q) {
		g.refuse(q, g.retryAfterOutage(q.start), "the configuration is not known to be current")
		return false
	}
	team, ok := c.Keys.Holder(q.Key)
	if !ok {
		g.reject(q, http.StatusUnauthorized, "the key is not known")
		return false
	}
	q.team = team.Name
	if team.Priority != nil {
		q.priority = min(*team.Priority, maxPriority)
	}
	return true
}

// readBody reads the whole body, so that it can be sent again.
func (g *Gateway) readBody(q *query, limits catalog.Limits) bool {
	q.hasBody = requestbody.Present(q.r)
	body, err := requestbody.Read(q.w, q.r, cmp.Or(max(limits.BodyBytes, 0), defaultMaxBody))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		g.reject(q, http.StatusRequestEntityTooLarge, "the body is larger than the configuration allows")
		return false
	case errors.Is(err, requestbody.ErrNoMemory):
		g.refuse(q, retryAfterOverload, err.Error())
		return false
	case err != nil:
		g.reject(q, http.StatusBadRequest, "the body broke off or is malformed")
		return false
	}
	q.body = body
	return true
}

// rejectByCatalog rejects a request because of the configuration if that is known to be current;
// otherwise another gateway may have a newer one.
func (g *Gateway) rejectByCatalog(q *query, status int, reason string) {
	if !g.fresh(q) {
		g.refuse(q, g.retryAfterOutage(q.start), "the configuration is not known to be current")
		return
	}
	g.reject(q, status, reason)
}

// reject answers a request that can never be served as it is.
func (g *Gateway) reject(q *query, status int, reason string) {
	q.setOutcome(status, outcomeRejected, reason)
	g.answer(q, status, reason)
}

// refuse answers a request that has not run and will not run, with a Retry-After delay.
func (g *Gateway) refuse(q *query, retryAfter time.Duration, reason string) {
	q.setOutcome(http.StatusServiceUnavailable, outcomeNotRun, reason)
	q.retryAfter = retryAfter
	q.w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64))
	g.answer(q, http.StatusServiceUnavailable, reason)
}

// fail answers a request that was given up and may have run.
func (g *Gateway) fail(q *query, status int, reason string) {
	q.setOutcome(status, outcomeFailed, reason)
	g.answer(q, status, reason)
}

// giveUp ends a request that has no attempts left: it gets the failure answer of an endpoint if there
// is one, is refused when nothing can have run, and has failed otherwise.
func (g *Gateway) giveUp(q *query, reason string) {
	failure := q.failure.Load()
	switch {
	case q.callerLeft():
		q.setOutcome(0, outcomeLeft, reason)
	case failure != nil:
		g.deliver(q, failure)
		q.reason += "; " + reason
	case !q.mayHaveRun.Load() && (g.quarantined(q, time.Now()) || q.refused != nil):
		g.refuse(q, q.refused.RetryAfter, reason)
	case !q.mayHaveRun.Load():
		g.refuse(q, g.retryAfter(q, time.Now()), reason)
	case q.timeLeft(time.Now()) <= 0:
		g.fail(q, http.StatusGatewayTimeout, reason)
	default:
		g.fail(q, http.StatusBadGateway, reason)
	}
}

// retryAfter returns the Retry-After delay of a request that is refused at now for lack of room.
func (g *Gateway) retryAfter(q *query, now time.Time) time.Duration {
	wait := retryAfterOverload
	if q.service.Model != nil || q.nextAvailable() != nil { // callers that retried at the same time would be refused at the same time
		wait, q.admitted = g.queue.RetryAfter(q.waiting(), now)
		if q.service.Model != nil {
			g.overload.CountRefused(q.service.Name, now)
		}
	}
	return max(wait, q.availableFrom(now).Sub(now))
}

// answer writes an answer of the gateway itself.
func (g *Gateway) answer(q *query, status int, reason string) {
	h := q.w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(reason)+1))
	q.w.WriteHeader(status)
	_, _ = io.WriteString(q.w, reason+"\n") // the caller may have left
}

// logEnd logs and counts a request that has ended.
func (g *Gateway) logEnd(q *query) {
	now := time.Now()
	kind, route := "", ""
	if q.route != nil {
		kind, route = q.route.Kind.String(), q.route.Name
	}
	var first time.Duration
	if !q.first.IsZero() {
		first = q.first.Sub(q.start)
	}
	g.Meter.Request(kind, q.outcome, first, now.Sub(q.start))
	if q.events > 1 {
		g.Meter.Pause(q.pause)
	}
	line := g.Log.Info().Str("request", q.ID).Str("route", route).Str("team", q.team).Str("outcome", q.outcome).
		Int("status", q.status).Str("reason", q.reason).Strs("used", q.used).Int("sends", q.sends.Count()).Int("runs", len(q.sends.Ran())).
		Dur("first_ms", first).Dur("total_ms", now.Sub(q.start)).
		Uint64("version", q.version).Dur("proof_age_ms", q.proofAge)
	if causes := q.guard.Causes; causes != nil {
		line = line.Stringer("print", causes[0].Print).Strs("parts", cause.Strings(causes[1:]))
	}
	if q.refused != nil {
		line = line.Stringer("cause", q.refused.Cause)
	}
	if last, sentAt := q.sends.Last(); last != nil { // the record by which this gateway chose the endpoint
		line = line.Str("endpoint", last.ID).Uint64("record_revision", last.Revision).
			Dur("record_age_ms", sentAt.Sub(last.Since))
	}
	if q.route != nil && q.CallerTimeout > 0 { // for a caller that retries: the time that its earlier attempts took
		line = line.Dur("under_route_ms", max(q.route.Timeout-q.CallerTimeout, 0))
	}
	if q.service != nil && q.service.Model != nil {
		line = line.Dur("waited_ms", q.waited).Int("ahead", q.ahead).Bool("returned", q.returned).
			Float64("admit_share", q.decision.Share).Int("priority", q.priority).Str("service", q.service.Name)
	}
	if q.retryAfter > 0 {
		line = line.Dur("come_back_ms", q.retryAfter).Float64("admitted_per_s", q.admitted)
	}
	if declined := q.declinedBy(); len(declined) > 0 {
		line = line.Strs("held", declined)
	}
	if q.events > 0 {
		line = line.Int("events", q.events).Dur("pause_ms", q.pause).Int("carried", q.resumed)
	}
	if s := q.retryState.Load(); s != nil {
		line = line.EmbedObject(s)
	}
	if last := q.lastSearch; last != nil {
		line = line.Int("need", last.Need).Int("open", last.Open).Int("avoided", last.Avoided).Int("crowded", last.Crowded)
	}
	line.Msg("request ended")
}
