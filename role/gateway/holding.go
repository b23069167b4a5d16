package gateway

import (
	"time"

	"github.com/grademill/grademill/decide/layer"
)

// holding is what an endpoint said that it holds while its record said something else: it
// has started anew, or its record lags. It is immutable.
type holding struct {
	held, recorded layer.Range
	at             time.Time
}

// noteHeld notes at a time what the endpoint says that it holds.
func (b *backend) noteHeld(held layer.Range, at time.Time) {
	if held == b.Layers {
		b.use.holding.Store(nil)
		return
	}
	b.use.holding.Store(&holding{held: held, recorded: b.Layers, at: at})
}

// misheld returns what the endpoint said that it holds, and reports whether that differs
// from its record: until the record changes, or for as long as it may lag.
func (b *backend) misheld(now time.Time) (layer.Range, bool) {
	h := b.use.holding.Load()
	if h == nil || h.recorded != b.Layers || now.Sub(h.at) > recordLag {
		return layer.Range{}, false
	}
	return h.held, true
}
