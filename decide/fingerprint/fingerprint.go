// Package fingerprint identifies repeated requests by their content, since callers give each
// attempt a new ID, and the parts that prompts of different requests share.
package fingerprint

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint is a hash that is equal for equal requests of the same team, or for the same part of prompts
// for the same service. Two different requests or parts share one by chance once in 2^64 pairs. The zero
// Fingerprint stands for none.
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

// OfPart returns the fingerprint of the part with an ID of the prompts for a service, whichever team they are of.
func OfPart(service, part string) Fingerprint {
	d := xxhash.New()
	for _, field := range []string{"part of a prompt", service, part} {
		_, _ = d.WriteString(field) // never fails
		_, _ = d.Write([]byte{0})   // separates fields
	}
	return Fingerprint(d.Sum64())
}

// String returns the fingerprint in hexadecimal, as in the logs.
func (f Fingerprint) String() string {
	return strconv.FormatUint(uint64(f), 16)
}
