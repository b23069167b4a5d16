// Package thinning admits a share of the requests of each key in even steps.
package thinning

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

// maxKeys bounds the memory. A service has at most 20 classes with 8 named teams each, of which few are
// admitted in part at the same time.
const maxKeys = 256

// Thinner admits shares of requests by error diffusion: at a share of a quarter exactly each fourth
// request of a key is admitted, where a random choice would admit runs of several. The zero Thinner
// is ready to use. It is not safe for concurrent use.
type Thinner struct {
	// Seed differs between gateways, so that gateways with few requests of a key do not all admit or
	// all refuse the first one.
	Seed uint64

	// carried holds the part of a request, at least 0 and below 1, that each key has accumulated.
	carried map[string]float64
	// resets counts how often carried was cleared. It enters the starting phases: with the same
	// phase after each reset, the first request of a key would be refused each time.
	resets uint64
}

// Keep reports whether to admit the next request of the key, of whose requests a share from 0 to 1 is
// to be admitted.
func (t *Thinner) Keep(key string, share float64) bool {
	switch {
	case share >= 1:
		return true
	case !(share > 0): // also NaN
		return false
	}
	sum, known := t.carried[key]
	if !known {
		if t.carried == nil {
			t.carried = make(map[string]float64)
		}
		if len(t.carried) >= maxKeys {
			clear(t.carried)
			t.resets++
		}
		sum = t.phase(key)
	}
	sum += share
	keep := sum >= 1
	if keep {
		sum--
	}
	t.carried[key] = sum
	return keep
}

// phase returns the part of a request with which a key starts, at least 0 and below 1.
func (t *Thinner) phase(key string) float64 {
	var d xxhash.Digest
	d.ResetWithSeed(t.Seed)
	_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, t.resets))
	_, _ = d.WriteString(key)
	return float64(d.Sum64()>>11) * math.Exp2(-53)
}
