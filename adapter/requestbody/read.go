// Package requestbody reads the bodies of callers' requests.
package requestbody

import (
	"errors"
	"io"
	"net/http"

	"github.com/grademill/grademill/adapter/ingress"
	"github.com/grademill/grademill/state/memory"
)

// ErrNoMemory reports a body that was not read to its end, since others needed the memory, or had it.
var ErrNoMemory = errors.New("no memory for the body")

// smallBody is the size of a body, in bytes, that the connection's own memory includes.
const smallBody = 4 << 10

// Present reports whether a request has a body, which may be empty.
func Present(r *http.Request) bool {
	return r.ContentLength > 0 || len(r.TransferEncoding) > 0 || r.Header.Get("Content-Length") != ""
}

// Read reads the whole body of a request; nil if there is none. It returns an http.MaxBytesError if the body has more than
// maxBytes bytes, ErrNoMemory if the caller has to give way, and another error if the body breaks off or is malformed. The
// response to a request with an error closes the connection.
func Read(w http.ResponseWriter, r *http.Request, maxBytes int64) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	share := ingress.Share(r.Context())
	body, err := read(http.MaxBytesReader(w, r.Body, maxBytes), r.ContentLength, maxBytes, share)
	if err == nil {
		return body, nil
	}
	w.Header().Set("Connection", "close")
	if share.Evicted() {
		err = ErrNoMemory
	}
	return nil, err
}

// read reads a body of a length, -1 if it is not known, whose memory it takes from a share before it reads.
func read(r io.Reader, length, maxBytes int64, share *memory.Share) ([]byte, error) {
	size := int64(smallBody)
	switch {
	case length > maxBytes:
		return nil, &http.MaxBytesError{Limit: maxBytes}
	case length >= 0:
		size = length
	}
	if !take(share, size) {
		return nil, ErrNoMemory
	}
	body := make([]byte, 0, size+1) // a read into the last byte shows the end
	for {
		if len(body) == cap(body) && length < 0 {
			next := max(min(2*size, maxBytes), size+1) // the reader fails on a byte beyond the limit
			if !take(share, next) {
				return nil, ErrNoMemory
			}
			body = append(make([]byte, 0, next+1), body...)
			share.Add(-held(size))
			size = next
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// held returns the number of bytes that a body of a size takes from a share.
func held(size int64) int64 {
	if size <= smallBody {
		return 0
	}
	return size
}

// take takes the memory of a body from a share, and reports whether it is there.
func take(share *memory.Share, size int64) bool {
	return held(size) == 0 || share.Grow(held(size))
}
