package throttle

import "time"

// Word is what an endpoint says, with one answer, of the requests that it takes.
type Word struct {
	// Limit is the number of requests a second that it takes from all gateways together, 0
	// when it names none.
	Limit float64
	// Rest is for how long it wants nothing from the gateway that it has turned away, 0 when
	// it asks for no rest.
	Rest time.Duration
	// Leaving is set when it is about to end.
	Leaving bool
	// Unclear is the header that could not be read, shortened, empty when all could. What it
	// would have said counts neither as said nor as not said.
	Unclear string
	// Sent is when the request went out that is answered, Heard when the answer came.
	Sent, Heard time.Time
}
