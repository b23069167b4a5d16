// Package steadywrite writes responses to callers that may read slowly, but must read.
package steadywrite

import (
	"errors"
	"net/http"
	"time"
)

// pieceBytes is the size of the pieces in which a body is written.
const pieceBytes = 64 << 10

// Write writes a body. It fails once the caller has accepted less than a piece of it, of 64 KiB, for
// maxWait.
func Write(w http.ResponseWriter, body []byte, maxWait time.Duration) error {
	c := http.NewResponseController(w)
	for len(body) > 0 {
		if err := c.SetWriteDeadline(time.Now().Add(maxWait)); err != nil && !errors.Is(err, http.ErrNotSupported) {
			return err
		}
		n, err := w.Write(body[:min(len(body), pieceBytes)])
		if err != nil {
			return err
		}
		body = body[n:]
	}
	if err := c.SetWriteDeadline(time.Time{}); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	return nil
}
