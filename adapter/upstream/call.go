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

	"github.com/grademill/grademill/adapter/readlimit"
	"github.com/grademill/grademill/decide/responsehead"
)

// Call is a request to one endpoint.
type Call struct {
	// Address is the endpoint's host and port.
	Address string
	Method  string
	// Target is the request target (path and query) exactly as written in the request line.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody is set if the original request had a body, even an empty one.
	HasBody bool
	// MaxIdle is the maximum time that a connection may have been idle to be reused.
	MaxIdle time.Duration
	// Matches reports whether a response with these headers belongs to this request; nil
	// accepts every response. An endpoint may answer a request twice, so up to maxStray
	// other responses are skipped.
	Matches func(http.Header) bool
	// BeforeWrite, if set, is called just before the request is written: from then on the
	// endpoint may receive it.
	BeforeWrite func()
	// OnExceeded, if set, is called if the endpoint sends more than a bound allows.
	OnExceeded func(*readlimit.ExceededError)
	// OnBroken, if set, is called with the responsehead.MalformedError of a head or trailer, and with the
	// responseconn.UnsentError if the connection ended before the request was written.
	OnBroken func(error)
}

// SendError reports a call that failed before the complete head of its response was read.
type SendError struct {
	// Sent is set if part of the request may have reached the endpoint.
	Sent bool
	Err  error
}

// maxErrorText is the maximum size in bytes of the text of a SendError's cause, which may quote a
// malformed head.
const maxErrorText = 256

// Error says whether the request was sent, and the cause.
func (e *SendError) Error() string {
	text := e.Err.Error()
	text = text[:min(len(text), maxErrorText)]
	if e.Sent {
		return "no answer: " + text
	}
	return "not sent: " + text
}

func (e *SendError) Unwrap() error {
	return e.Err
}

// StrayResponseError reports that only responses to other requests arrived: more than
// maxStray of them, or one after which the endpoint closes the connection.
type StrayResponseError struct {
	Status int
}

func (e *StrayResponseError) Error() string {
	return fmt.Sprintf("too many answers that belong to other requests, the last with status %d", e.Status)
}

// maxStray is the maximum number of responses to other requests that are skipped.
const maxStray = 2

// inlineBody is the maximum size of a body that is sent in the same write as the head.
const inlineBody = 16 << 10

// maxHead is the maximum size in bytes of the head of a response, including the interim responses
// before it.
const maxHead = 16 << 10

// Do sends a call and returns once the head of its response has been read. It closes the
// connection when ctx ends. Errors are *SendError; one for a head longer than maxHead wraps a
// readlimit.ExceededError, and one for a malformed head a responsehead.MalformedError.
func (p *Pool) Do(ctx context.Context, c Call) (*Answer, error) {
	connection, err := p.take(ctx, c.Address, c.MaxIdle)
	if err != nil {
		return nil, &SendError{Err: err}
	}
	a := &Answer{pool: p, conn: connection, address: c.Address, ctx: ctx, onExceeded: c.OnExceeded, onBroken: c.OnBroken}
	a.stop = context.AfterFunc(ctx, func() { _ = connection.Close() })
	if c.BeforeWrite != nil {
		c.BeforeWrite()
	}
	connection.BeginRequest()
	if err := a.write(c); err != nil {
		a.Close()
		return nil, &SendError{Sent: true, Err: cause(ctx, err)}
	}
	if err := a.noteBroken(a.noteExceeded(a.readHead(c))); err != nil {
		a.Close()
		return nil, &SendError{Sent: true, Err: cause(ctx, err)}
	}
	return a, nil
}

// cause returns the cause of ctx's cancellation, or err if ctx has not ended.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// Answer is a response whose body has not been read yet.
type Answer struct {
	Status int
	Header http.Header
	// EndsAtClose is set if the body has no length and no chunks, so that only the end of the
	// connection ends it.
	EndsAtClose bool

	pool    *Pool
	conn    *conn
	address string
	// ctx is that of the call.
	ctx context.Context
	// length is the length of the body in bytes, -1 if the head does not tell it.
	length int64
	// reserved is the number of bytes taken from the pool's budget for large bodies.
	reserved int64
	stop     func() bool
	body     io.ReadCloser
	// response is the response as parsed; its trailers are complete at the end of the body.
	response *http.Response
	// written is closed once the whole request has been written.
	written chan struct{}
	// maxIdle is how long the connection may be idle before reuse, 0 if it must not be reused.
	maxIdle time.Duration
	// ended is set once the body has been read to its proper end.
	ended bool
	// onExceeded is Call.OnExceeded, and onBroken is Call.OnBroken.
	onExceeded func(*readlimit.ExceededError)
	onBroken   func(error)
}

// write sends the request. It writes a long body concurrently with reading the response, which
// may arrive before the body is complete.
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
		defer a.conn.EndRequest()
		_, err := a.conn.Write(b.Bytes())
		return err
	}
	if _, err := a.conn.Write(b.Bytes()); err != nil {
		return err
	}
	go a.writeBody(c.Body)
	return nil
}

// writeBody writes a long body. A write error is not returned: it shows when the response is
// read.
func (a *Answer) writeBody(body []byte) {
	defer a.conn.EndRequest()
	if _, err := a.conn.Write(body); err == nil {
		close(a.written)
	}
}

// readHead reads the head of the response to c, skipping interim responses and those to other
// requests.
func (a *Answer) readHead(c Call) error {
	request := &http.Request{Method: c.Method}
	a.conn.limited.Bound("head", maxHead)
	for stray := 0; ; {
		if err := a.conn.expectHead(); err != nil {
			return err
		}
		response, err := http.ReadResponse(a.conn.reader, request)
		if exceeded := a.conn.limited.Exceeded(); exceeded != nil {
			return exceeded
		}
		if err != nil {
			return a.conn.headError(err)
		}
		switch {
		case response.StatusCode < http.StatusOK: // interim response
			continue
		case c.Matches == nil || c.Matches(response.Header):
			a.conn.limited.Bound("", 0)
			a.accept(response, stray > 0)
			return nil
		}
		a.conn.limited.Bound("", 0)
		if err := readlimit.Discard(response.Body, "body of another answer", maxBody); err != nil {
			return err
		}
		if err := responsehead.CheckTrailers(response.Trailer); err != nil {
			return err
		}
		a.conn.limited.Bound("head", maxHead)
		if stray++; stray > maxStray || response.Close {
			return &StrayResponseError{Status: response.StatusCode}
		}
	}
}

// accept stores the head of the response r. afterStray is set if a response to another request
// came before it; the connection is not reused then.
func (a *Answer) accept(r *http.Response, afterStray bool) {
	a.Status, a.Header, a.body, a.length, a.response = r.StatusCode, r.Header, r.Body, r.ContentLength, r
	a.EndsAtClose = r.ContentLength < 0 && len(r.TransferEncoding) == 0
	if !afterStray && !r.Close && !a.EndsAtClose {
		a.maxIdle = keepAliveTimeout(r.Header)
	}
	r.Header.Del("Connection")
	r.Header.Del("Keep-Alive")
}

// keepAliveTimeout returns how long a connection may be idle after a response with headers h:
// the endpoint's Keep-Alive timeout less keepAliveMargin, or defaultIdle.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); strings.EqualFold(name, "timeout") && err == nil {
			return time.Duration(seconds)*time.Second - keepAliveMargin
		}
	}
	return defaultIdle
}

// Read reads the body. It returns io.EOF only at the body's proper end; a truncated body, or one with
// malformed trailers, ends with another error.
func (a *Answer) Read(b []byte) (int, error) {
	n, err := a.body.Read(b)
	if err != io.EOF {
		return n, a.noteBroken(err)
	}
	if err := responsehead.CheckTrailers(a.response.Trailer); err != nil {
		return n, a.noteBroken(err)
	}
	a.ended = true
	return n, io.EOF
}

// Close ends the call. It returns the connection to the pool if the request and response are
// complete and the connection may be reused; otherwise it closes the connection, which tells
// the endpoint to stop its work. Further calls do nothing.
func (a *Answer) Close() {
	a.Finish()
	a.release()
}

// Finish is like Close, but a body that ReadAll has returned still counts as in memory until Close.
func (a *Answer) Finish() {
	if a.stop == nil {
		return
	}
	clean := a.stop()
	a.stop = nil
	if !clean || !a.ended || a.maxIdle <= 0 || !a.wrote() || a.conn.reader.Buffered() > 0 {
		_ = a.conn.Close()
		return
	}
	_ = a.conn.SetReadDeadline(time.Time{})
	a.pool.put(a.address, a.conn, a.maxIdle)
}

func (a *Answer) wrote() bool {
	select {
	case <-a.written:
		return true
	default:
		return false
	}
}
