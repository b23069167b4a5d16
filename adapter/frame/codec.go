// Package frame encodes the step protocol, which carries wire.Batch messages between
// processes. A frame is a big-endian length of four bytes followed by a wire.Batch of that
// length. Wrap a connection in a Codec; the first frame must pass CheckHello.
package frame

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/grademill/grademill/wire"
)

// Version is the version of the step protocol.
const Version = 1

// MaxBytes is the maximum length of a frame's message.
const MaxBytes = 4 << 20

const headBytes = 4

// firstBytes is the size of the first part of a message for which memory is allocated.
const firstBytes = 64 << 10

// TooLargeError reports a frame longer than MaxBytes.
type TooLargeError struct {
	// Bytes is the length in the frame's header.
	Bytes uint32
}

// Error returns the frame's length and the maximum.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("frame of %d bytes, at most %d allowed", e.Bytes, MaxBytes)
}

// MalformedError reports a frame that is truncated or cannot be decoded.
type MalformedError struct {
	// Err is the error of the reader or the decoder.
	Err error
}

// Error returns the cause.
func (e *MalformedError) Error() string {
	return "malformed frame: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error {
	return e.Err
}

// VersionError reports a peer with another protocol version.
type VersionError struct {
	// Peer is the peer's version.
	Peer uint32
}

// Error returns both versions.
func (e *VersionError) Error() string {
	return fmt.Sprintf("peer speaks step protocol %d, this program %d", e.Peer, Version)
}

// Codec reads and writes frames on one stream. It reuses its buffers: at most one goroutine
// may read and one write at a time.
type Codec struct {
	// Stream is the underlying connection. Set it before the first use.
	Stream io.ReadWriter

	in, out []byte
}

// Read returns the next frame. It returns io.EOF if the stream ends between two frames, a
// MalformedError or a TooLargeError for an invalid frame, and the stream's error otherwise.
func (c *Codec) Read() (*wire.Batch, error) {
	var head [headBytes]byte
	if _, err := io.ReadFull(c.Stream, head[:]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return nil, trace.Wrap(&MalformedError{err})
		}
		return nil, err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > MaxBytes {
		return nil, trace.Wrap(&TooLargeError{size})
	}
	if err := c.readMessage(int(size)); err != nil {
		return nil, trace.Wrap(&MalformedError{err})
	}
	batch := new(wire.Batch)
	if err := proto.Unmarshal(c.in, batch); err != nil {
		return nil, trace.Wrap(&MalformedError{err})
	}
	return batch, nil
}

// readMessage reads a message of size bytes into c.in. Memory for a long one is allocated as it
// arrives: its length is only a claim.
func (c *Codec) readMessage(size int) error {
	c.in = sized(c.in, min(size, max(cap(c.in), firstBytes)))
	for n := 0; ; {
		if _, err := io.ReadFull(c.Stream, c.in[n:]); err != nil {
			return err
		}
		n = len(c.in)
		if n == size {
			return nil
		}
		c.in = append(c.in, make([]byte, min(size-n, n))...)
	}
}

// Write writes one frame with a single call of the stream's Write.
func (c *Codec) Write(batch *wire.Batch) error {
	size := proto.Size(batch)
	if size > MaxBytes {
		return trace.Wrap(&TooLargeError{uint32(size)})
	}
	c.out = sized(c.out, headBytes)
	binary.BigEndian.PutUint32(c.out, uint32(size))
	out, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(c.out, batch)
	if err != nil {
		return trace.Wrap(&MalformedError{err})
	}
	c.out = out
	_, err = c.Stream.Write(out)
	return err
}

// CheckHello returns a VersionError unless batch is the hello of a connection with this
// protocol version.
func CheckHello(batch *wire.Batch) error {
	if v := batch.GetHello().GetVersion(); v != Version {
		return trace.Wrap(&VersionError{v})
	}
	return nil
}

// sized returns buf with length n, or a new buffer if its capacity is too small.
func sized(buf []byte, n int) []byte {
	if cap(buf) < n {
		return make([]byte, n)
	}
	return buf[:n]
}
