package chaincost

import "slices"

// HallNoise holds the random cost factors of the data halls for one request. The zero HallNoise is ready
// for use. It is not safe for concurrent use.
type HallNoise struct {
	// halls and factors hold the halls that have been asked for, and their factors. Fleets have a few
	// halls, for which a map would be slower.
	halls   []string
	factors []float64
}

// Reset forgets all factors, and keeps the memory.
func (n *HallNoise) Reset() {
	n.halls, n.factors = n.halls[:0], n.factors[:0]
}

// Factor returns the cost factor of a hall. The first call for a hall takes it from random, which
// returns a random number in [0, 1).
func (n *HallNoise) Factor(hall string, random func() float64) float64 {
	if i := slices.Index(n.halls, hall); i >= 0 {
		return n.factors[i]
	}
	factor := 1 + maxHallNoise*random()
	n.halls, n.factors = append(n.halls, hall), append(n.factors, factor)
	return factor
}
