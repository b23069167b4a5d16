// Package rpc carries control calls between processes as JSON-RPC 2.0 over TCP, with the
// messages of package wire in their JSON form. Client makes calls; Serve answers them with
// Methods, each made by Of.
package rpc

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/jsonrpc2"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// Protocol is the first byte on a connection that carries control calls; it tells them from
// step connections on the same port.
const Protocol = 'R'

const dialTimeout = time.Second

// UnsentError reports a call that was not sent and therefore has not run.
type UnsentError struct {
	// Address is the peer.
	Address string
	// Err is the cause.
	Err error
}

// Error returns the peer and the cause.
func (e *UnsentError) Error() string {
	return fmt.Sprintf("call not sent to %s: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error {
	return e.Err
}

// NoReplyError reports a call without an answer; it may have run.
type NoReplyError struct {
	// Address is the peer.
	Address string
	// Err is the cause.
	Err error
}

// Error returns the peer and the cause.
func (e *NoReplyError) Error() string {
	return fmt.Sprintf("no answer from %s: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *NoReplyError) Unwrap() error {
	return e.Err
}

// Client calls peers over one connection each. The zero Client is ready to use.
type Client struct {
	mu    sync.Mutex
	conns map[string]*connection
}

// connection is a connection to a peer.
type connection struct {
	*jsonrpc2.Conn
	stream *stream
}

// Call calls a method of the peer at address and decodes the answer into reply. It returns an
// UnsentError if the request was not sent, a NoReplyError if no answer came, and a
// jsonrpc2.Error if the peer refused the call.
func (c *Client) Call(ctx context.Context, address, method string, request, reply proto.Message) error {
	conn, err := c.conn(ctx, address)
	if err != nil {
		return trace.Wrap(&UnsentError{address, err})
	}
	params, err := protojson.Marshal(request)
	if err != nil {
		return trace.Wrap(&UnsentError{address, err})
	}
	var result json.RawMessage
	if err := conn.Call(ctx, method, json.RawMessage(params), &result); err != nil {
		return c.failed(ctx, address, conn, err)
	}
	if err := protojson.Unmarshal(result, reply); err != nil {
		return trace.Wrap(&NoReplyError{address, err})
	}
	return nil
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.conns = nil
}

// failed converts the error of a call and drops a broken connection. A connection is kept if
// merely the caller's context ended: other calls are in progress on it.
func (c *Client) failed(ctx context.Context, address string, conn *connection, err error) error {
	var refused *jsonrpc2.Error
	if errors.As(err, &refused) {
		return trace.Wrap(refused)
	}
	if ctx.Err() == nil {
		c.drop(address, conn)
	}
	if exceeded := conn.stream.exceeded.Load(); exceeded != nil {
		err = exceeded
	}
	return trace.Wrap(&NoReplyError{address, err})
}

func (c *Client) drop(address string, conn *connection) {
	_ = conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
}

// conn returns the connection to address and opens one if there is none.
func (c *Client) conn(ctx context.Context, address string) (*connection, error) {
	c.mu.Lock()
	conn := c.conns[address]
	c.mu.Unlock()
	if conn != nil {
		select {
		case <-conn.DisconnectNotify():
			c.drop(address, conn)
		default:
			return conn, nil
		}
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if _, err := raw.Write([]byte{Protocol}); err != nil {
		_ = raw.Close()
		return nil, err
	}
	s := newStream(raw)
	conn = &connection{jsonrpc2.NewConn(context.Background(), s, noMethods{}, jsonrpc2.SetLogger(discardLogger{})), s}
	c.mu.Lock()
	defer c.mu.Unlock()
	if other := c.conns[address]; other != nil {
		_ = conn.Close()
		return other, nil
	}
	if c.conns == nil {
		c.conns = make(map[string]*connection)
	}
	c.conns[address] = conn
	return conn, nil
}

// noMethods ignores calls from the serving side, which makes none.
type noMethods struct{}

func (noMethods) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

// discardLogger drops the library's log output: the callers log failures.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
