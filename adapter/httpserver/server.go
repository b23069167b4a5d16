// Package httpserver creates kratos HTTP servers for plain http.Handlers.
package httpserver

import (
	"net/http"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
)

// Limits on the head of a request.
const (
	maxHeader  = 16 << 10
	headerWait = 10 * time.Second
)

// New returns a server for handler at address. It sets no timeout for whole requests:
// responses are streamed, and requests have their own deadlines.
func New(address string, handler http.Handler) *khttp.Server {
	server := khttp.NewServer(khttp.Address(address), khttp.Timeout(0))
	server.MaxHeaderBytes = maxHeader
	server.ReadHeaderTimeout = headerWait
	server.HandlePrefix("/", handler)
	return server
}
