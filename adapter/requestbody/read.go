// Package requestbody reads the bodies of callers' requests.
package requestbody

import (
	"io"
	"net/http"
)

// Present reports whether a request has a body, which may be empty.
func Present(r *http.Request) bool {
	return r.ContentLength > 0 || len(r.TransferEncoding) > 0 || r.Header.Get("Content-Length") != ""
}

// Read reads the whole body of a request; nil if there is none. It returns an http.MaxBytesError if the body has more than
// maxBytes bytes, and another error if it breaks off or is malformed.
func Read(w http.ResponseWriter, r *http.Request, maxBytes int64) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	return io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
}
