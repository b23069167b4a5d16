// Package responseconn is the connection of an HTTP client, which keeps answers that are broken from being taken for
// whole ones.
package responseconn

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/grademill/grademill/adapter/peek"
	"github.com/grademill/grademill/decide/responsehead"
)

// writeGrace bounds how long the end of a connection waits for a request that is being written. A closed peer answers
// what it gets with a reset, also if the first of a few packets is lost. If the write still goes on then, the state of
// the connection decides: the writer may merely lack processor time.
const writeGrace = time.Second

// UnsentError reports a connection that ended although a write to it has failed. What was read before may be a part of an
// answer: the kernel reports a reset to a read or to a write, whichever comes first, and after a write the next read sees
// an end.
type UnsentError struct {
	// Err is the error of the write.
	Err error
}

// Error returns the error of the write.
func (e *UnsentError) Error() string {
	return fmt.Sprintf("connection ended before the request was written: %v", e.Err)
}

func (e *UnsentError) Unwrap() error {
	return e.Err
}

// Conn is a connection to an HTTP server. It reads only well-formed heads of answers, where ExpectHead says that one
// comes, and its end is an error if a write has failed; an end that comes before EndRequest waits for the write. One
// goroutine at a time may read, and one may write.
type Conn struct {
	net.Conn

	mu sync.Mutex
	// head checks the head that is being read; nil if none is. malformed is the error of a malformed head, nil for none.
	head      *responsehead.Checker
	malformed *responsehead.MalformedError
	// inRequest is set between BeginRequest and EndRequest, inWrite while a write is in progress. written is closed
	// once both are unset again; nil if they are.
	inRequest, inWrite bool
	written            chan struct{}
	// writeErr is the error of the first write that failed.
	writeErr error
	// readDeadline is the deadline of reads, zero for none.
	readDeadline time.Time
}

// ExpectHead has the connection check the head of an answer that is read from now on, after the bytes that were read
// before and that the caller has not used. It returns a responsehead.MalformedError if these hold a malformed head.
func (c *Conn) ExpectHead(buffered []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = new(responsehead.Checker)
	_, err := c.check(buffered)
	return err
}

// check checks bytes of an answer. It returns how many of them may be used.
func (c *Conn) check(b []byte) (int, error) {
	if c.head == nil {
		return len(b), nil
	}
	n, err := c.head.Check(b)
	errors.As(err, &c.malformed)
	if c.head.Ended() {
		c.head = nil
	}
	return n, err
}

// Malformed returns the error of a malformed head that was read, nil for none. A parser that reads lines may report the
// truncated last line instead.
func (c *Conn) Malformed() *responsehead.MalformedError {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.malformed
}

// Read reads from the connection. It returns a responsehead.MalformedError in place of the last byte of a malformed head,
// and an UnsentError in place of io.EOF if a write has failed.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == io.EOF {
		err = c.checkEnd()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if n, malformed := c.check(b[:n]); malformed != nil {
		return n, malformed
	}
	return n, err
}

// checkEnd returns io.EOF if the end of the connection is no consequence of a reset.
func (c *Conn) checkEnd() error {
	c.mu.Lock()
	written, deadline := c.written, c.readDeadline
	c.mu.Unlock()
	if written != nil {
		if err := c.await(written, deadline); err != nil {
			return err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeErr != nil {
		return &UnsentError{Err: c.writeErr}
	}
	return io.EOF
}

// await waits until a request is written, for writeGrace at most. It returns an error if the deadline comes first, or if
// the connection has been reset while the write goes on.
func (c *Conn) await(written <-chan struct{}, deadline time.Time) error {
	var late <-chan time.Time
	if !deadline.IsZero() {
		timer := time.NewTimer(time.Until(deadline))
		defer timer.Stop()
		late = timer.C
	}
	grace := time.NewTimer(writeGrace)
	defer grace.Stop()
	select {
	case <-written:
		return nil
	case <-late:
		return os.ErrDeadlineExceeded
	case <-grace.C:
	}
	closed, err := peek.IsClosed(c.Conn)
	if closed {
		err = syscall.ECONNRESET
	}
	if err != nil {
		return &UnsentError{Err: err}
	}
	return nil
}

// BeginRequest says that a request is written from now on, in one or more writes.
func (c *Conn) BeginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setWriting(true, c.inWrite)
}

// EndRequest says that the last write of a request has begun or returned, or that there will be none.
func (c *Conn) EndRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setWriting(false, c.inWrite)
}

// setWriting sets inRequest and inWrite.
func (c *Conn) setWriting(inRequest, inWrite bool) {
	c.inRequest, c.inWrite = inRequest, inWrite
	switch writing := inRequest || inWrite; {
	case writing && c.written == nil:
		c.written = make(chan struct{})
	case !writing && c.written != nil:
		close(c.written)
		c.written = nil
	}
}

// Write writes to the connection.
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.setWriting(c.inRequest, true)
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	c.setWriting(c.inRequest && err == nil, false) // there is no further write after an error
	return n, err
}

// SetDeadline sets the deadlines of reads and writes.
func (c *Conn) SetDeadline(t time.Time) error {
	c.noteReadDeadline(t)
	return c.Conn.SetDeadline(t)
}

// SetReadDeadline sets the deadline of reads.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.noteReadDeadline(t)
	return c.Conn.SetReadDeadline(t)
}

func (c *Conn) noteReadDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
}

// SyscallConn returns the raw connection, for a Conn that has one.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.ENOTSUP
	}
	return s.SyscallConn()
}
