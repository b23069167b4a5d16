// Package httpclient has the HTTP client for calls to other processes whose bodies are read with
// package readlimit.
package httpclient

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/grademill/grademill/adapter/responseconn"
)

// MaxHead is the maximum size in bytes of the head of a response, including the interim responses
// before it.
const MaxHead = 16 << 10

// Default is a client like http.DefaultClient, made by New.
var Default = New(http.DefaultTransport.(*http.Transport).Clone())

// New returns a client that uses a transport with a DialContext, which it changes. The client fails for a response whose
// head is larger than MaxHead, or whose connection is reset while the request is being written.
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

// transport tells connections when the requests of another one are written.
type transport struct {
	next *http.Transport
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	return t.next.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), newTrace())))
}

// newTrace returns a trace of a request that tells its connection when the request is written.
func newTrace() *httptrace.ClientTrace {
	var conn atomic.Pointer[responseconn.Conn]
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			c, ok := info.Conn.(*responseconn.Conn)
			if !ok {
				return
			}
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
