// Package upstream is the HTTP/1.1 client for endpoints; each error says whether the request
// may have reached the endpoint. A Pool reuses connections and sends one request at a time on
// each: call Do, read the Answer, and Close it.
package upstream

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/grademill/grademill/adapter/readlimit"
	"github.com/grademill/grademill/adapter/responseconn"
)

// Limits on connections.
const (
	// dialTimeout bounds the dial. Hosts are a few milliseconds apart, and a lost SYN is
	// retransmitted after a second.
	dialTimeout = 1200 * time.Millisecond
	// keepAliveMargin is how long before the endpoint's own idle timeout a connection is no
	// longer reused.
	keepAliveMargin = 800 * time.Millisecond
	// defaultIdle is the maximum idle time if the endpoint sends no Keep-Alive timeout.
	defaultIdle = 4 * time.Second
	// readBuffer is the size in bytes of a connection's read buffer: enough for the head of
	// a response and a few events. It also bounds the line of a chunk's size, and the trailers.
	readBuffer = 2048
)

// Pool keeps idle connections to endpoints. The zero Pool is ready to use.
type Pool struct {
	// OnDial, if set, is called for each new connection.
	OnDial func()

	mu   sync.Mutex
	idle map[string][]*conn
	// large is the budget for large bodies, in bytes; nil until the first one.
	large *semaphore.Weighted
}

// conn is one connection. It carries one request at a time.
type conn struct {
	*responseconn.Conn
	// limited bounds what reader reads from the connection.
	limited *readlimit.Reader
	reader  *bufio.Reader
	// idleSince is when the connection was returned to the pool, expires when it may no longer
	// be reused.
	idleSince, expires time.Time
}

// take returns a connection to address: a pooled one that has been idle for less than maxIdle,
// or a new one.
func (p *Pool) take(ctx context.Context, address string, maxIdle time.Duration) (*conn, error) {
	now := time.Now()
	for {
		c := p.pop(address)
		if c == nil {
			break
		}
		if now.Before(c.expires) && now.Sub(c.idleSince) < maxIdle && c.reusable() {
			return c, nil
		}
		_ = c.Close()
	}
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if p.OnDial != nil {
		p.OnDial()
	}
	checked := &responseconn.Conn{Conn: raw}
	limited := &readlimit.Reader{Source: checked}
	return &conn{Conn: checked, limited: limited, reader: bufio.NewReaderSize(limited, readBuffer)}, nil
}

// pop removes and returns the connection to address that was returned last, nil if there is
// none.
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

// put returns a connection to the pool, for reuse within maxIdle.
func (p *Pool) put(address string, c *conn, maxIdle time.Duration) {
	if maxIdle <= 0 {
		_ = c.Close()
		return
	}
	c.idleSince = time.Now()
	c.expires = c.idleSince.Add(maxIdle)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[string][]*conn)
	}
	p.idle[address] = append(p.idle[address], c)
}

// sweepInterval is the interval between checks for expired connections.
const sweepInterval = time.Second

// Run calls Sweep regularly until ctx ends.
func (p *Pool) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
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

// Sweep closes the idle connections that have expired at now, and those that the endpoint has closed or
// on which it sends bytes that nobody waits for: they would stay in the buffer of the connection, which
// counts as memory of the process.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expires) && c.reusable() {
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

// CloseIdle closes the idle connections to the address of an endpoint that has gone.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		_ = c.Close()
	}
	delete(p.idle, address)
}
