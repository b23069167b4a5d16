// Package exchange is the port to the HTTP dialect that callers and endpoints
// speak: what the headers of a request and of an answer mean.
package exchange

import (
	"net/http"
	"time"

	"github.com/grademill/grademill/decide/chain"
	"github.com/grademill/grademill/decide/throttle"
)

// Ask is what a caller says of its request, beside method, path and body.
type Ask struct {
	// ID belongs to this try of the caller alone; empty when there is none.
	ID string
	// Key is the API key; empty when there is none.
	Key string
	// Patience is how long the caller waits; 0 when it does not say.
	Patience time.Duration
	// Prompt is the number of tokens to be read, MaxAnswer the most that may be
	// written, LikelyAnswer the caller's guess; 0 when it does not say.
	Prompt, MaxAnswer, LikelyAnswer int
	// After is the ID of the last event that the caller has; empty for none.
	After string
}

// Send is what an endpoint is told with a request.
type Send struct {
	// Team holds the caller's key; empty for public routes.
	Team string
	// Left is how long the answer is still of use.
	Left time.Duration
	// Endpoint is the ID of the only endpoint that may take the request.
	Endpoint string
	// Priority is from 0, the most urgent, to 9.
	Priority int
	// Chain is the way through the layers; empty for plain services.
	Chain chain.Chain
	// After is the ID of the last event that the caller has; empty for none.
	After string
}

// Reply is what an endpoint says with its answer.
type Reply struct {
	// ID is that of the request that the answer is for; empty when it does not
	// say.
	ID string
	// Signed is set when the endpoint vouches for the answer.
	Signed bool
	// NotRun is set when the endpoint states that it has not run the request.
	NotRun bool
	// Blamed is the address of the endpoint of the chain that refused; empty
	// when it does not say.
	Blamed string
	// Running, Waiting and Slots are the load; Slots is 0 when it does not say.
	Running, Waiting, Slots int
	// Word is what it says of the requests that it takes.
	Word throttle.Word
}

// Dialect translates headers. Its methods are safe for concurrent use.
type Dialect interface {
	// Ask reads a caller's headers.
	Ask(h http.Header) (Ask, error)
	// Send turns a copy of a caller's headers into those for an endpoint.
	Send(h http.Header, s Send)
	// Reply reads the headers of an endpoint's answer.
	Reply(status int, h http.Header) Reply
}
