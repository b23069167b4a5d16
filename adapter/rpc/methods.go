package rpc

import (
	"context"
	"net"

	"github.com/sourcegraph/jsonrpc2"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// Method answers one kind of call with raw JSON.
type Method func(ctx context.Context, params []byte) ([]byte, error)

// Methods maps the name of a method to what answers it.
type Methods map[string]Method

// Of makes a Method out of a function over messages.
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

// Serve answers calls on conn until it ends.
func Serve(ctx context.Context, conn net.Conn, methods Methods) {
	handler := jsonrpc2.HandlerWithError(methods.handle).SuppressErrClosed()
	c := jsonrpc2.NewConn(ctx, stream(conn), jsonrpc2.AsyncHandler(handler), jsonrpc2.SetLogger(quiet{}))
	<-c.DisconnectNotify()
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

// rawResult passes JSON through.
type rawResult []byte

// MarshalJSON returns r itself.
func (r rawResult) MarshalJSON() ([]byte, error) {
	return r, nil
}
