// Package frame reads and writes the step protocol: a length of four bytes,
// big-endian, and a wire.Batch of that length.
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

// Version is the version of the step protocol that this program speaks.
const Version = 1

// MaxBytes is the size of the largest frame.
const MaxBytes = 4 << 20

const headBytes = 4

// TooLargeError is a frame longer than MaxBytes.
type TooLargeError struct {
	// Bytes is the length that the frame claims.
	Bytes uint32
}

// Error returns the claimed and the allowed length.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("frame of %d bytes, at most %d allowed", e.Bytes, MaxBytes)
}

// MalformedError is a frame that is cut or does not decode.
type MalformedError struct {
	// Err is what the reader or the decoder said.
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

// VersionError is a peer that speaks another version.
type VersionError struct {
	// Peer is the version of the other side.
	Peer uint32
}

// Error returns both versions.
func (e *VersionError) Error() string {
	return fmt.Sprintf("peer speaks step protocol %d, this program %d", e.Peer, Version)
}

// Codec reads and writes frames on one stream. It reuses its buffers; one
// goroutine may read while another writes.
type Codec struct {
	// Stream is the connection; set before the first use.
	Stream io.ReadWriter

	in, out []byte
}

// Read returns the next frame. It returns io.EOF at the end of the stream
// between two frames, a MalformedError or a TooLargeError on a bad frame, and
// the stream's error otherwise.
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
	c.in = sized(c.in, int(size))
	if _, err := io.ReadFull(c.Stream, c.in); err != nil {
		return nil, trace.Wrap(&MalformedError{err})
	}
	batch := new(wire.Batch)
	if err := proto.Unmarshal(c.in, batch); err != nil {
		return nil, trace.Wrap(&MalformedError{err})
	}
	return batch, nil
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

// CheckHello returns a VersionError when batch does not open a connection of
// this version.
func CheckHello(batch *wire.Batch) error {
	if v := batch.GetHello().GetVersion(); v != Version {
		return trace.Wrap(&VersionError{v})
	}
	return nil
}

// sized returns buf with length n, allocating when it is too small.
func sized(buf []byte, n int) []byte {
	if cap(buf) < n {
		return make([]byte, n)
	}
	return buf[:n]
}
