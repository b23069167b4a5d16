package ingress

import "net/http"

// Reasons of Unanswered.
const (
	// CloseSlowHead and CloseSlowBody mean that the caller took too long to send the head, or the rest
	// of a body that the handler did not read. In the second case the response has been written.
	CloseSlowHead = "slow head"
	CloseSlowBody = "slow body"
	// CloseAborted means that the handler aborted the response to a caller that is still there.
	CloseAborted = "aborted"
	// CloseCallerLeft means that the handler aborted the response to a caller that has ended its sending side.
	CloseCallerLeft = "caller left"
	// CloseWriteFailed means that the response could not be written, mostly because the caller has left.
	CloseWriteFailed = "write failed"
	// CloseGaveWay means that the caller stood still with a part of a head while others needed the memory.
	CloseGaveWay = "gave way"
	// CloseNoRoom means that a new connection was not read, since the memory or the descriptors were used up.
	CloseNoRoom = "no room"
	// CloseStopTimeout means that the process ended while the request was not yet read, running, or being answered.
	CloseStopTimeout = "stop time-out"
)

// Unanswered describes a request, or a part of one, whose connection was closed without a whole
// response, or without the whole request.
type Unanswered struct {
	// Request is nil if its head was not read whole.
	Request *http.Request
	// Reason is one of the reasons above.
	Reason string
	// Sent is the number of bytes of the response that were written.
	Sent int64
	// Err is the error in writing the response, or in reading the rest of the body, nil for none.
	Err error
}
