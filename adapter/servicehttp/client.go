// Package servicehttp reaches a plain service over HTTP.
package servicehttp

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"

	"github.com/gravitational/trace"

	"github.com/grademill/grademill/port/service"
)

// maxReply bounds the body of an answer.
const maxReply = 1 << 20

// Client is a service.Service. Set Base before the first use.
type Client struct {
	// Base is the service's address, such as "http://127.0.0.1:8000".
	Base string

	http http.Client
}

var _ service.Service = (*Client)(nil)

// Do implements service.Service. The request is never sent twice: it has no
// GetBody, so the HTTP client cannot repeat it on a broken connection.
func (c *Client) Do(ctx context.Context, r service.Request) (service.Reply, error) {
	body := struct{ io.Reader }{bytes.NewReader(r.Body)}
	request, err := http.NewRequestWithContext(ctx, r.Method, c.Base+r.Path, body)
	if err != nil {
		return service.Reply{}, trace.Wrap(&service.UnsentError{Err: err})
	}
	request.ContentLength = int64(len(r.Body))
	if r.ContentType != "" {
		request.Header.Set("Content-Type", r.ContentType)
	}
	if r.Key != "" {
		request.Header.Set("Idempotency-Key", r.Key)
	}
	answer, err := c.http.Do(request)
	if err != nil {
		return service.Reply{}, sorted(err)
	}
	defer answer.Body.Close() //nolint:errcheck // nothing to save
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxReply))
	if err != nil {
		return service.Reply{}, trace.Wrap(err, "read the service's answer")
	}
	return service.Reply{Status: answer.StatusCode, Body: text, ContentType: answer.Header.Get("Content-Type")}, nil
}

// sorted marks errors of the dial, before which nothing was sent.
func sorted(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return trace.Wrap(&service.UnsentError{Err: err})
	}
	return trace.Wrap(err)
}
