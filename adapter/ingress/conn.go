package ingress

import (
	"bytes"
	"net"
	"sync/atomic"
	"time"

	"github.com/grademill/grademill/adapter/peek"
)

// The states of a connection.
const (
	resting int32 = iota
	serving
	closed
)

// readTime is how long the head of a request that has begun to come counts as about to be
// served: one that takes longer comes slowly.
const readTime = time.Second

// conn is a connection of a caller. It is only closed while it rests, and serves
// only what came before it was closed.
type conn struct {
	net.Conn
	state atomic.Int32
	// since is when it began to rest, begun when the first byte of the next head
	// came, 0 before; both in nanoseconds of Unix time.
	since, begun atomic.Int64
	// head is what was read since it began to rest: the head of the next request,
	// and what came with it. Only the goroutine that serves the connection uses
	// it.
	head []byte
}

// Read reads and keeps what may be the head of a request.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 || c.state.Load() != resting {
		return n, err
	}
	c.begun.CompareAndSwap(0, time.Now().UnixNano())
	if len(c.head) < headBytes {
		c.head = append(c.head, b[:n]...)
	}
	return n, err
}

// rest marks the connection as resting.
func (c *conn) rest() {
	c.head = c.head[:0]
	c.begun.Store(0)
	c.since.Store(time.Now().UnixNano())
	c.state.Store(resting)
}

// unread reports whether the caller has sent something that has not been read yet at now, or
// whose reading has just begun: a process that lacks processor time takes a second for that.
func (c *conn) unread(now time.Time) bool {
	if begun := c.begun.Load(); begun != 0 && now.UnixNano()-begun < int64(readTime) {
		return true
	}
	waits, err := peek.Pending(c.Conn)
	return err == nil && waits
}

// closeResting closes the connection if it rests and nothing of a request has come. One whose
// request lies unread ends with its answer instead.
func (c *conn) closeResting(now time.Time) {
	if c.unread(now) {
		return
	}
	c.end()
}

// end closes the connection unless a request is being served.
func (c *conn) end() {
	if c.state.CompareAndSwap(resting, closed) {
		_ = c.Close() // the caller sees the end either way
	}
}

// overdue reports whether the connection has rested, or has been in the middle of a
// head, for longer than it may at now.
func (c *conn) overdue(l Limits, now time.Time) bool {
	if begun := c.begun.Load(); begun != 0 {
		return l.HeadWait > 0 && now.UnixNano()-begun > int64(l.HeadWait)
	}
	return l.Idle > 0 && now.UnixNano()-c.since.Load() > int64(l.Idle)
}

// headSize returns the size of the head that was read, with what came with it when
// its end is not there.
func (c *conn) headSize() int {
	head, _, _ := bytes.Cut(c.head, []byte("\r\n\r\n"))
	return len(head)
}

// ambiguous reports whether the head of a request in chunks names a length, too,
// so that two readers may see its end in different places; the HTTP server passes
// over the length. A head that was not kept as a whole counts as ambiguous.
func (c *conn) ambiguous() bool {
	head, _, whole := bytes.Cut(c.head, []byte("\r\n\r\n"))
	return !whole || bytes.Contains(bytes.ToLower(head), []byte("\ncontent-length"))
}

// listener makes conns.
type listener struct{ net.Listener }

// Accept waits for the next connection.
func (l listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw}
	c.rest()
	return c, nil
}
