package ingress

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/grademill/grademill/adapter/peek"
	"github.com/grademill/grademill/decide/connection"
	"github.com/grademill/grademill/state/memory"
)

const (
	// lingerWait and lingerBytes bound what is read from a caller that goes on sending after its response.
	lingerWait  = time.Second
	lingerBytes = 8 << 20
	// connBytes is what a connection takes while it is open: the buffers of the process and of net/http, a head of usual
	// size, and unreadBytes, which the system holds for it until they are read.
	connBytes   = 8<<10 + unreadBytes
	unreadBytes = 32 << 10
	// freeHead is the part of a head that connBytes includes. The rest is in memory headCopies times: as read, and as parsed.
	freeHead   = 4 << 10
	headCopies = 2
)

// conn is a caller's connection. Only the goroutine that reads it closes it; others have it look whether to close by
// moving its read deadline.
type conn struct {
	net.Conn
	// limits are those in force.
	limits *atomic.Pointer[connection.Limits]
	// onUnanswered is [Server.Unanswered].
	onUnanswered func(Unanswered)
	// share counts what the process holds for the caller, nil if nothing is counted.
	share *memory.Share

	// mu guards the fields up to armed.
	mu    sync.Mutex
	state connection.State
	// ending is set while net/http ends a read, and armed is the read deadline of the socket, zero for none.
	ending bool
	armed  time.Time
	// evicted is set while the caller has to give way, writing while a part of a response is written.
	evicted, writing bool

	// request is the request that is served or whose response is written, nil for none. sent counts
	// the bytes of its response, and writeErr is the first error in writing them, nil for none.
	request  atomic.Pointer[http.Request]
	sent     atomic.Int64
	writeErr atomic.Pointer[error]
	// aborted is set once the handler has aborted the response, left once the caller has ended its sending side,
	// slow once the rest of a body has been given up, and reported once onUnanswered has been called.
	aborted, left, slow, reported atomic.Bool
	// head holds the bytes read since the connection became idle: the next request's head and
	// possibly the start of its body. Only the goroutine that serves the connection uses it.
	head []byte
}

// Read reads from the connection. A read deadline that has expired does not tell that no bytes are there, so it
// reads them before the connection is closed.
func (c *conn) Read(b []byte) (int, error) {
	watches := len(b) == 1 // net/http watches for the end of the connection while the handler runs
	for {
		c.await(watches)
		n, err := c.Conn.Read(b)
		if !watches {
			c.share.Move()
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return c.received(b, n, err)
		}
		then, over := c.expired()
		if !over {
			continue
		}
		if then == connection.ReadOn { // ended by net/http
			return 0, err
		}
		if n, received := peek.Read(c.Conn, b); n > 0 || received != nil {
			return c.received(b, n, received)
		}
		if then == connection.EndBody {
			c.slow.Store(true)
			return 0, err
		}
		_ = c.Conn.Close() // an error changes nothing for the caller
		if then == connection.CloseSlowHead {
			reason := CloseSlowHead
			if c.share.Evicted() {
				reason = CloseGaveWay
			}
			c.report(reason, nil)
		}
		return 0, err
	}
}

// await prepares a read. A caller whose request net/http has read whole no longer has to give way: its connection is
// closed once it is idle.
func (c *conn) await(watches bool) {
	if !watches {
		c.share.Wait()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		c.evicted = false
		c.state = c.state.WithStop()
		_ = c.arm()
	}
}

// evict has the caller give way to others: the wait for its bytes ends, or the write of a response that it does not read.
func (c *conn) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evicted = true
	if c.writing {
		_ = c.Conn.SetWriteDeadline(time.Unix(1, 0)) // fails only once the connection is closed
	}
	_ = c.arm()
}

// expired reports whether the wait of a read is over, and what follows. If it is not, it sets the next read deadline.
func (c *conn) expired() (then connection.Expiry, over bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.ending {
		return connection.ReadOn, true
	}
	if then := c.state.GiveWay(); c.evicted && then != connection.ReadOn {
		return then, true
	}
	until, then := c.state.Wait(*c.limits.Load())
	if then != connection.ReadOn && !now.Before(until) {
		return then, true
	}
	_ = c.arm()
	return then, false
}

// received records the result of a read into b. While the connection waits for a head, it keeps the bytes.
func (c *conn) received(b []byte, n int, err error) (int, error) {
	if n == 0 {
		if err != nil {
			c.left.Store(true)
		}
		return 0, err
	}
	heads := false
	_ = c.update(func(s connection.State, l connection.Limits) connection.State {
		s = s.WithBytes(time.Now(), l)
		heads = s.ReadsHead()
		return s
	})
	if heads && len(c.head) < headBytes {
		if c.head = append(c.head, b[:n]...); len(c.head) == n {
			c.head = bytes.TrimLeft(c.head, "\r\n")
		}
		if len(c.head) > freeHead && !c.share.Grow(int64(headCopies*n)) {
			_ = c.Conn.Close() // an error changes nothing for the caller
			c.report(CloseGaveWay, nil)
			return 0, net.ErrClosed
		}
	}
	return n, err
}

// SetReadDeadline is for net/http, which sets a deadline in the future before it reads a head, none after a head and
// after a body, and one in the past to end a read. Only the last one is put in force.
func (c *conn) SetReadDeadline(t time.Time) error {
	now := time.Now()
	return c.update(func(s connection.State, l connection.Limits) connection.State {
		c.ending = false
		switch {
		case t.IsZero():
			return s.WithPart()
		case t.After(now):
			return s.WithBuffered(now, l)
		}
		c.ending = true
		return s
	})
}

// update changes the state and sets the read deadline that follows. It fails only once the connection is closed.
func (c *conn) update(next func(connection.State, connection.Limits) connection.State) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = next(c.state, *c.limits.Load())
	return c.arm()
}

// arm sets the read deadline of the socket; c.mu is held. It fails only once the connection is closed.
func (c *conn) arm() error {
	until, _ := c.state.Wait(*c.limits.Load())
	if c.ending || c.evicted && c.state.GiveWay() != connection.ReadOn {
		until = time.Unix(1, 0)
	}
	if until.Equal(c.armed) {
		return nil
	}
	c.armed = until
	return c.Conn.SetReadDeadline(until)
}

// rearm has the limits in force bound the present wait.
func (c *conn) rearm() {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.arm()
}

// stop has the connection closed as soon as it is idle.
func (c *conn) stop() {
	_ = c.update(func(s connection.State, _ connection.Limits) connection.State { return s.WithStop() })
}

// Write writes a part of a response.
func (c *conn) Write(b []byte) (int, error) {
	c.setWriting(true)
	c.share.Add(int64(len(b)))
	c.share.Wait()
	n, err := c.Conn.Write(b)
	c.share.Move()
	c.share.Add(-int64(len(b)))
	c.setWriting(false)
	c.sent.Add(int64(n))
	if err != nil {
		c.writeErr.CompareAndSwap(nil, &err)
	}
	return n, err
}

func (c *conn) setWriting(writing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = writing
}

// CloseWrite ends the response and reads what the caller goes on sending, within bounds: a connection that is closed
// with unread bytes is reset, and its caller may not see the response.
func (c *conn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	if err := half.CloseWrite(); err != nil {
		return err
	}
	if err := c.Conn.SetReadDeadline(time.Now().Add(lingerWait)); err != nil {
		return err
	}
	_, err := io.CopyN(io.Discard, c.Conn, lingerBytes)
	return err
}

// Close closes the connection, after CloseWrite if it has unread bytes and the response was not aborted.
func (c *conn) Close() error {
	c.share.Reset()
	defer c.share.Close()
	if unread, _ := peek.HasUnread(c.Conn); unread && !c.aborted.Load() {
		_ = c.CloseWrite() // the connection is closed in any case
	}
	return c.Conn.Close()
}

// begin records that the response to a request begins. It returns the idle limit that holds after it.
func (c *conn) begin(r *http.Request) (maxIdle time.Duration) {
	c.sent.Store(0)
	c.writeErr.Store(nil)
	c.request.Store(r)
	_ = c.update(func(s connection.State, l connection.Limits) connection.State {
		maxIdle = l.Idle
		return s.WithResponse(l)
	})
	return maxIdle
}

// handled records that the handler has returned.
func (c *conn) handled() {
	_ = c.update(func(s connection.State, l connection.Limits) connection.State { return s.WithHandled(time.Now(), l) })
}

// answered records that the response has been written, and that the connection is to be closed if stopping is set.
func (c *conn) answered(stopping bool) {
	if c.head = c.head[:0]; cap(c.head) > freeHead {
		c.head = nil
	}
	c.share.Reset()
	c.request.Store(nil)
	_ = c.update(func(s connection.State, l connection.Limits) connection.State {
		if stopping {
			s = s.WithStop()
		}
		return s.WithIdle(time.Now(), l)
	})
}

// reportEnd reports the request whose response was being written when net/http closed the connection,
// unless the whole response has been written.
func (c *conn) reportEnd() {
	switch err := c.writeErr.Load(); {
	case c.request.Load() == nil:
	case err != nil:
		c.report(CloseWriteFailed, *err)
	case c.slow.Load():
		c.report(CloseSlowBody, os.ErrDeadlineExceeded)
	case !c.aborted.Load():
	case c.left.Load():
		c.report(CloseCallerLeft, nil)
	default:
		c.report(CloseAborted, nil)
	}
}

// report reports, once, that the connection was closed without a whole response.
func (c *conn) report(reason string, err error) {
	if !c.reported.Swap(true) && c.onUnanswered != nil {
		c.onUnanswered(Unanswered{Request: c.request.Load(), Reason: reason, Sent: c.sent.Load(), Err: err})
	}
}

// reportCut reports the connection if a part of a request has arrived on it that has no whole response.
func (c *conn) reportCut() {
	unread, _ := peek.HasUnread(c.Conn)
	c.mu.Lock()
	busy := unread || !c.state.Idle()
	c.mu.Unlock()
	if busy {
		c.report(CloseStopTimeout, nil)
	}
}

// headSize returns the size in bytes of the recorded request head, or of all recorded bytes if
// the head is incomplete.
func (c *conn) headSize() int {
	head, _, _ := bytes.Cut(c.head, []byte("\r\n\r\n"))
	return len(head)
}

// ambiguousLength reports whether the head of a chunked request also has a Content-Length, so
// that two HTTP parsers may disagree on where the request ends; net/http ignores the length. A
// head that was not recorded completely counts as ambiguous.
func (c *conn) ambiguousLength() bool {
	head, _, whole := bytes.Cut(c.head, []byte("\r\n\r\n"))
	return !whole || bytes.Contains(bytes.ToLower(head), []byte("\ncontent-length"))
}
