package ingress

import "net"

// ServeOn serves the connections of a listener of the test.
func (s *Server) ServeOn(l net.Listener) {
	s.serveOn(l, make(chan error, 1))
}
