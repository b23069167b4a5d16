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

// Ask holds the contents of a caller's request headers.
type Ask struct {
	// ID identifies this attempt of the caller; the caller's retry has another ID. It is
	// empty if the caller sends none.
	ID string
	// Key is the API key, empty if the caller sends none.
	Key string
	// Patience is how long the caller waits for the answer, 0 if the headers do not state
	// it.
	Patience time.Duration
	// Prompt is the number of tokens in the prompt, MaxAnswer the maximum number in the
	// answer, and LikelyAnswer the number that the caller expects. Each is 0 if the
	// caller does not send it.
	Prompt, MaxAnswer, LikelyAnswer int
	// After is the ID of the last event that the caller has; empty for none.
	After string
}

// Send holds the contents of the headers that a gateway sends to an endpoint with a
// request.
type Send struct {
	// Team is the team to which the caller's key belongs, empty for public routes.
	Team string
	// Left is the time left until the deadline of the request.
	Left time.Duration
	// Endpoint is the ID of the endpoint that the request is meant for. No other may run
	// it.
	Endpoint string
	// Priority ranges from 0, the most urgent, to 9.
	Priority int
	// Chain lists the endpoints through which the request passes, with the layers that
	// each runs; empty for plain services.
	Chain chain.Chain
	// After is the ID of the last event that the caller has; empty for none.
	After string
}

// Reply holds the contents of the headers of an endpoint's answer.
type Reply struct {
	// ID is the ID of the answered request, empty if the answer has none.
	ID string
	// Signed is set if the answer carries the endpoint's seal, which shows that the
	// endpoint itself sent it.
	Signed bool
	// NotRun is set if the endpoint states that it has not run the request.
	NotRun bool
	// Blamed is the address of the endpoint of the chain that refused the request,
	// empty if the answer names none.
	Blamed string
	// Running and Waiting count the endpoint's requests, and Slots is the number that
	// it can run at a time. Slots is 0 if the answer does not report the load.
	Running, Waiting, Slots int
	// Word is the endpoint's report on the requests that it accepts: its rate limit, the
	// backoff period that it asks for, and whether it is leaving.
	Word throttle.Report
}

// Dialect reads and writes a platform's headers. Its methods are safe for concurrent use.
type Dialect interface {
	// Ask reads a caller's headers. It returns an error if a header cannot be read.
	Ask(h http.Header) (Ask, error)
	// Send changes h, a copy of a caller's headers, into the headers for an endpoint.
	Send(h http.Header, s Send)
	// Reply reads the status and the headers of an endpoint's answer.
	Reply(status int, h http.Header) Reply
}
