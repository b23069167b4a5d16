package rpc

import (
	"encoding/json"
	"net"
	"sync/atomic"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/grademill/grademill/adapter/readlimit"
)

// MaxBytes is the maximum size of a message that is read. Calls carry prompts, in base64.
const MaxBytes = 8 << 20

// stream is a stream of JSON objects, written one after another. It ends at an object of more than
// MaxBytes.
type stream struct {
	jsonrpc2.ObjectStream
	limited  *readlimit.Reader
	decoder  *json.Decoder
	exceeded atomic.Pointer[readlimit.ExceededError]
}

func newStream(conn net.Conn) *stream {
	limited := &readlimit.Reader{Source: conn}
	return &stream{ObjectStream: jsonrpc2.NewPlainObjectStream(conn), limited: limited, decoder: json.NewDecoder(limited)}
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *stream) ReadObject(v any) error {
	s.limited.Bound("message", MaxBytes)
	err := s.decoder.Decode(v)
	if exceeded := s.limited.Exceeded(); err != nil && exceeded != nil {
		s.exceeded.Store(exceeded)
		return exceeded
	}
	return err
}
