// Package enginehttp is the HTTP client for a model engine; its Client implements
// engine.Engine.
package enginehttp

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/grademill/grademill/adapter/httpclient"
	"github.com/grademill/grademill/adapter/readlimit"
	"github.com/grademill/grademill/decide/layer"
	"github.com/grademill/grademill/port/engine"
	"github.com/grademill/grademill/wire"
)

// maxAnswer is the maximum size of a response body in bytes. The outputs of a batch hold the
// activations of its tokens.
const maxAnswer = 16 << 20

// maxErrorText is the maximum size in bytes of the part of a body that an error quotes.
const maxErrorText = 256

// StatusError reports a response with a status other than 200.
type StatusError struct {
	Status int
	Body   string
}

// Error returns the status and the body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("engine answered %d: %s", e.Status, e.Body)
}

// Client is an engine.Engine over HTTP. Set Base before the first use.
type Client struct {
	// Base is the engine's base URL, such as "http://127.0.0.1:8000".
	Base string
}

var _ engine.Engine = (*Client)(nil)

// Run implements engine.Engine.
func (c *Client) Run(ctx context.Context, batch *wire.EngineBatch) (*wire.EngineOutputs, error) {
	body, err := proto.Marshal(batch)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	text, err := c.do(ctx, http.MethodPost, "/v1/steps", body)
	if err != nil {
		return nil, err
	}
	outputs := new(wire.EngineOutputs)
	if err := proto.Unmarshal(text, outputs); err != nil {
		return nil, trace.Wrap(err, "decode engine outputs")
	}
	return outputs, nil
}

// Status implements engine.Engine.
func (c *Client) Status(ctx context.Context) (engine.Status, error) {
	var status engine.Status
	text, err := c.do(ctx, http.MethodGet, "/v1/status", nil)
	if err != nil {
		return status, err
	}
	return status, trace.Wrap(json.Unmarshal(text, &status))
}

// loadRequest is the body of a request to load layers.
type loadRequest struct {
	Term    uint64      `json:"term"`
	Service string      `json:"service"`
	Layers  layer.Range `json:"layers"`
}

// Load implements engine.Engine.
func (c *Client) Load(ctx context.Context, term uint64, service string, layers layer.Range) error {
	body, err := json.Marshal(loadRequest{term, service, layers})
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = c.do(ctx, http.MethodPost, "/v1/load", body)
	return err
}

func (c *Client) do(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.Base+path, bytes.NewReader(body))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	answer, err := httpclient.Default.Do(request)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer answer.Body.Close() //nolint:errcheck // nothing to save
	text, err := readlimit.ReadAll(answer.Body, "engine's answer", maxAnswer)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	switch answer.StatusCode {
	case http.StatusOK:
		return text, nil
	case http.StatusConflict:
		stale := new(engine.StaleTermError)
		if err := json.Unmarshal(text, stale); err == nil {
			return nil, trace.Wrap(stale)
		}
	}
	return nil, trace.Wrap(&StatusError{answer.StatusCode, string(text[:min(len(text), maxErrorText)])})
}
