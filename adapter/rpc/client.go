// Package rpc carries control calls between processes as JSON-RPC 2.0, with
// the messages of package wire in their JSON form.
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

// Protocol is the first byte on a connection that carries control calls.
const Protocol = 'R'

const dialTimeout = time.Second

// UnsentError is a call that never left this process: the peer could not be
// reached. The call has not run.
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

// LostError is a call without an answer: it may have run.
type LostError struct {
	// Address is the peer.
	Address string
	// Err is the cause.
	Err error
}

// Error returns the peer and the cause.
func (e *LostError) Error() string {
	return fmt.Sprintf("no answer from %s: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *LostError) Unwrap() error {
	return e.Err
}

// Client calls peers over one connection each. The zero Client is ready.
type Client struct {
	mu    sync.Mutex
	conns map[string]*jsonrpc2.Conn
}

// Call sends request to the method of the peer at address and fills reply. It
// returns an UnsentError when the request was not sent, a LostError when no
// answer came, and a jsonrpc2.Error when the peer refused the call.
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
		return trace.Wrap(&LostError{address, err})
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

// failed sorts the error of a call and drops a broken connection. One that a
// caller merely stopped waiting on stays: other calls are under way on it.
func (c *Client) failed(ctx context.Context, address string, conn *jsonrpc2.Conn, err error) error {
	var refused *jsonrpc2.Error
	if errors.As(err, &refused) {
		return trace.Wrap(refused)
	}
	if ctx.Err() == nil {
		c.drop(address, conn)
	}
	return trace.Wrap(&LostError{address, err})
}

func (c *Client) drop(address string, conn *jsonrpc2.Conn) {
	_ = conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
}

// conn returns the connection to address, dialling when there is none.
func (c *Client) conn(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
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
	conn = jsonrpc2.NewConn(context.Background(), stream(raw), noMethods{}, jsonrpc2.SetLogger(quiet{}))
	c.mu.Lock()
	defer c.mu.Unlock()
	if other := c.conns[address]; other != nil {
		_ = conn.Close()
		return other, nil
	}
	if c.conns == nil {
		c.conns = make(map[string]*jsonrpc2.Conn)
	}
	c.conns[address] = conn
	return conn, nil
}

// stream frames JSON objects one after another.
func stream(conn net.Conn) jsonrpc2.ObjectStream {
	return jsonrpc2.NewPlainObjectStream(conn)
}

// noMethods ignores calls in the wrong direction.
type noMethods struct{}

func (noMethods) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

// quiet drops the library's log lines: the callers log what failed.
type quiet struct{}

func (quiet) Printf(string, ...any) {}
