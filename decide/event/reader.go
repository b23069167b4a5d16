// Package event splits a stream of server-sent events without changing a byte.
package event

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
)

// Event is one event with the bytes that it came in.
type Event struct {
	// Raw holds all lines of the event and the empty line after it. It is valid
	// until the next call of Next.
	Raw []byte
	// ID is the event's ID; empty when it has none.
	ID string
}

// Reader reads events. Set the exported fields before the first call.
type Reader struct {
	// Source is the body of an answer. Its end counts as proper only when it
	// returns io.EOF.
	Source *bufio.Reader
	// Max bounds the size of an event.
	Max int

	raw []byte
}

// TruncatedError is a stream that ended inside an event.
type TruncatedError struct {
	// Bytes is the size of the part that came.
	Bytes int
	// Err is how the stream ended.
	Err error
}

// Error returns the size and the cause.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("stream ended %d bytes into an event: %v", e.Bytes, e.Err)
}

// Unwrap returns how the stream ended.
func (e *TruncatedError) Unwrap() error {
	return e.Err
}

// TooLongError is an event above the bound.
type TooLongError struct {
	Max int
}

// Error returns the bound.
func (e *TooLongError) Error() string {
	return fmt.Sprintf("event of more than %d bytes", e.Max)
}

// Next returns the next event, or io.EOF at the proper end of the stream. Other
// errors are those of the source, a TruncatedError or a TooLongError.
func (r *Reader) Next() (Event, error) {
	r.raw = r.raw[:0]
	var id string
	for {
		start := len(r.raw)
		if err := r.line(); err != nil {
			if len(r.raw) > 0 {
				return Event{}, &TruncatedError{Bytes: len(r.raw), Err: err}
			}
			return Event{}, err
		}
		line := bytes.TrimRight(r.raw[start:], "\r\n")
		if len(line) == 0 {
			return Event{Raw: r.raw, ID: id}, nil
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimPrefix(value, []byte(" ")))
		}
	}
}

// line appends one line with its end.
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
		}
		if err == io.EOF && len(r.raw) > 0 {
			return io.ErrUnexpectedEOF
		}
		return err
	}
}
