// Package linklimit bounds the traffic of one gateway over the network links between halls.
package linklimit

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/grademill/grademill/decide/catalog"
)

// Bounds of the traffic over links between halls.
const (
	// linkShare is the fraction of a link that chains across halls may use: a full link delays
	// every chain that crosses it.
	linkShare = 0.4
	// crossingsPerChain is how often a chain that leaves a hall crosses a link, on average.
	crossingsPerChain = 1.5
	// burstTime is the time for which unused capacity accumulates at most.
	burstTime = 4 * time.Second
)

// LinkLimiter bounds the traffic of this gateway across halls. The zero LinkLimiter is ready to
// use.
type LinkLimiter struct {
	limiter rate.Limiter
}

// Allow takes the capacity for sending the given number of tokens across halls from this gateway's
// share of the links, and reports whether enough was left. It always reports true for a model
// without a link rate or an amount of data per token.
func (l *LinkLimiter) Allow(m *catalog.Model, tokens, gateways int) bool {
	if m.LinkRate <= 0 || m.TransferPerToken <= 0 {
		return true
	}
	perSecond := linkShare * m.LinkRate / m.TransferPerToken / crossingsPerChain / float64(gateways)
	if limit := rate.Limit(perSecond); limit != l.limiter.Limit() {
		l.limiter.SetLimit(limit)
		l.limiter.SetBurst(int(perSecond * burstTime.Seconds()))
	}
	return l.limiter.AllowN(time.Now(), tokens)
}
