// Package lines bounds what one gateway sends over the lines between halls.
package lines

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/grademill/grademill/decide/catalog"
)

// The figures of the lines between halls.
const (
	// lineShare is the part of a line that chains across halls may fill: a line
	// that is full holds up every chain across it.
	lineShare = 0.4
	// lineCrossings is how often a chain that leaves a hall crosses a line, on
	// average.
	lineCrossings = 1.5
	// lineBurst is how long the part may be saved up.
	lineBurst = 4 * time.Second
)

// Lines bounds what this gateway sends across halls. The zero Lines is ready to
// use.
type Lines struct {
	limiter rate.Limiter
}

// Allow takes the crossing of so many tokens out of this gateway's part of the
// lines, if there is enough left.
func (l *Lines) Allow(m *catalog.Model, tokens, gateways int) bool {
	if m.LinkRate <= 0 || m.Handed <= 0 {
		return true
	}
	perSecond := lineShare * m.LinkRate / m.Handed / lineCrossings / float64(gateways)
	if limit := rate.Limit(perSecond); limit != l.limiter.Limit() {
		l.limiter.SetLimit(limit)
		l.limiter.SetBurst(int(perSecond * lineBurst.Seconds()))
	}
	return l.limiter.AllowN(time.Now(), tokens)
}
