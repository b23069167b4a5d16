// Package event splits a stream of server-sent events and preserves its bytes.
package event

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math"
	"strconv"
)

// Event is a server-sent event with its original bytes.
type Event struct {
	// Raw holds all lines of the event and the empty line that ends it, preceded by the lines of
	// events without an ID and data, such as comments and empty lines. It is valid until the next
	// call of Next.
	Raw []byte
	// ID is the event's ID, empty if it has none.
	ID string
}

// OrderError reports an event whose ID does not come after that of the one before.
type OrderError struct{ ID, Last string }

// Error returns both IDs.
func (e *OrderError) Error() string {
	return fmt.Sprintf("event %q after %q", e.ID, e.Last)
}

// After returns nil if the event may come after one with the ID last, empty for none, and else an
// OrderError. IDs that are numbers rise; others differ.
func (e Event) After(last string) error {
	id, err := strconv.ParseUint(e.ID, 10, 64)
	former, lastErr := strconv.ParseUint(last, 10, 64)
	if e.ID == "" || err == nil && lastErr == nil && id > former || (err != nil || lastErr != nil) && e.ID != last {
		return nil
	}
	return &OrderError{e.ID, last}
}

// Limits of the readers that NewReader returns.
const (
	// MaxBytes is the maximum size of an event in bytes. An event holds a few tokens; hundreds of
	// streams may each hold one that never ends.
	MaxBytes = 64 << 10
	// bufferBytes is the size of the read buffer, enough for a few events.
	bufferBytes = 2048
	// eventsPerToken and extraEvents are the number of events that a stream may have for each token of
	// its answer and in all: an event holds at least a token, except for a few.
	eventsPerToken, extraEvents = 2, 64
)

// Reader reads events from a stream. Set the exported fields before the first call.
type Reader struct {
	// Source is the body of an answer. Only io.EOF marks its regular end.
	Source *bufio.Reader
	// Max is the maximum size of an event in bytes.
	Max int
	// MaxEvents is the maximum number of events, 0 for any.
	MaxEvents int

	raw    []byte
	events int
	// peeked is the result of Peek, nil once Next has returned it.
	peeked *result
}

// result is what a call of Next returns.
type result struct {
	event Event
	err   error
}

// Peek returns what the next call of Next returns.
func (r *Reader) Peek() (Event, error) {
	if r.peeked == nil {
		e, err := r.Next()
		r.peeked = &result{e, err}
	}
	return r.peeked.event, r.peeked.err
}

// NewReader returns a reader of events of up to MaxBytes from the body of an answer of up to the given
// number of tokens, 0 for any.
func NewReader(source io.Reader, tokens int) *Reader {
	r := &Reader{Source: bufio.NewReaderSize(source, bufferBytes), Max: MaxBytes}
	if tokens > 0 && tokens < math.MaxInt/eventsPerToken-extraEvents {
		r.MaxEvents = eventsPerToken*tokens + extraEvents
	}
	return r
}

// TruncatedError reports a stream that ended inside an event.
type TruncatedError struct {
	// Bytes is the number of bytes read of the event.
	Bytes int
	// Err is the error that ended the stream.
	Err error
}

// Error returns the number of bytes read and the cause.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("stream ended %d bytes into an event: %v", e.Bytes, e.Err)
}

// Unwrap returns the error that ended the stream.
func (e *TruncatedError) Unwrap() error {
	return e.Err
}

// TooLongError reports an event larger than the maximum size.
type TooLongError struct {
	Max int
}

// Error returns the maximum size.
func (e *TooLongError) Error() string {
	return fmt.Sprintf("event of more than %d bytes", e.Max)
}

// TooManyError reports a stream of more events than the maximum number.
type TooManyError struct {
	Max int
}

// Error returns the maximum number.
func (e *TooManyError) Error() string {
	return fmt.Sprintf("more than %d events", e.Max)
}

// Next returns the next event that has an ID or data. At the regular end of the stream it returns
// the events without them that remain, if any, and then io.EOF. Other errors are those of the source,
// a TruncatedError, a TooLongError or a TooManyError.
func (r *Reader) Next() (Event, error) {
	if p := r.peeked; p != nil {
		r.peeked = nil
		return p.event, p.err
	}
	r.raw = r.raw[:0]
	var id string
	ends, hasContent := 0, false // where the last event without content ends
	for {
		start := len(r.raw)
		if err := r.line(); err != nil {
			return r.end(ends, err)
		}
		line := bytes.TrimRight(r.raw[start:], "\r\n")
		if len(line) == 0 {
			if hasContent {
				return r.event(id)
			}
			ends = len(r.raw)
			continue
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimPrefix(value, []byte(" ")))
			hasContent = true
		}
		hasContent = hasContent || bytes.HasPrefix(line, []byte("data:"))
	}
}

// Ready reports whether the rest of an event has been read from the source already, so that Next does not
// wait for it.
func (r *Reader) Ready() bool {
	buffered, err := r.Source.Peek(r.Source.Buffered())
	return err == nil && (bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n")))
}

// event returns the event in raw, if there may be one more.
func (r *Reader) event(id string) (Event, error) {
	if r.events == r.MaxEvents && r.MaxEvents > 0 {
		return Event{}, &TooManyError{Max: r.MaxEvents}
	}
	r.events++
	return Event{Raw: r.raw, ID: id}, nil
}

// end returns what remains at the end of the stream, where events end at the offset ends of raw.
func (r *Reader) end(ends int, err error) (Event, error) {
	switch {
	case len(r.raw) == 0:
		return Event{}, err
	case err != io.EOF:
		return Event{}, &TruncatedError{Bytes: len(r.raw), Err: err}
	case len(r.raw) > ends:
		return Event{}, &TruncatedError{Bytes: len(r.raw), Err: io.ErrUnexpectedEOF}
	}
	return Event{Raw: r.raw}, nil
}

// line appends a line, including its line ending, to raw.
func (r *Reader) line() error {
	for {
		part, err := r.Source.ReadSlice('\n')
		r.raw = append(r.raw, part...)
		if len(r.raw) > r.Max {
			return &TooLongError{Max: r.Max}
		}
		switch err {
		case nil:
			return nil
		case bufio.ErrBufferFull:
			continue
		default:
			return err
		}
	}
}
