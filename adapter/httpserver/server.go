// Package httpserver makes HTTP servers of kratos for plain handlers.
package httpserver

import (
	"net/http"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
)

// Bounds of the head of a request.
const (
	maxHeader  = 16 << 10
	headerWait = 10 * time.Second
)

// New returns a server of handler at address. It has no bound on the time of a
// request: answers are streamed, and requests have deadlines of their own.
func New(address string, handler http.Handler) *khttp.Server {
	server := khttp.NewServer(khttp.Address(address), khttp.Timeout(0))
	server.MaxHeaderBytes = maxHeader
	server.ReadHeaderTimeout = headerWait
	server.HandlePrefix("/", handler)
	return server
}
