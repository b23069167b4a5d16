package suspicion

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Incarnation is one incarnation of an endpoint, which may start again under the same ID.
type Incarnation struct {
	Endpoint string
	// Born is the start time that the endpoint reports, 0 if it reports none.
	Born int64
}

// String returns the incarnation as written in the logs.
func (l Incarnation) String() string {
	if l.Born == 0 {
		return l.Endpoint
	}
	return l.Endpoint + " born " + strconv.FormatInt(l.Born, 10)
}

// Life returns the hash by which gateways tell the incarnation from others.
func (l Incarnation) Life() Life {
	return Life(xxhash.Sum64String(l.String()))
}

// Life is the hash of an incarnation. Of 1,000 incarnations two have the same once in 9,000 fleets.
type Life uint32

// String returns the hash in hexadecimal, as written in the logs.
func (l Life) String() string {
	return strconv.FormatUint(uint64(l), 16)
}
