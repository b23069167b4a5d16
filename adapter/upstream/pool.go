// Package upstream sends requests to endpoints over HTTP/1.1, one at a time on a
// connection, and says for each failure whether the request was sent.
package upstream

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"
)

// Bounds of connections.
const (
	// dialTimeout bounds the making of a connection: hosts are a few
	// milliseconds apart, and a lost opening packet is sent again after a
	// second.
	dialTimeout = 1200 * time.Millisecond
	// keepAliveMargin is how long before an endpoint's own bound a connection
	// is no longer used.
	keepAliveMargin = 800 * time.Millisecond
	// defaultIdle is how long a connection rests at most when the endpoint does
	// not say.
	defaultIdle = 4 * time.Second
	// readBuffer holds the head of an answer and a few events.
	readBuffer = 2048
)

// Pool keeps idle connections to endpoints. The zero Pool is ready to use.
type Pool struct {
	// Opened is called for each new connection, when it is set.
	Opened func()

	mu   sync.Mutex
	idle map[string][]*conn
}

// conn is one connection. It carries one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// since is when it was put back, until when it is no longer used.
	since, until time.Time
}

// take returns a connection to address: an idle one that has rested for less
// than rest, or else a new one.
func (p *Pool) take(ctx context.Context, address string, rest time.Duration) (*conn, error) {
	now := time.Now()
	for {
		c := p.pop(address)
		if c == nil {
			break
		}
		if now.Before(c.until) && now.Sub(c.since) < rest && c.quiet() {
			return c, nil
		}
		_ = c.Close()
	}
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if p.Opened != nil {
		p.Opened()
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer)}, nil
}

// pop takes the connection that was put back last.
func (p *Pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// put keeps a connection for later.
func (p *Pool) put(address string, c *conn, keep time.Duration) {
	if keep <= 0 {
		_ = c.Close()
		return
	}
	c.since = time.Now()
	c.until = c.since.Add(keep)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[string][]*conn)
	}
	p.idle[address] = append(p.idle[address], c)
}

// sweepEvery is how often idle connections are looked through.
const sweepEvery = time.Second

// Run closes idle connections that have rested too long until ctx ends.
func (p *Pool) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			p.Sweep(now)
		}
	}
}

// Sweep closes the connections that have rested too long.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.until) {
				kept = append(kept, c)
			} else {
				_ = c.Close()
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		clear(list[len(kept):])
		p.idle[address] = kept
	}
}

// Drop closes the idle connections to an address, whose endpoint has gone.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		_ = c.Close()
	}
	delete(p.idle, address)
}
