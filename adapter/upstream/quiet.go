package upstream

import "github.com/grademill/grademill/adapter/peek"

// quiet reports whether a connection that has rested is still open and without
// bytes that nobody asked for. It looks without taking anything.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	pending, err := peek.Pending(c.Conn)
	return err == nil && !pending
}
