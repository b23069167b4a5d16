package rpc

import (
	"context"
	"net"

	"github.com/sourcegraph/jsonrpc2"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// Method answers calls of one kind; parameters and result are JSON.
type Method func(ctx context.Context, params []byte) ([]byte, error)

// Methods maps method names to methods.
type Methods map[string]Method

// Of returns a Method that decodes its parameters, calls answer and encodes the result.
func Of[Req, Rep any, PReq interface {
	*Req
	proto.Message
}, PRep interface {
	*Rep
	proto.Message
}](answer func(context.Context, PReq) (PRep, error),
) Method {
	return func(ctx context.Context, params []byte) ([]byte, error) {
		request := PReq(new(Req))
		if err := protojson.Unmarshal(params, request); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		reply, err := answer(ctx, request)
		if err != nil {
			return nil, err
		}
		return protojson.Marshal(reply)
	}
}

// Serve answers calls on conn until the connection ends. It returns a readlimit.ExceededError if the
// peer has sent a message of more than MaxBytes, and nil otherwise.
func Serve(ctx context.Context, conn net.Conn, methods Methods) error {
	handler := jsonrpc2.HandlerWithError(methods.handle).SuppressErrClosed()
	s := newStream(conn)
	c := jsonrpc2.NewConn(ctx, s, jsonrpc2.AsyncHandler(handler), jsonrpc2.SetLogger(discardLogger{}))
	<-c.DisconnectNotify()
	if exceeded := s.exceeded.Load(); exceeded != nil {
		return exceeded
	}
	return nil
}

func (m Methods) handle(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	method := m[r.Method]
	if method == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}
	}
	var params []byte
	if r.Params != nil {
		params = *r.Params
	}
	out, err := method(ctx, params)
	if err != nil {
		return nil, err
	}
	return rawResult(out), nil
}

// rawResult is a result that is JSON already.
type rawResult []byte

// MarshalJSON returns r itself.
func (r rawResult) MarshalJSON() ([]byte, error) {
	return r, nil
}
