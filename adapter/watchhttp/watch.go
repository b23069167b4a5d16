// Package watchhttp is the HTTP transport by which gateways ask each other's caches for store
// changes, in place of asking the store itself. Client is the asking side, a
// watchcache.Source; Handler answers from a watchcache.Cache.
package watchhttp

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/grademill/grademill/adapter/httpclient"
	"github.com/grademill/grademill/adapter/readlimit"
	"github.com/grademill/grademill/port/kv"
	"github.com/grademill/grademill/state/watchcache"
	wire "github.com/grademill/grademill/wire/watch"
)

// path is the path of a request for changes.
const path = "/changes"

// Limits of a call.
const (
	// callSlack is added to the time that the peer may hold a request, to bound the whole
	// call: the network takes a few milliseconds, and a slow host some tens.
	callSlack = 250 * time.Millisecond
	// dialTimeout bounds the dial.
	dialTimeout = 250 * time.Millisecond
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 10 * time.Second
	// maxWait bounds how long a request is held, whatever it asks for.
	maxWait = 5 * time.Second
	// maxAnswer is the maximum number of bytes read from a response body.
	maxAnswer = 4 << 20
)

// Client asks other gateways for changes. Create it with NewClient.
type Client struct {
	http *http.Client
}

var _ watchcache.Source = (*Client)(nil)

// NewClient returns a client without connections.
func NewClient() *Client {
	dialer := net.Dialer{Timeout: dialTimeout}
	return &Client{http: httpclient.New(&http.Transport{
		DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeout,
		ReadBufferSize: 1024, WriteBufferSize: 1024,
	})}
}

// RefusedError reports a request that the other gateway refused.
type RefusedError struct {
	Status int
	Reason string
}

// Error returns the status and the reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("other gateway refused the request with status %d: %s", e.Status, e.Reason)
}

// Unwrap returns watchcache.ErrRefused: the other gateway has received the request.
func (e *RefusedError) Unwrap() error { return watchcache.ErrRefused }

// Fetch implements watchcache.Source.
func (c *Client) Fetch(ctx context.Context, address string, q watchcache.Request) (watchcache.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, q.Wait+callSlack)
	defer cancel()
	query := url.Values{
		"after": {strconv.FormatUint(q.After, 10)},
		"age":   {q.Age.String()},
		"wait":  {q.Wait.String()},
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path+"?"+query.Encode(), nil)
	if err != nil {
		return watchcache.Answer{}, trace.Wrap(err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return watchcache.Answer{}, trace.Wrap(err)
	}
	defer response.Body.Close() //nolint:errcheck // nothing to save
	text, err := readlimit.ReadAll(response.Body, "other gateway's answer", maxAnswer)
	if err != nil {
		return watchcache.Answer{}, trace.Wrap(err)
	}
	if response.StatusCode == http.StatusGone {
		return watchcache.Answer{}, trace.Wrap(watchcache.ErrNotRetained)
	}
	if response.StatusCode != http.StatusOK {
		return watchcache.Answer{}, trace.Wrap(&RefusedError{Status: response.StatusCode, Reason: string(text)})
	}
	var changes wire.Changes
	if err := proto.Unmarshal(text, &changes); err != nil {
		return watchcache.Answer{}, trace.Wrap(err)
	}
	return decode(&changes)
}

// ErrNoProof reports an answer of something else than a gateway, or a part of an answer: it lacks the age of the proof.
var ErrNoProof = errors.New("the answer names no age of a proof")

// decode returns the answer in a message. The age of its proof is never 0, see encode.
func decode(c *wire.Changes) (watchcache.Answer, error) {
	if c.GetAgeMicros() == 0 {
		return watchcache.Answer{}, trace.Wrap(ErrNoProof)
	}
	a := watchcache.Answer{
		At: c.GetAt(), Sum: c.GetSum(), Age: time.Duration(c.GetAgeMicros()) * time.Microsecond,
		Waited: time.Duration(c.GetHeldMicros()) * time.Microsecond,
	}
	for _, p := range c.GetPairs() {
		a.Pairs = append(a.Pairs, kv.Pair{Key: p.GetKey(), Value: p.GetValue(), Revision: p.GetRevision(), Deleted: p.GetDeleted()})
	}
	return a, nil
}

// encode returns the message for an answer. It rounds the age up and the hold time down, so
// that the freshness proof never looks newer than it is.
func encode(a watchcache.Answer) *wire.Changes {
	c := &wire.Changes{
		At: a.At, Sum: a.Sum, AgeMicros: uint64(a.Age.Microseconds()) + 1, HeldMicros: uint64(a.Waited.Microseconds()),
	}
	for _, p := range a.Pairs {
		c.Pairs = append(c.Pairs, &wire.Pair{Key: p.Key, Value: p.Value, Revision: p.Revision, Deleted: p.Deleted})
	}
	return c
}

// Handler returns a handler that answers other gateways from a cache.
func Handler(h *watchcache.Cache) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, r *http.Request) {
		q, err := parseQuestion(r.URL.Query())
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		answer, err := h.Fetch(r.Context(), q)
		switch {
		case errors.Is(err, watchcache.ErrNotRetained):
			http.Error(w, err.Error(), http.StatusGone)
			return
		case err != nil:
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		text, err := proto.Marshal(encode(answer))
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		_, _ = w.Write(text) // a gateway that has disconnected asks another one
	})
	return mux
}

// parseQuestion decodes the query of a request for changes.
func parseQuestion(values url.Values) (watchcache.Request, error) {
	after, err := strconv.ParseUint(values.Get("after"), 10, 64)
	if err != nil {
		return watchcache.Request{}, trace.BadParameter("after: %v", err)
	}
	age, err := time.ParseDuration(values.Get("age"))
	if err != nil {
		return watchcache.Request{}, trace.BadParameter("age: %v", err)
	}
	wait, err := time.ParseDuration(values.Get("wait"))
	if err != nil {
		return watchcache.Request{}, trace.BadParameter("wait: %v", err)
	}
	return watchcache.Request{After: after, Age: age, Wait: min(wait, maxWait)}, nil
}
