package probe

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// connectTimeout bounds an attempt to connect that only shows whether a process listens:
// hosts are a few milliseconds apart.
const connectTimeout = 300 * time.Millisecond

// ConnectionRefused reports whether the host at address refuses connections, which shows
// that the process has ended. It returns false if no answer comes, which shows nothing.
func ConnectionRefused(ctx context.Context, address string) bool {
	dialer := net.Dialer{Timeout: connectTimeout, KeepAlive: -1}
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = c.Close() // no data was sent
	return false
}
