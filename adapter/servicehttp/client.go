// Package servicehttp is the HTTP client for a plain service; its Client implements
// service.Service.
package servicehttp

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"

	"github.com/gravitational/trace"

	"github.com/grademill/grademill/adapter/httpclient"
	"github.com/grademill/grademill/adapter/readlimit"
	"github.com/grademill/grademill/port/service"
)

// maxReply is the maximum size of a response body in bytes.
const maxReply = 1 << 20

// Client is a service.Service over HTTP. Set Base before the first use.
type Client struct {
	// Base is the service's base URL, such as "http://127.0.0.1:8000".
	Base string
}

var _ service.Service = (*Client)(nil)

// Do implements service.Service. It never sends the request twice: the request has no GetBody,
// so the HTTP client cannot repeat it after a broken connection. An answer longer than maxReply is a
// readlimit.ExceededError.
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
	answer, err := httpclient.Default.Do(request)
	if err != nil {
		return service.Reply{}, sendError(err)
	}
	defer answer.Body.Close() //nolint:errcheck // nothing to save
	text, err := readlimit.ReadAll(answer.Body, "service's answer", maxReply)
	if err != nil {
		return service.Reply{}, trace.Wrap(err, "read the service's answer")
	}
	return service.Reply{Status: answer.StatusCode, Body: text, ContentType: answer.Header.Get("Content-Type")}, nil
}

// sendError returns a service.UnsentError for a failed dial, after which nothing was sent, and
// the error itself otherwise.
func sendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return trace.Wrap(&service.UnsentError{Err: err})
	}
	return trace.Wrap(err)
}
