// Package platformhttp is the HTTP client for the platform's key-value service and host list;
// its Client implements kv.Store and hosts.Lister.
package platformhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/grademill/grademill/adapter/httpclient"
	"github.com/grademill/grademill/adapter/readlimit"
	"github.com/grademill/grademill/port/hosts"
	"github.com/grademill/grademill/port/kv"
)

// Timeouts of a call and of a watch, which the service holds until there is a change.
const (
	callTimeout  = 3 * time.Second
	watchTimeout = 30 * time.Second
)

// maxAnswer is the maximum size of a response body in bytes.
const maxAnswer = 8 << 20

// maxErrorText is the maximum size in bytes of the part of a body that an error quotes.
const maxErrorText = 256

// statusError reports an unexpected status.
type statusError struct {
	status int
	body   string
}

// Error returns the status and the body.
func (e *statusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.status, e.body)
}

// Client is a kv.Store and a hosts.Lister over HTTP. Set Base before the first use.
type Client struct {
	// Base is the service's base URL, such as "http://10.0.0.5:9000".
	Base string
	// OnCall, if set, is called with the kind of each call.
	OnCall func(kind string)
}

var (
	_ kv.Store     = (*Client)(nil)
	_ hosts.Lister = (*Client)(nil)
)

// Get implements kv.Store.
func (c *Client) Get(ctx context.Context, key string) (kv.Pair, error) {
	var pair kv.Pair
	err := c.call(ctx, "get", "", kv.Pair{Key: key}, &pair)
	return pair, err
}

// List implements kv.Store.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]kv.Pair, error) {
	query := url.Values{"after": {after}, "limit": {strconv.Itoa(limit)}}
	var pairs []kv.Pair
	err := c.call(ctx, "list", query.Encode(), kv.Pair{Key: prefix}, &pairs)
	return pairs, err
}

// Put implements kv.Store.
func (c *Client) Put(ctx context.Context, w kv.Write) (uint64, error) {
	var revision uint64
	err := c.call(ctx, "put", "", w, &revision)
	return revision, err
}

// Delete implements kv.Store.
func (c *Client) Delete(ctx context.Context, key string, revision uint64) error {
	var done bool
	return c.call(ctx, "delete", "", kv.Pair{Key: key, Revision: revision}, &done)
}

// Watch implements kv.Store.
func (c *Client) Watch(ctx context.Context, prefix string, revision uint64) ([]kv.Pair, error) {
	var pairs []kv.Pair
	err := c.call(ctx, "watch", "", kv.Pair{Key: prefix, Revision: revision}, &pairs)
	return pairs, err
}

// Grant implements kv.Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (string, error) {
	var id string
	err := c.call(ctx, "grant", "", ttl, &id)
	return id, err
}

// KeepAlive implements kv.Store.
func (c *Client) KeepAlive(ctx context.Context, lease string) error {
	var done bool
	return c.call(ctx, "keepalive", "", lease, &done)
}

// Hosts implements hosts.Lister.
func (c *Client) Hosts(ctx context.Context) ([]hosts.Host, error) {
	var list []hosts.Host
	err := c.call(ctx, "hosts", "", struct{}{}, &list)
	return list, err
}

// call sends request to a method and decodes the answer into reply.
func (c *Client) call(ctx context.Context, method, query string, request, reply any) error {
	if c.OnCall != nil {
		c.OnCall(method)
	}
	timeout := callTimeout
	if method == "watch" {
		timeout = watchTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := json.Marshal(request)
	if err != nil {
		return trace.Wrap(err)
	}
	address := strings.TrimSuffix(c.Base, "/") + "/v1/" + method + "?" + query
	post, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	answer, err := httpclient.Default.Do(post)
	if err != nil {
		return trace.Wrap(&kv.UnavailableError{Err: err})
	}
	defer answer.Body.Close() //nolint:errcheck // nothing to save
	text, err := readlimit.ReadAll(answer.Body, "store's answer", maxAnswer)
	if err != nil {
		return trace.Wrap(&kv.UnavailableError{Err: err})
	}
	return decode(answer.StatusCode, text, keyOf(request), reply)
}

// decode decodes a response into reply, or returns the typed error for its status.
func decode(status int, text []byte, key string, reply any) error {
	line := strings.TrimSpace(string(text))
	switch status {
	case http.StatusOK:
		if err := json.Unmarshal(text, reply); err != nil {
			return trace.Wrap(&kv.UnavailableError{Err: err})
		}
		return nil
	case http.StatusNotFound:
		return trace.Wrap(&kv.NotFoundError{Key: key})
	case http.StatusConflict:
		revision, _ := strconv.ParseUint(line, 10, 64)
		return trace.Wrap(&kv.ConflictError{Key: key, Revision: revision})
	case http.StatusRequestEntityTooLarge:
		return trace.LimitExceeded("%s", line)
	}
	return trace.Wrap(&kv.UnavailableError{Err: &statusError{status, line[:min(len(line), maxErrorText)]}})
}

// keyOf returns the key in a request, for error messages.
func keyOf(request any) string {
	switch r := request.(type) {
	case kv.Pair:
		return r.Key
	case kv.Write:
		return r.Key
	case string:
		return r
	}
	return ""
}
