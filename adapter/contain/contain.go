// Package contain keeps a fault in the computation for one request from ending the process.
package contain

import (
	"fmt"
	"runtime/debug"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
)

// traceInterval is the least time between two lines with a trace: a fault may hit every request.
const traceInterval = time.Second

// Guard runs computations that change nothing that outlives them. Set the exported fields before Run. It
// is safe for concurrent use.
type Guard struct {
	Log zerolog.Logger
	// Count counts a fault.
	Count func()

	// lines limits the lines with a trace.
	lines rate.Sometimes
	once  sync.Once
}

// Run calls f for a request, and reports whether it returned. If f panics, Run logs the request and the
// trace, at most one a second, and returns false. Whatever f was working on may be left half changed: f
// must hold no lock, and the caller must drop that.
func (g *Guard) Run(request string, f func()) (returned bool) {
	defer func() {
		if value := recover(); value != nil {
			g.Count()
			g.once.Do(func() { g.lines.Interval = traceInterval })
			g.lines.Do(func() {
				g.Log.Error().Str("request", request).Str("fault", fmt.Sprint(value)).Bytes("trace", debug.Stack()).
					Msg("a computation for a request has failed")
			})
		}
	}()
	f()
	return true
}
