// Package fingerprint tells a request that comes again from a new one, by what it asks:
// callers give each of their tries another ID.
package fingerprint

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint is the same for two requests that ask the same for the same team. Two
// different ones share it by chance once in 2^64 pairs. The zero Fingerprint is that of
// no request.
type Fingerprint uint64

// Request is what a fingerprint is taken of.
type Request struct {
	// Method, Host and Target, the path with its query, are as in the request line.
	Method, Host, Target string
	// Team is whose key the request came with, empty for none.
	Team string
	Body []byte
}

// Of returns the fingerprint of a request.
func Of(r Request) Fingerprint {
	d := xxhash.New()
	for _, field := range []string{r.Method, r.Host, r.Target, r.Team} {
		_, _ = d.WriteString(field) // it never fails
		_, _ = d.Write([]byte{0})   // so that fields that meet elsewhere differ
	}
	_, _ = d.Write(r.Body)
	return Fingerprint(d.Sum64())
}

// String returns the fingerprint as the logs write it.
func (f Fingerprint) String() string {
	return strconv.FormatUint(uint64(f), 16)
}
