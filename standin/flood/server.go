// Package flood is a server whose answers never end.
package flood

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/grademill/grademill/standin/endless"
)

// Server answers each HTTP request with a prefix and then a text again and again, until the client closes.
// Set the exported fields before Start.
type Server struct {
	Prefix string
	endless.Answer

	listener net.Listener
	served   sync.WaitGroup
	written  atomic.Int64
}

// Start listens at a free local address and returns it.
func (s *Server) Start() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s.listener = listener
	s.served.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			s.served.Go(func() { s.serve(c) })
		}
	})
	return listener.Addr().String(), nil
}

// Written stops the server once its clients have closed their connections, and returns how many bytes it
// could write.
func (s *Server) Written() int64 {
	_ = s.listener.Close()
	s.served.Wait()
	return s.written.Load()
}

func (s *Server) serve(c net.Conn) {
	defer c.Close() //nolint:errcheck // a stand-in's connection
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	if _, err := io.WriteString(c, s.Prefix); err != nil {
		return
	}
	s.Write(c, &s.written)
}

// Heads are servers whose heads never end, for clients that read at most bound bytes of an answer.
func Heads(bound int64) map[string]*Server {
	return servers(bound, map[string][2]string{
		"status line":   {"", "x"},
		"header line":   {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"header fields": {"HTTP/1.1 200 OK\r\n", "X: x\r\n"},
		"interim heads": {"", "HTTP/1.1 103 Early\r\nLink: x\r\n\r\n"},
	})
}

// Bodies are servers whose bodies never end, for clients that read at most bound bytes of an answer.
func Bodies(bound int64) map[string]*Server {
	return servers(bound, map[string][2]string{
		"body":    {"HTTP/1.1 200 OK\r\n\r\n", "x"},
		"JSON":    {"HTTP/1.1 200 OK\r\n\r\n{\"a\":\"", "x"},
		"chunks":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 0x400) + "\r\n"},
		"failure": {"HTTP/1.1 503 Full\r\n\r\n", "x"},
	})
}

// servers returns servers with prefixes and texts.
func servers(bound int64, kinds map[string][2]string) map[string]*Server {
	list := make(map[string]*Server, len(kinds))
	for name, k := range kinds {
		list[name] = &Server{Prefix: k[0], Answer: endless.Answer{Text: k[1], Bound: bound}}
	}
	return list
}
