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

// traceInterval is the least time between two traces: a fault may hit every request.
const traceInterval = time.Second

// Guard runs computations that change nothing that outlives them. Set the exported fields before Run. It
// is safe for concurrent use.
type Guard struct {
	Log zerolog.Logger
	// Count counts a fault.
	Count func()

	// traces limits the traces.
	traces rate.Sometimes
	once   sync.Once
}

// Run calls f for a request, and reports whether it returned. If f panics, Run logs the request, with a
// trace at most once a second, and returns false. Whatever f was working on may be left half changed: f
// must hold no lock, and the caller must drop that.
func (g *Guard) Run(request string, f func()) (returned bool) {
	defer func() {
		value := recover()
		if value == nil {
			return
		}
		g.Count()
		line := g.Log.Error().Str("request", request).Str("fault", fmt.Sprint(value))
		g.once.Do(func() { g.traces.Interval = traceInterval })
		g.traces.Do(func() { line = line.Bytes("trace", debug.Stack()) })
		line.Msg("a computation for a request has failed")
	}()
	f()
	return true
}
