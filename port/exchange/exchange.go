// Package exchange defines the interface to the HTTP headers of a platform. A Dialect
// converts between the types of this package and the headers that a gateway exchanges
// with callers and endpoints.
package exchange

import (
	"net/http"
	"time"

	"github.com/grademill/grademill/decide/chain"
	"github.com/grademill/grademill/decide/throttle"
)

// RequestHeaders holds the contents of a caller's request headers.
type RequestHeaders struct {
	// ID identifies this attempt of the caller; the caller's retry has another ID. It is
	// empty if the caller sends none.
	ID string
	// Key is the API key, empty if the caller sends none.
	Key string
	// CallerTimeout is how long the caller waits for the answer, 0 if the headers do not
	// state it.
	CallerTimeout time.Duration
	// Prompt is the number of tokens in the prompt, MaxAnswer the maximum number in the
	// answer, and ExpectedAnswer the number that the caller expects. Each is 0 if the
	// caller does not send it.
	Prompt, MaxAnswer, ExpectedAnswer int
	// LastEvent is the ID of the last event that the caller has; empty for none.
	LastEvent string
	// SharedParts lists the IDs of the parts of the prompt that it may share with the prompts of
	// other requests, in their order; nil if the caller does not send them.
	SharedParts []string
}

// EndpointHeaders holds the contents of the headers that a gateway sends to an endpoint
// with a request.
type EndpointHeaders struct {
	// Team is the team to which the caller's key belongs, empty for public routes.
	Team string
	// TimeLeft is the time left until the deadline of the request.
	TimeLeft time.Duration
	// Endpoint is the ID of the endpoint that the request is meant for. No other may run
	// it.
	Endpoint string
	// Priority ranges from 0, the most urgent, to 9.
	Priority int
	// Chain lists the endpoints through which the request passes, with the layers that
	// each runs; empty for plain services.
	Chain chain.Chain
	// LastEvent is the ID of the last event that the caller has; empty for none.
	LastEvent string
}

// ReplyHeaders holds the contents of the headers of an endpoint's answer.
type ReplyHeaders struct {
	// ID is the ID of the answered request, empty if the answer has none.
	ID string
	// Signed is set if the answer carries the endpoint's seal, which shows that the
	// endpoint itself sent it.
	Signed bool
	// NotRun is set if the endpoint states that it has not run the request.
	NotRun bool
	// RefusedBy is the address of the endpoint of the chain that refused the request,
	// empty if the answer names none.
	RefusedBy string
	// Running and Waiting count the endpoint's requests, and Slots is the number that
	// it can run at a time. Slots is 0 if the answer does not report the load.
	Running, Waiting, Slots int
	// Report is the endpoint's report on the requests that it accepts: its rate limit,
	// the backoff period that it asks for, and whether it is leaving.
	Report throttle.Report
}

// Dialect reads and writes a platform's headers. Its methods are safe for concurrent use.
type Dialect interface {
	// RequestHeaders reads a caller's headers. It returns an error if a header cannot be
	// read.
	RequestHeaders(h http.Header) (RequestHeaders, error)
	// EndpointHeaders changes h, a copy of a caller's headers, into the headers for an
	// endpoint.
	EndpointHeaders(h http.Header, s EndpointHeaders)
	// ReplyHeaders reads the status and the headers of an endpoint's answer.
	ReplyHeaders(status int, h http.Header) ReplyHeaders
}
