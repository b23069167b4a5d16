package upstream

import "github.com/grademill/grademill/adapter/peek"

// reusable reports whether an idle connection is still open and has no unsolicited bytes. It
// reads nothing from the connection.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	pending, err := peek.HasUnread(c.Conn)
	return err == nil && !pending
}
