package probe

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// knockWait bounds a connection that only shows whether a process listens: hosts are a few
// milliseconds apart.
const knockWait = 300 * time.Millisecond

// Refuses reports whether the host at an address refuses connections: the process has ended.
// Silence is no proof.
func Refuses(ctx context.Context, address string) bool {
	dialer := net.Dialer{Timeout: knockWait, KeepAlive: -1}
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = c.Close() // nothing was sent
	return false
}
