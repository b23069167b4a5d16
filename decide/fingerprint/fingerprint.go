// Package fingerprint identifies repeated requests by their content, since callers give each
// attempt a new ID.
package fingerprint

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint is a hash that is equal for equal requests of the same team. Two different requests
// share one by chance once in 2^64 pairs. The zero Fingerprint stands for no request.
type Fingerprint uint64

// Request holds the parts of a request that determine its fingerprint.
type Request struct {
	// Method, Host and Target, the path with its query, are as in the request.
	Method, Host, Target string
	// Team is the team whose key the request carries, empty if none.
	Team string
	Body []byte
}

// Of returns the fingerprint of r.
func Of(r Request) Fingerprint {
	d := xxhash.New()
	for _, field := range []string{r.Method, r.Host, r.Target, r.Team} {
		_, _ = d.WriteString(field) // never fails
		_, _ = d.Write([]byte{0})   // separates fields
	}
	_, _ = d.Write(r.Body)
	return Fingerprint(d.Sum64())
}

// String returns the fingerprint in hexadecimal, as in the logs.
func (f Fingerprint) String() string {
	return strconv.FormatUint(uint64(f), 16)
}
