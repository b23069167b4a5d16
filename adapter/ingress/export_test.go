package ingress

import "net"

// ServeOn serves the connections of a listener of the test.
func (s *Server) ServeOn(l net.Listener) {
	s.serveOn(l, make(chan error, 1))
}

// EvictAll has the callers of all connections give way.
func EvictAll(s *Server) { s.each((*conn).evict) }
