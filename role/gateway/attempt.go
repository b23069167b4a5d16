package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/grademill/grademill/adapter/readlimit"
	"github.com/grademill/grademill/adapter/upstream"
	"github.com/grademill/grademill/adapter/withdrawal"
	"github.com/grademill/grademill/decide/chain"
	"github.com/grademill/grademill/decide/event"
	"github.com/grademill/grademill/decide/health"
	"github.com/grademill/grademill/decide/shortage"
	"github.com/grademill/grademill/port/exchange"
	"github.com/grademill/grademill/state/retrybudgets"
)

// verdict says what an answer, or its absence, means for a request.
type verdict uint8

const (
	// verdictAnswer is an answer that the endpoint has signed.
	verdictAnswer verdict = iota
	// verdictNotRun means that the endpoint has not run the request.
	verdictNotRun
	// verdictLost means that the endpoint did not answer properly; it may have run the request.
	verdictLost
	// verdictEnded means that the caller has left or the deadline has passed.
	verdictEnded
)

// sendResult is the result of one send of a request.
type sendResult struct {
	answer *upstream.Answer
	reply  exchange.ReplyHeaders
	verdict
	// err is the reason why there is no proper answer.
	err error
	// sentAt is when the request was sent.
	sentAt time.Time
	// body is the whole body of the answer once it has been read.
	body []byte
}

// close closes the answer. On nil, and without an answer, it does nothing.
func (t *sendResult) close() {
	if t != nil && t.answer != nil {
		t.answer.Close()
	}
}

// maxConnIdle is how long a connection may have been idle to carry a request,
// maxConnIdleNonRepeatable if the request must not be sent twice: an endpoint may close an idle
// connection at any time, and a request sent while it does may have run.
const (
	maxConnIdle              = 10 * time.Second
	maxConnIdleNonRepeatable = 200 * time.Millisecond
)

// send sends a request to a backend and waits for the head of the answer. c is the chain, nil for a
// plain service; after is the ID of the last event that the caller of the request has, and retry the
// retry taken for the send, nil for none. It sets reached once the backend may have received the request.
// The caller of send closes the answer of the result, if any.
func (g *Gateway) send(
	ctx context.Context, q *query, b *backend, c chain.Chain, after string, retry *retrybudgets.Charge, reached *atomic.Bool,
) sendResult {
	defer retry.Sent(g.Clock)
	sentAt := time.Now()
	q.sends.Add(b, sentAt)
	header := q.r.Header.Clone()
	g.Dialect.EndpointHeaders(header, exchange.EndpointHeaders{
		Team: q.team, TimeLeft: q.timeLeft(time.Now()), Endpoint: b.ID, Priority: q.priority, Chain: c, LastEvent: after,
	})
	call := upstream.Call{
		Address: b.Address, Method: q.r.Method, Target: q.r.RequestURI, Host: q.r.Host, Header: header,
		Body: q.body, HasBody: q.hasBody, MaxIdle: maxConnIdle, BeforeWrite: func() { q.reached.Store(true); reached.Store(true) },
		Matches: func(h http.Header) bool {
			id := g.Dialect.ReplyHeaders(0, h).ID
			return id == q.ID || id == "" // a refusal need not carry the request ID
		},
		OnExceeded: func(err *readlimit.ExceededError) { g.noteExceeded(q, b, err) },
		OnBroken:   func(err error) { g.noteBroken(q, b, err) },
	}
	if !q.route.Repeats() {
		call.MaxIdle = maxConnIdleNonRepeatable
	}
	answer, err := g.pool.Do(ctx, call)
	if err != nil {
		return g.sendFailed(ctx, q, b, sendResult{verdict: verdictLost, err: err, sentAt: sentAt}, retry)
	}
	q.everReached.Store(true)
	b.use.answeredAt.Store(time.Now().UnixNano())
	t := sendResult{answer: answer, reply: g.Dialect.ReplyHeaders(answer.Status, answer.Header), sentAt: sentAt}
	g.noteLoad(b, t.reply)
	t.reply.Report.Sent, t.reply.Report.Received = sentAt, time.Now()
	if isOwnReport(t) {
		g.throttling.ApplyAnnouncement(b.ID, &b.use.intake, t.reply.Report)
	}
	switch {
	case t.reply.NotRun:
		t.verdict = verdictNotRun
		q.sends.NotRun(b)
		answer.Discard() // so that the connection can be reused
	case t.reply.Signed && t.reply.ID == q.ID:
		q.mayHaveRun.Store(true)
		b.use.health.Update(health.Record.WithAnswer)
		if b.Card == "" {
			b.use.ended.Store(false) // it has started again
		}
	default:
		q.mayHaveRun.Store(true)
		t.verdict, t.err = verdictLost, errUnsigned
		b.use.health.Update(health.Record.WithFailure)
	}
	return t
}

// isOwnReport reports whether an answer certainly comes from the endpoint itself. A misdirected
// request has reached another endpoint at its address, whose limits do not apply.
func isOwnReport(t sendResult) bool {
	return t.reply.Signed || t.reply.NotRun && t.answer.Status != http.StatusMisdirectedRequest
}

// errUnsigned is the error of an answer without the endpoint's signature.
var errUnsigned = errors.New("the endpoint does not vouch for its answer")

// sendFailed judges a send that got no head of an answer.
func (g *Gateway) sendFailed(ctx context.Context, q *query, b *backend, t sendResult, retry *retrybudgets.Charge) sendResult {
	var failed *upstream.SendError
	sent := !errors.As(t.err, &failed) || failed.Sent
	if sent {
		q.mayHaveRun.Store(true)
		q.everReached.Store(true)
		retry.Lost(g.Clock)
	} else {
		t.verdict = verdictNotRun
		q.sends.NotRun(b)
		retry.Return()
	}
	if q.r.Context().Err() != nil || !time.Now().Before(q.deadline) {
		t.verdict = verdictEnded
		return t
	}
	switch {
	case withdrawal.Withdrawn(ctx):
		return t
	case !sent || b.Card == "" && ctx.Err() == nil:
		b.use.health.Update(func(r health.Record) health.Record { return r.WithLoss(time.Now()) })
	case ctx.Err() == nil:
		b.use.health.Update(func(r health.Record) health.Record { return r.WithDrop(time.Now()) })
	default:
		b.use.health.Update(health.Record.WithFailure)
	}
	if !sent {
		g.checkAsync(b)
	}
	return t
}

// noteExceeded records that an endpoint sent more than a bound allows, if err says so.
func (g *Gateway) noteExceeded(q *query, b *backend, err error) {
	var answer *readlimit.ExceededError
	var long *event.TooLongError
	var many *event.TooManyError
	if errors.As(err, &answer) || errors.As(err, &long) || errors.As(err, &many) {
		g.Meter.Exceeded()
		g.Log.Warn().Str("request", q.ID).Str("endpoint", b.ID).Str("address", b.Address).Err(err).Msg("answer exceeds a bound")
	}
}

// noteBroken records that an endpoint sent an answer that is broken.
func (g *Gateway) noteBroken(q *query, b *backend, err error) {
	g.Meter.Broken()
	g.Log.Warn().Str("request", q.ID).Str("endpoint", b.ID).Str("address", b.Address).Err(err).Msg("answer is broken")
}

// noteLoad records the load that an endpoint reports with its answer.
func (g *Gateway) noteLoad(b *backend, r exchange.ReplyHeaders) {
	if r.Slots > 0 {
		b.use.waiting.Store(int64(r.Waiting))
		b.use.loadReportedAt.Store(time.Now().UnixNano())
	}
}

// Causes of sending a request again.
const (
	causeNotRun    = "not run"
	causeLost      = "lost"
	causeFailed    = "failed"
	causeBroken    = "broken off"
	causeAbandoned = "left"
)

// takeRetry takes a retry from the budget and counts it. It returns nil and the reason if there was
// none.
func (g *Gateway) takeRetry(q *query, cause string) (*retrybudgets.Charge, shortage.Shortage) {
	charge, short := g.chargeRetry(q)
	if charge != nil {
		g.Meter.Retry(cause)
	}
	return charge, short
}

// chargeRetry takes a retry from the budget. It returns nil and the reason if there was none.
func (g *Gateway) chargeRetry(q *query) (*retrybudgets.Charge, shortage.Shortage) {
	charge, state := g.retries.Take(q.service.Name, g.Clock())
	if charge != nil {
		return charge, shortage.None
	}
	if q.retryState.Swap(&state) == nil {
		g.Meter.RetryRefused(string(state.Limit))
	}
	return nil, shortage.Shortage(state.Limit)
}
