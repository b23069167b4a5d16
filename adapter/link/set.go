// Package link keeps the outgoing step connections of a process, one per peer, and batches
// messages: those queued while a frame is being written go out together in the next frame. Set
// the fields of a Set and queue messages by peer address; connections are opened as needed.
package link

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/grademill/grademill/adapter/frame"
	"github.com/grademill/grademill/wire"
)

// Protocol is the first byte on a connection that carries steps; it tells them from control
// connections on the same port.
const Protocol = 'S'

const (
	dialTimeout  = 2 * time.Second
	writeTimeout = 5 * time.Second
	// maxPending is the maximum number of messages queued for one peer; beyond it the
	// connection is closed.
	maxPending = 1 << 16
)

// Set holds the connections to all peers. Set the exported fields before the first use. A
// connection that breaks or cannot be opened loses the messages queued on it: Set calls
// OnDisconnect, and the next message opens a new connection.
type Set struct {
	// Name and Incarnation identify this process in the hello.
	Name        string
	Incarnation uint64
	// OnDisconnect is called when the connection to a peer breaks or cannot be opened,
	// without locks held.
	OnDisconnect func(address string)
	// Log receives a line for each connection that breaks or cannot be opened.
	Log zerolog.Logger

	mu     sync.Mutex
	peers  map[string]*peer
	closed bool
}

// Step queues a step for the process at address.
func (s *Set) Step(address string, m *wire.Step) {
	s.queue(address, func(b *wire.Batch) { b.Steps = append(b.Steps, m) })
}

// Token queues a token for the process at address.
func (s *Set) Token(address string, m *wire.Token) {
	s.queue(address, func(b *wire.Batch) { b.Tokens = append(b.Tokens, m) })
}

// Cancel queues a cancel for the process at address.
func (s *Set) Cancel(address string, m *wire.Cancel) {
	s.queue(address, func(b *wire.Batch) { b.Cancels = append(b.Cancels, m) })
}

// Trouble queues a trouble report for the process at address.
func (s *Set) Trouble(address string, m *wire.Trouble) {
	s.queue(address, func(b *wire.Batch) { b.Troubles = append(b.Troubles, m) })
}

// Heartbeat queues a heartbeat for the process at address.
func (s *Set) Heartbeat(address string, m *wire.Heartbeat) {
	s.queue(address, func(b *wire.Batch) { b.Heartbeats = append(b.Heartbeats, m) })
}

// News queues an update for the process at address.
func (s *Set) News(address string, m *wire.News) {
	s.queue(address, func(b *wire.Batch) { b.News = append(b.News, m) })
}

// Close closes all connections.
func (s *Set) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, p := range s.peers {
		p.cancel()
	}
}

func (s *Set) queue(address string, add func(*wire.Batch)) {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	p := s.peers[address]
	if p == nil {
		p = s.start(address)
	}
	full := p.count >= maxPending
	if !full {
		add(p.pending)
		p.count++
	}
	s.mu.Unlock()
	if full {
		p.cancel()
		return
	}
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// start creates the peer and starts its goroutine; s.mu is held.
func (s *Set) start(address string) *peer {
	ctx, cancel := context.WithCancel(context.Background())
	p := &peer{address: address, pending: new(wire.Batch), wake: make(chan struct{}, 1), cancel: cancel}
	if s.peers == nil {
		s.peers = make(map[string]*peer)
	}
	s.peers[address] = p
	go s.run(ctx, p)
	return p
}

// run sends p's messages until the connection breaks.
func (s *Set) run(ctx context.Context, p *peer) {
	err := p.send(ctx, s)
	p.cancel()
	s.mu.Lock()
	if s.peers[p.address] == p {
		delete(s.peers, p.address)
	}
	closed := s.closed
	s.mu.Unlock()
	if closed {
		return
	}
	level := zerolog.DebugLevel // the peer was never reached
	if p.connected {
		level = zerolog.InfoLevel
	}
	s.Log.WithLevel(level).Str("peer", p.address).AnErr("cause", err).Msg("step connection lost")
	if s.OnDisconnect != nil {
		s.OnDisconnect(p.address)
	}
}

// take returns the messages pending for p and leaves an empty batch in their place; nil if
// there are none.
func (s *Set) take(p *peer) *wire.Batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.count == 0 {
		return nil
	}
	batch := p.pending
	p.pending = new(wire.Batch)
	p.count = 0
	return batch
}

// peer is the connection to one peer.
type peer struct {
	address string
	// pending and count are guarded by the set's mutex.
	pending *wire.Batch
	count   int
	wake    chan struct{}
	cancel  context.CancelFunc
	// connected is set once the connection is established; only the goroutine of send uses
	// it.
	connected bool
}

// send opens the connection and writes batches until ctx ends or the connection breaks.
func (p *peer) send(ctx context.Context, s *Set) error {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return err
	}
	p.connected = true
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer conn.Close() //nolint:errcheck // the cause is what broke it
	if _, err := conn.Write([]byte{Protocol}); err != nil {
		return err
	}
	codec := frame.Codec{Stream: conn}
	hello := &wire.Hello{Version: frame.Version, Name: s.Name, Incarnation: s.Incarnation}
	if err := codec.Write(&wire.Batch{Hello: hello}); err != nil {
		return err
	}
	go p.watch(conn)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.wake:
		}
		for batch := s.take(p); batch != nil; batch = s.take(p) {
			_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			if err := codec.Write(batch); err != nil {
				return err
			}
		}
	}
}

// watch cancels the peer when the connection ends. The other side never writes, so a read
// returns only then.
func (p *peer) watch(conn net.Conn) {
	var b [1]byte
	_, _ = conn.Read(b[:])
	p.cancel()
}
