// Package rendezvous ranks nodes for a key by highest random weight, so that all processes with
// the same list of nodes choose the same ones, and a change of the list moves as few keys as
// possible.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Top returns the n nodes of highest weight for key in descending order, or all nodes when
// there are fewer than n.
func Top(key string, nodes []string, n int) []string {
	type scored struct {
		node  string
		score uint64
	}
	ranked := make([]scored, len(nodes))
	for i, node := range nodes {
		ranked[i] = scored{node, score(key, node)}
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.node, b.node))
	})
	n = min(n, len(ranked))
	top := make([]string, n)
	for i := range top {
		top[i] = ranked[i].node
	}
	return top
}

// Rank returns the number of nodes that come before node in the ranking for key.
func Rank(key, node string, nodes []string) int {
	own := score(key, node)
	n := 0
	for _, other := range nodes {
		if s := score(key, other); s > own || s == own && other < node {
			n++
		}
	}
	return n
}

// score hashes key and node. The zero byte separates ("a","bc") from ("ab","c").
func score(key, node string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(node)
	return d.Sum64()
}
