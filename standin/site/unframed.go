package site

import (
	"net"
	"net/http"
)

// unframedWriter writes an answer with neither a length nor chunks, which ends with its connection.
type unframedWriter struct {
	http.ResponseWriter
	conn net.Conn
}

// WriteHeader takes the connection over and writes the head.
func (u *unframedWriter) WriteHeader(status int) {
	conn, _, err := http.NewResponseController(u.ResponseWriter).Hijack()
	if err != nil {
		panic(err) // every connection of a test can be taken over
	}
	u.conn = conn
	h := u.Header()
	h.Del("Content-Length")
	h.Set("Connection", "close")
	head := http.Response{StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Header: h, ContentLength: -1, Close: true}
	_ = head.Write(conn) // the caller may have closed the connection
}

// Write writes to the connection.
func (u *unframedWriter) Write(p []byte) (int, error) {
	if u.conn == nil {
		u.WriteHeader(http.StatusOK)
	}
	return u.conn.Write(p)
}

// Flush does nothing: each write is sent at once.
func (u *unframedWriter) Flush() {}

// end closes the connection, or resets it.
func (u *unframedWriter) end(reset bool) {
	if u.conn == nil {
		return
	}
	if tcp, ok := u.conn.(*net.TCPConn); ok && reset {
		_ = tcp.SetLinger(0)
	}
	_ = u.conn.Close()
}
