package upstream

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Call is a request to one endpoint.
type Call struct {
	// Address is the endpoint's host and port.
	Address string
	Method  string
	// Target is the path and query as they stand in the request line.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody is set for requests that came with a body, also an empty one.
	HasBody bool
	// Rest is how long a connection may have rested to be used again.
	Rest time.Duration
	// Mine reports whether an answer belongs to this request, by its headers.
	// Others are passed over: an endpoint may answer twice.
	Mine func(http.Header) bool
	// Wrote is called once the endpoint may have got the head of the request, when it is
	// set.
	Wrote func()
}

// SendError is a call that got no whole head of an answer.
type SendError struct {
	// Sent is set when a part of the request may have reached the endpoint.
	Sent bool
	Err  error
}

// Error returns the cause.
func (e *SendError) Error() string {
	if e.Sent {
		return "no answer: " + e.Err.Error()
	}
	return "not sent: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error {
	return e.Err
}

// StrayAnswerError is an answer that belongs to no request.
type StrayAnswerError struct {
	Status int
}

// Error returns the status.
func (e *StrayAnswerError) Error() string {
	return fmt.Sprintf("too many answers that belong to other requests, the last with status %d", e.Status)
}

// maxStray is the number of answers of other requests that are passed over.
const maxStray = 2

// inlineBody is the size up to which a body is written at once with the head.
const inlineBody = 16 << 10

// Do sends a call and returns once the head of its answer is there. When ctx
// ends the connection is closed. Errors are *SendError.
func (p *Pool) Do(ctx context.Context, c Call) (*Answer, error) {
	link, err := p.take(ctx, c.Address, c.Rest)
	if err != nil {
		return nil, &SendError{Err: err}
	}
	a := &Answer{pool: p, conn: link, address: c.Address}
	a.stop = context.AfterFunc(ctx, func() { _ = link.Close() })
	if c.Wrote != nil {
		c.Wrote()
	}
	if err := a.write(c); err != nil {
		a.Close()
		return nil, &SendError{Sent: true, Err: cause(ctx, err)}
	}
	if err := a.readHead(c); err != nil {
		a.Close()
		return nil, &SendError{Sent: true, Err: cause(ctx, err)}
	}
	return a, nil
}

// cause returns why ctx ended, or err while it has not.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// Answer is an answer whose body is still to be read.
type Answer struct {
	Status int
	Header http.Header
	// Unframed is set when only the end of the connection ends the body.
	Unframed bool

	pool    *Pool
	conn    *conn
	address string
	stop    func() bool
	body    io.ReadCloser
	// written is closed once the whole request has been written.
	written chan struct{}
	// keep is how long the connection may rest, 0 when it may not be used again.
	keep time.Duration
	// ended is set once the body has been read to its proper end.
	ended bool
}

// write sends the head and the body. A long body is written beside the reading
// of the answer, which may come before the body is through.
func (a *Answer) write(c Call) error {
	var b bytes.Buffer
	b.Grow(1024 + min(len(c.Body), inlineBody))
	b.WriteString(c.Method + " " + c.Target + " HTTP/1.1\r\nHost: " + c.Host + "\r\n")
	if err := c.Header.Write(&b); err != nil {
		return err
	}
	if c.HasBody {
		b.WriteString("Content-Length: " + strconv.Itoa(len(c.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	a.written = make(chan struct{})
	if len(c.Body) <= inlineBody {
		b.Write(c.Body)
		close(a.written)
		_, err := a.conn.Write(b.Bytes())
		return err
	}
	if _, err := a.conn.Write(b.Bytes()); err != nil {
		return err
	}
	go a.writeBody(c.Body)
	return nil
}

// writeBody writes a long body. An error shows at the answer.
func (a *Answer) writeBody(body []byte) {
	if _, err := a.conn.Write(body); err == nil {
		close(a.written)
	}
}

// readHead reads the head of the answer to c.
func (a *Answer) readHead(c Call) error {
	request := &http.Request{Method: c.Method}
	for stray := 0; ; {
		response, err := http.ReadResponse(a.conn.reader, request)
		if err != nil {
			return err
		}
		switch {
		case response.StatusCode < http.StatusOK: // an interim answer
			continue
		case c.Mine == nil || c.Mine(response.Header):
			a.accept(response, stray > 0)
			return nil
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxBody)); err != nil {
			return err
		}
		if stray++; stray > maxStray || response.Close {
			return &StrayAnswerError{Status: response.StatusCode}
		}
	}
}

// accept takes in the head of the answer.
func (a *Answer) accept(r *http.Response, odd bool) {
	a.Status, a.Header, a.body = r.StatusCode, r.Header, r.Body
	a.Unframed = r.ContentLength < 0 && len(r.TransferEncoding) == 0
	if !odd && !r.Close && !a.Unframed {
		a.keep = rest(r.Header)
	}
	r.Header.Del("Connection")
	r.Header.Del("Keep-Alive")
}

// rest returns how long a connection may rest after an answer.
func rest(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); strings.EqualFold(name, "timeout") && err == nil {
			return time.Duration(seconds)*time.Second - keepAliveMargin
		}
	}
	return defaultIdle
}

// maxBody bounds a body that is read as a whole.
const maxBody = 16 << 20

// Read reads the body. io.EOF is returned only at its proper end: an answer that
// breaks off ends with another error.
func (a *Answer) Read(b []byte) (int, error) {
	n, err := a.body.Read(b)
	if err == io.EOF {
		a.ended = true
	}
	return n, err
}

// ReadAll reads the whole body.
func (a *Answer) ReadAll() ([]byte, error) {
	return io.ReadAll(io.LimitReader(a, maxBody))
}

// Close ends the call: the connection is kept when the answer was read to its
// end and nothing about it was odd, and closed otherwise, which tells the
// endpoint to stop its work. It may be called again.
func (a *Answer) Close() {
	if a.stop == nil {
		return
	}
	clean := a.stop()
	a.stop = nil
	if !clean || !a.ended || a.keep <= 0 || !a.wrote() || a.conn.reader.Buffered() > 0 {
		_ = a.conn.Close()
		return
	}
	_ = a.conn.SetReadDeadline(time.Time{})
	a.pool.put(a.address, a.conn, a.keep)
}

// wrote reports whether the whole request has been written.
func (a *Answer) wrote() bool {
	select {
	case <-a.written:
		return true
	default:
		return false
	}
}
