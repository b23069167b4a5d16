// Package readlimit reads streams up to a bound, and tells a stream that ends within the bound
// from one that exceeds it.
package readlimit

import (
	"fmt"
	"io"
)

// ExceededError reports a stream, or a part of one, that is longer than its bound.
type ExceededError struct {
	// Part names what is too long, such as "head"; empty for a whole stream.
	Part string
	// Limit is the bound in bytes.
	Limit int64
}

// Error returns the part and the bound.
func (e *ExceededError) Error() string {
	text := fmt.Sprintf("more than the allowed %d bytes", e.Limit)
	if e.Part == "" {
		return text
	}
	return e.Part + " of " + text
}

// ReadAll reads r to its end. It returns an ExceededError that names the part, and no bytes, if r
// holds more than limit bytes.
func ReadAll(r io.Reader, part string, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && int64(len(data)) > limit {
		return nil, &ExceededError{Part: part, Limit: limit}
	}
	return data, err
}

// Discard reads r to its end, without keeping it. It returns an ExceededError that names the part if
// r holds more than limit bytes.
func Discard(r io.Reader, part string, limit int64) error {
	n, err := io.Copy(io.Discard, io.LimitReader(r, limit+1))
	if err == nil && n > limit {
		return &ExceededError{Part: part, Limit: limit}
	}
	return err
}
