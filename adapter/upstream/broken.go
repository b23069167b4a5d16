package upstream

import (
	"errors"
	"io"
	"net"

	"github.com/grademill/grademill/adapter/responseconn"
	"github.com/grademill/grademill/decide/responsehead"
)

// expectHead has the connection check the head that comes next. It returns an error if the bytes that have been read of
// it hold a malformed one.
func (c *conn) expectHead() error {
	buffered, _ := c.reader.Peek(c.reader.Buffered()) // needs no read
	return c.ExpectHead(buffered)
}

// headError returns the error of a head that could not be parsed: a responsehead.MalformedError unless the connection
// failed or ended.
func (c *conn) headError(err error) error {
	if malformed := c.Malformed(); malformed != nil {
		return malformed
	}
	var network net.Error
	var unsent *responseconn.UnsentError
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network) || errors.As(err, &unsent) {
		return err
	}
	reason := err.Error() // may quote the head
	return &responsehead.MalformedError{Part: "head", Reason: reason[:min(len(reason), maxErrorText)]}
}

// noteBroken calls onBroken if err reports an answer that is malformed, or whose connection ended before the request
// was written. It returns err. A connection that ends before the head of an answer, or with the call, is none.
func (a *Answer) noteBroken(err error) error {
	var malformed *responsehead.MalformedError
	var unsent *responseconn.UnsentError
	broken := errors.As(err, &malformed) || a.body != nil && errors.As(err, &unsent)
	if broken && a.onBroken != nil && a.ctx.Err() == nil {
		a.onBroken(err)
	}
	return err
}
