package soak_test

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// A linkCondition is the fault that a proxy simulates on its connections.
type linkCondition int

const (
	// pass forwards bytes both ways.
	pass linkCondition = iota
	// slow delays each chunk of bytes.
	slow
	// silent forwards nothing either way but keeps connections open.
	silent
	// repliesOnly forwards bytes only from the server to the client.
	repliesOnly
	// reset resets open and new connections.
	reset
	// lost is like silent, and most new connections are not even accepted.
	lost
)

// slowDelay is how long a slow proxy delays each chunk.
const slowDelay = 60 * time.Millisecond

// proxy is a loopback TCP proxy in front of one server, with simulated faults.
type proxy struct {
	address  string
	target   string
	listener net.Listener

	mu        sync.Mutex // guards the fields below
	condition linkCondition
	changed   chan struct{}
	conns     map[net.Conn]bool
}

// newProxy starts a proxy in front of a server.
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
			go p.forward(c)
			p.awaitPath()
		}
	}()
	return p, nil
}

// refuse makes the link refuse new connections from now on, like a host after its process has exited.
func (p *proxy) refuse() {
	_ = p.listener.Close() // open connections end with the server
}

// setCondition changes the condition of all connections, open and new ones.
func (p *proxy) setCondition(condition linkCondition) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.condition = condition
	close(p.changed)
	p.changed = make(chan struct{})
	p.limitBacklog(condition)
	if condition != reset {
		return
	}
	for c := range p.conns {
		resetConn(c)
	}
}

// limitBacklog bounds the connections that wait to be accepted to one while the link is lost.
func (p *proxy) limitBacklog(condition linkCondition) {
	backlog := 1024
	if condition == lost {
		backlog = 0
	}
	if raw, err := p.listener.(*net.TCPListener).SyscallConn(); err == nil { // closed otherwise
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), backlog) })
	}
}

// awaitPath waits while the link is lost.
func (p *proxy) awaitPath() {
	for {
		p.mu.Lock()
		condition, changed := p.condition, p.changed
		p.mu.Unlock()
		if condition != lost {
			return
		}
		<-changed
	}
}

// resetConn closes a connection with a TCP reset.
func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// forward forwards one connection until either side closes it.
func (p *proxy) forward(client net.Conn) {
	defer client.Close() //nolint:errcheck // a proxy's connection
	p.mu.Lock()
	condition := p.condition
	p.conns[client] = true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.conns, client)
		p.mu.Unlock()
	}()
	if condition == reset {
		resetConn(client)
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		resetConn(client)
		return
	}
	defer server.Close() //nolint:errcheck // a proxy's connection
	done := make(chan struct{}, 2)
	go func() { p.pump(server, client, repliesOnly); done <- struct{}{} }()
	go func() { p.pump(client, server, pass); done <- struct{}{} }()
	<-done
}

// pump copies bytes one way and holds them back while the condition is silent, or equals blocked. With
// blocked set to pass, only silent holds them back.
func (p *proxy) pump(to, from net.Conn, blocked linkCondition) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		p.await(blocked)
		if _, werr := to.Write(buffer[:n]); werr != nil || err != nil {
			if err != nil && err != io.EOF {
				resetConn(to)
			}
			return
		}
	}
}

// await waits until the condition lets bytes pass.
func (p *proxy) await(blocked linkCondition) {
	for {
		p.mu.Lock()
		condition, changed := p.condition, p.changed
		p.mu.Unlock()
		switch {
		case condition == silent || condition == lost || blocked != pass && condition == blocked:
			<-changed
		case condition == slow:
			time.Sleep(slowDelay)
			return
		default:
			return
		}
	}
}
