package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/grademill/grademill/adapter/readlimit"
)

// Bounds on bodies, in bytes.
const (
	// maxBody is the maximum size of a body for ReadAll, and of the body of a response to another
	// request that is skipped.
	maxBody = 4 << 20
	// maxChunked is the maximum size of a body for ReadAll with the sizes of its chunks.
	maxChunked = 2 * maxBody
	// MaxSmallBody is the size up to which ReadAll reads a body at once; beyond it a body is large.
	MaxSmallBody = 64 << 10
	// maxLargeBodies bounds the sum of the large bodies of a pool that are in memory.
	maxLargeBodies = 8 * maxBody
	// maxDiscard is the maximum size of a body for Discard, discardTimeout the maximum time that it
	// waits for it.
	maxDiscard     = 64 << 10
	discardTimeout = 50 * time.Millisecond
)

// LargeBodyError reports a body that was not read since other large bodies were in memory until the
// context of the call ended.
type LargeBodyError struct {
	Err error
}

// Error returns the cause.
func (e *LargeBodyError) Error() string {
	return "no memory for a large body: " + e.Err.Error()
}

func (e *LargeBodyError) Unwrap() error {
	return e.Err
}

// ReadAll reads the body. A body larger than MaxSmallBody waits until its length, or maxBody if that
// is not known, fits into maxLargeBodies together with the other large bodies of the pool; a body is
// in memory until Close. ReadAll returns a readlimit.ExceededError for a body longer than maxBody, and
// a LargeBodyError if the context of the call ends first.
func (a *Answer) ReadAll() ([]byte, error) {
	body, err := a.readAll()
	return body, a.noteExceeded(err)
}

func (a *Answer) readAll() ([]byte, error) {
	exceeded := &readlimit.ExceededError{Part: "body", Limit: maxBody}
	if a.length > maxBody && a.body != http.NoBody {
		return nil, exceeded
	}
	a.conn.limited.Bound("chunked body", maxChunked)
	small, err := io.ReadAll(io.LimitReader(a, MaxSmallBody+1))
	if err != nil {
		return nil, err
	}
	if len(small) <= MaxSmallBody {
		return small, nil
	}
	size := a.length
	if size < 0 {
		size = maxBody
	}
	if err := a.reserve(size); err != nil {
		return nil, &LargeBodyError{Err: err}
	}
	body := make([]byte, size+1) // the last byte shows that the body goes on
	n := copy(body, small)
	for n < len(body) {
		m, err := a.Read(body[n:])
		n += m
		if err == io.EOF {
			return body[:n], nil
		}
		if err != nil {
			return nil, err
		}
	}
	return nil, exceeded
}

// reserve waits until size bytes are left of the pool's budget for large bodies, and takes them until
// release.
func (a *Answer) reserve(size int64) error {
	if err := a.pool.largeBodies().Acquire(a.ctx, size); err != nil {
		return context.Cause(a.ctx)
	}
	a.reserved = size
	return nil
}

func (a *Answer) release() {
	if a.reserved > 0 {
		a.pool.largeBodies().Release(a.reserved)
		a.reserved = 0
	}
}

// Discard reads a body that is not needed, so that the connection can be reused. It gives up after
// maxDiscard bytes or discardTimeout; Close then closes the connection.
func (a *Answer) Discard() {
	if err := a.conn.SetReadDeadline(time.Now().Add(discardTimeout)); err != nil {
		return // the connection is closed
	}
	_ = a.noteExceeded(readlimit.Discard(a, "unneeded body", maxDiscard))
}

// noteExceeded calls onExceeded if err reports a bound that was exceeded. It returns err.
func (a *Answer) noteExceeded(err error) error {
	var exceeded *readlimit.ExceededError
	if a.onExceeded != nil && errors.As(err, &exceeded) {
		a.onExceeded(exceeded)
	}
	return err
}

// largeBodies returns the budget for large bodies.
func (p *Pool) largeBodies() *semaphore.Weighted {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.large == nil {
		p.large = semaphore.NewWeighted(maxLargeBodies)
	}
	return p.large
}
