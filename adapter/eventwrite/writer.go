// Package eventwrite writes the events of a stream to its caller.
package eventwrite

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/grademill/grademill/adapter/upstream"
	"github.com/grademill/grademill/decide/event"
)

// maxWait bounds the write of one event to a caller that does not read.
const maxWait = 10 * time.Second

// Writer writes one stream. Set Response before the first use. One goroutine at a time may use it, but
// for Begun.
type Writer struct {
	Response http.ResponseWriter
	// First is when the first event was written, zero before that, and Last when the latest one was.
	First, Last time.Time
	// Events is the number of events written, and Pause the longest time between two of them.
	Events int
	Pause  time.Duration

	begun atomic.Bool
}

// Begun reports whether the head has been written.
func (w *Writer) Begun() bool { return w.begun.Load() }

// Write writes an event, preceded by the head of the answer if it is the first. With flush, the caller
// gets it at once. It fails if the caller has not accepted it for ten seconds.
func (w *Writer) Write(a *upstream.Answer, e event.Event, flush bool) error {
	now, control := time.Now(), http.NewResponseController(w.Response)
	if w.begun.Load() {
		w.Pause = max(w.Pause, now.Sub(w.Last))
	} else {
		w.First = now
	}
	w.begin(a)
	if err := control.SetWriteDeadline(now.Add(maxWait)); err != nil {
		return err
	}
	if _, err := w.Response.Write(e.Raw); err != nil {
		return err
	}
	w.Last = now
	w.Events++
	if !flush {
		return nil
	}
	return control.Flush()
}

// Flush has the caller get the events that have been written.
func (w *Writer) Flush() {
	if w.begun.Load() {
		_ = http.NewResponseController(w.Response).Flush() // a later write fails, too
	}
}

// End ends a stream that is whole.
func (w *Writer) End(a *upstream.Answer) {
	w.begin(a)
	_ = http.NewResponseController(w.Response).SetWriteDeadline(time.Time{}) // the next response sets its own
}

// begin writes the head of the answer unless one has been written.
func (w *Writer) begin(a *upstream.Answer) {
	if w.begun.Swap(true) {
		return
	}
	upstream.CopyHeader(w.Response.Header(), a.Header)
	w.Response.WriteHeader(a.Status)
}
