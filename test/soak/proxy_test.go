package soak_test

import (
	"io"
	"net"
	"sync"
	"time"
)

// A proxy's treatment of its connections.
type treatment int

const (
	// pass carries bytes both ways.
	pass treatment = iota
	// slow delays each piece of bytes.
	slow
	// mute carries nothing either way, and says nothing.
	mute
	// deaf carries bytes only from the server to the client.
	deaf
	// reset resets connections, open and new ones.
	reset
)

// slowBy is how much a slow proxy delays each piece.
const slowBy = 60 * time.Millisecond

// proxy is a loopback link to one server.
type proxy struct {
	address  string
	target   string
	listener net.Listener

	mu      sync.Mutex // guards what follows
	how     treatment
	changed chan struct{}
	conns   map[net.Conn]bool
}

// newProxy starts a proxy before a server.
func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{
		address: listener.Addr().String(), target: target, listener: listener,
		changed: make(chan struct{}), conns: make(map[net.Conn]bool),
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go p.carry(c)
		}
	}()
	return p, nil
}

// refuse has the link refuse new connections from now on, as a host does whose process has ended.
func (p *proxy) refuse() {
	_ = p.listener.Close() // those that are open break with the server
}

// treat changes the treatment of all connections.
func (p *proxy) treat(how treatment) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.how = how
	close(p.changed)
	p.changed = make(chan struct{})
	if how != reset {
		return
	}
	for c := range p.conns {
		breakOff(c)
	}
}

// breakOff resets a connection.
func breakOff(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// carry carries one connection.
func (p *proxy) carry(client net.Conn) {
	defer client.Close() //nolint:errcheck // a proxy's connection
	p.mu.Lock()
	how := p.how
	p.conns[client] = true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.conns, client)
		p.mu.Unlock()
	}()
	if how == reset {
		breakOff(client)
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		breakOff(client)
		return
	}
	defer server.Close() //nolint:errcheck // a proxy's connection
	done := make(chan struct{}, 2)
	go func() { p.pump(server, client, deaf); done <- struct{}{} }()
	go func() { p.pump(client, server, pass); done <- struct{}{} }()
	<-done
}

// pump copies bytes one way, and holds them back while the treatment is mute or
// blocked.
func (p *proxy) pump(to, from net.Conn, blocked treatment) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		p.await(blocked)
		if _, werr := to.Write(buffer[:n]); werr != nil || err != nil {
			if err != nil && err != io.EOF {
				breakOff(to)
			}
			return
		}
	}
}

// await waits until bytes may go on.
func (p *proxy) await(blocked treatment) {
	for {
		p.mu.Lock()
		how, changed := p.how, p.changed
		p.mu.Unlock()
		switch {
		case how == mute || blocked != pass && how == blocked:
			<-changed
		case how == slow:
			time.Sleep(slowBy)
			return
		default:
			return
		}
	}
}
