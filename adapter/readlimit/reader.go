package readlimit

import "io"

// Reader reads from a source with a bound on the number of bytes of each part of a message. The
// zero bound, which holds until Bound is called, allows any number.
type Reader struct {
	// Source is read from. Set it before the first use.
	Source io.Reader

	part        string
	limit, left int64
	exceeded    *ExceededError
}

// Bound allows at most limit further bytes of the source, for a part of a message that errors name.
// A limit of 0 allows any number.
func (r *Reader) Bound(part string, limit int64) {
	r.part, r.limit, r.left, r.exceeded = part, limit, limit, nil
}

// Exceeded returns the error of a read beyond the bound, nil if there was none since Bound was
// called. A parser that reads lines may report the truncated last line instead.
func (r *Reader) Exceeded() *ExceededError {
	return r.exceeded
}

// Read reads from the source. It returns an ExceededError once the bound is used up.
func (r *Reader) Read(p []byte) (int, error) {
	if r.limit == 0 {
		return r.Source.Read(p)
	}
	if r.left == 0 && len(p) > 0 {
		r.exceeded = &ExceededError{Part: r.part, Limit: r.limit}
		return 0, r.exceeded
	}
	n, err := r.Source.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	return n, err
}
