// Package httpclient has the HTTP client for calls to other processes whose bodies are read with
// package readlimit.
package httpclient

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/grademill/grademill/adapter/responseconn"
	"github.com/grademill/grademill/decide/responsehead"
)

// MaxHead is the maximum size in bytes of the head of a response, including the interim responses
// before it.
const MaxHead = 16 << 10

// Default is a client like http.DefaultClient, made by New.
var Default = New(http.DefaultTransport.(*http.Transport).Clone())

// New returns a client that uses a transport with a DialContext, which it changes. The client fails for a response whose
// head is larger than MaxHead or malformed, whose trailers are malformed, or whose connection is reset while the request
// is being written. Heads of responses that come through TLS are not checked beyond what net/http does.
func New(t *http.Transport) *http.Client {
	t.MaxResponseHeaderBytes = MaxHead
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &responseconn.Conn{Conn: c}, nil
	}
	return &http.Client{Transport: &transport{next: t}}
}

// transport checks the responses of another one.
type transport struct {
	next *http.Transport
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var conn atomic.Pointer[responseconn.Conn]
	response, err := t.next.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), newTrace(&conn))))
	if err != nil {
		if c := conn.Load(); c != nil && c.Malformed() != nil {
			return nil, c.Malformed()
		}
		return nil, err
	}
	response.Body = &body{ReadCloser: response.Body, response: response}
	return response, nil
}

// newTrace returns a trace of a request that tells its connection when the request is written, and when the head of the
// response may come. It stores the connection.
func newTrace(conn *atomic.Pointer[responseconn.Conn]) *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			c, ok := info.Conn.(*responseconn.Conn)
			if !ok {
				return
			}
			_ = c.ExpectHead(nil) // fails only for bytes that were read before
			c.BeginRequest()
			conn.Store(c)
		},
		WroteRequest: func(httptrace.WroteRequestInfo) {
			if c := conn.Load(); c != nil {
				c.EndRequest()
			}
		},
	}
}

// CloseIdleConnections closes the connections that are not in use.
func (t *transport) CloseIdleConnections() { t.next.CloseIdleConnections() }

// body is the body of a response, with its trailers.
type body struct {
	io.ReadCloser
	response *http.Response
}

// Read reads the body. It returns io.EOF only if the trailers are well-formed.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if malformed := responsehead.CheckTrailers(b.response.Trailer); malformed != nil {
			return n, malformed
		}
	}
	return n, err
}
