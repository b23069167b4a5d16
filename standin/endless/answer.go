// Package endless writes answers that never end.
package endless

import (
	"bytes"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"
)

const (
	// blockBytes is the size of one write.
	blockBytes = 32 << 10
	// maxBytes is where an answer ends that the peer does not end.
	maxBytes = 256 << 20
	// closeTimeout is how long a peer may take to close a connection.
	closeTimeout = 30 * time.Second
)

// Answer is the part of an answer that never ends: a text again and again, until the peer closes the connection. It is
// immutable.
type Answer struct {
	Text string
	// Bound is the maximum number of bytes of the answer that a peer reads. Once more have been written, Write waits for
	// the peer to close the connection, and goes on if it does not: how much can be written beyond what is read depends
	// on the buffers of the connection, which the system sizes.
	Bound int64
}

// Write writes the answer to a connection, and adds the number of bytes to count. They are at most Bound and one write of
// some 32 KiB if the peer closes in time.
func (a Answer) Write(c net.Conn, count *atomic.Int64) {
	block := bytes.Repeat([]byte(a.Text), 1+blockBytes/len(a.Text))
	waited := false
	for written := int64(0); written < maxBytes; {
		if written > a.Bound && !waited {
			waited = true
			if isClosed(c) {
				return
			}
		}
		n, err := c.Write(block)
		written += int64(n)
		count.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// isClosed waits until the peer has closed a connection, and reports whether it has.
func isClosed(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(closeTimeout)) // fails only if the connection is closed
	for buffer := make([]byte, blockBytes); ; {
		if _, err := c.Read(buffer); err != nil {
			return !errors.Is(err, os.ErrDeadlineExceeded)
		}
	}
}
