package gateway_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a request that runs with a key, or on a route, that has been taken away while its body was read.
func TestConfigurationThatComesWhileABodyIsReadIsApplied(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		change func(*fixture)
		status string
	}{
		"key":   {func(w *fixture) { w.configure(false); w.inForce() }, "401"},
		"route": {(*fixture).dropServices, "404"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := plain("a")
			w := newFixture(t, e)
			conn, err := net.Dial("tcp", strings.TrimPrefix(w.target, "http://"))
			require.NoError(t, err)
			defer conn.Close() //nolint:errcheck // a test's connection
			_, err = fmt.Fprintf(conn, "POST /renew/1 HTTP/1.1\r\nHost: %s\r\nAuthorization: Token %s\r\nX-Request-Id: slow\r\nContent-Length: 4\r\n\r\nbo", host, key)
			require.NoError(t, err)
			w.eventually(func() bool { return w.gateway.Running() == 1 })
			c.change(w)
			_, err = io.WriteString(conn, "dy")
			require.NoError(t, err)
			head := make([]byte, len("HTTP/1.1 200"))
			_, err = io.ReadFull(conn, head)
			require.NoError(t, err)
			require.Equal(t, "HTTP/1.1 "+c.status, string(head))
			require.Zero(t, e.Ran("slow"))
		})
	}
}
