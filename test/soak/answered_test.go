package soak_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	// lossSlack is how long after it was sent a request may still cross the close of its connection.
	lossSlack = 200 * time.Millisecond
	// callerDeadline is how long callers wait, as their requests say, and deadlineSlack how much earlier a request may
	// reach its deadline by the clock of a gateway.
	callerDeadline = 8 * time.Second
	deadlineSlack  = 50 * time.Millisecond
	// lateStop is how long after SIGTERM a gateway may cut off what still runs.
	lateStop = graceTime * 5 / 6
)

// runKept sends requests for the plain service on a connection that rests between them about as long as the idle
// limit allows, until ctx ends. Some have a head above the smaller limit.
func (c *callers) runKept(ctx context.Context, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 15))
	client := http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: 12 * time.Second}
	defer client.CloseIdleConnections()
	n := c.nodes[seed%uint64(len(c.nodes))]
	for i := 0; ctx.Err() == nil; i++ {
		if c.isReady(n) {
			id := fmt.Sprintf("k%d-%d", seed, i)
			ex := exchange{id: id, path: pathPrefixes[i%2] + id, key: c.backends.key(r), node: n, parts: parts(id)}
			if r.IntN(8) == 0 {
				ex.parts = parts(strings.Repeat("a", 3000))
			}
			c.add(c.send(&client, ex, id))
		}
		rest := time.Duration(r.IntN(1200)) * time.Millisecond
		if r.IntN(2) == 0 {
			rest = min(c.backends.idleLimit()*time.Duration(75+r.IntN(30))/100, 1200*time.Millisecond)
		}
		n.awaitRest(rest, time.Duration(r.IntN(200))*time.Millisecond)
	}
}

// awaitRest waits for a duration, or until a delay after the process has been suspended: connections then rest for longer
// than a short idle limit with a request unread.
func (n *node) awaitRest(rest, delay time.Duration) {
	for end := time.Now().Add(rest); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if n.suspended.Load() {
			time.Sleep(delay)
			return
		}
	}
}

// runLong sends requests with long bodies, part by part, until ctx ends.
func (c *callers) runLong(ctx context.Context, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 16))
	for i := 0; ctx.Err() == nil; i++ {
		n := c.nodes[r.IntN(len(c.nodes))]
		if c.isReady(n) {
			id := fmt.Sprintf("l%d-%d", seed, i)
			ex := exchange{id: id, path: pathPrefixes[i%2] + id, key: c.backends.key(r), node: n, parts: parts(id)}
			size := 1000 + r.IntN(80000)
			if r.IntN(3) == 0 {
				size = 300000 + r.IntN(500000) // above all limits; net/http does not read all of it
			}
			c.add(c.sendSlowly(ex, strings.Repeat(id+" ", size/len(id)), time.Duration(r.IntN(700))*time.Millisecond))
		}
		time.Sleep(time.Duration(r.IntN(200)) * time.Millisecond)
	}
}

// sendSlowly sends a request on a connection of its own, its body part by part within a duration, and reads the response
// meanwhile. It sends the rest of the body also when a response arrives before.
func (c *callers) sendSlowly(asked exchange, body string, within time.Duration) (ex exchange) {
	const count = 10
	ex = asked
	ex.payload, ex.at = body, time.Now()
	ex.incarnation, ex.stop = ex.node.state()
	defer func() { ex.ended = time.Now() }()
	conn, err := net.Dial("tcp", ex.node.caller)
	if err != nil {
		ex.err = err
		return ex
	}
	defer conn.Close() //nolint:errcheck // read to its end
	_ = conn.SetDeadline(time.Now().Add(12 * time.Second))
	sent := make(chan time.Time, 1)
	go func() {
		_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Token %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n"+
			"X-Prefix-Hash: %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n",
			ex.path, host, ex.key, ex.id, callerDeadline.Milliseconds(), ex.parts, len(body))
		for rest := body; err == nil && rest != ""; time.Sleep(within / count) {
			n := min(len(body)/count+1, len(rest))
			_, err = io.WriteString(conn, rest[:n])
			rest = rest[n:]
		}
		if err != nil {
			sent <- time.Time{}
			return
		}
		sent <- time.Now()
	}()
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		var text []byte
		text, err = io.ReadAll(answer.Body)
		ex.status, ex.body = answer.StatusCode, string(text)
	}
	ex.whole, ex.err = err == nil, err
	if !ex.whole {
		_ = conn.Close() // ends the sender
	}
	ex.sent = <-sent
	ex.cutShort = ex.sent.IsZero()
	return ex
}

// checkAnswered checks that each request that was written whole has got a whole response, or has crossed the close of
// its connection: then it has not been passed on. A response may be broken off, or a failure, only where its endpoint
// did not answer, its time was over, or its gateway was killed.
func (w *world) checkAnswered(c *callers) {
	statuses, excuses, crossed := make(map[int]int), make(map[string]int), 0
	for _, s := range c.all {
		statuses[s.status]++
		late := s.sent.IsZero() || s.ended.Sub(s.sent) > lossSlack
		fault, excuse := "", ""
		if s.whole && s.status == http.StatusOK {
			continue
		}
		if s.sent.IsZero() && !s.cutShort {
			excuses["not written"]++
			continue
		}
		switch excuse = w.excuse(s); {
		case excuse != "":
			excuses[excuse]++
		case s.whole:
			fault = w.rejection(s)
		case s.status == 0 && !late && w.arrivals(s.id) == 0:
			crossed++
		case s.status == 0 && s.cutShort:
			fault = "a caller that still sends its body got no answer"
		default:
			fault = "a request got no whole answer"
		}
		if fault != "" {
			assert.Fail(w.t, fault, "%s %s at %s, sent %s, written %s and ended %s after, %d arrivals, %d runs, %d broken by endpoints, status %d, %d bytes: %v\n%s", s.id, s.path,
				s.node.name, s.at.Format("15:04:05.000"), s.sent.Sub(s.at), s.ended.Sub(s.at), w.arrivals(s.id), w.runs(s.id), w.broken(s), s.status, len(s.body), s.err, w.logged(s.id))
		}
	}
	w.t.Logf("responses by status: %v; without a whole answer: %v; %d crossed the close of their connections", statuses, excuses, crossed)
}

// rejection describes what is wrong with a whole response other than a success, empty if nothing is.
func (w *world) rejection(s exchange) string {
	b := w.backends
	_, revoked := b.revoked[s.key]
	granted := b.granted[s.key]
	allowed := false
	switch s.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		allowed = true
	case http.StatusUnauthorized:
		allowed = revoked || s.at.Before(granted.Add(reconnectBound))
	case http.StatusNotFound:
		allowed = b.everDropped[s.prefix()]
	case http.StatusRequestEntityTooLarge:
		allowed = len(s.payload) > 20000
	case http.StatusRequestHeaderFieldsTooLarge:
		allowed = len(s.parts) > 1500
	}
	if allowed {
		return ""
	}
	return "a request was rejected or failed"
}

// excuse tells why a request may remain without a whole answer: its gateway was killed or reached the end of its
// time to stop, its time was over, or its endpoint broke the answer off and it may not run again. It returns "" if it
// may not.
func (w *world) excuse(s exchange) string {
	s.node.mu.Lock()
	defer s.node.mu.Unlock()
	killed, stopped := s.node.kills[s.incarnation], s.node.stops[s.incarnation]
	if !s.whole && !killed.IsZero() && killed.Before(s.ended.Add(lossSlack)) {
		return "gateway killed"
	}
	if !s.whole && !stopped.IsZero() && s.ended.Sub(stopped) > lateStop {
		return "time to stop over"
	}
	if s.whole && s.status < http.StatusInternalServerError || s.status == http.StatusServiceUnavailable {
		return ""
	}
	if s.status != 0 && s.ended.Sub(s.at) >= w.backends.timeoutAt(s.at)-deadlineSlack {
		return "deadline"
	}
	switch broken, log := w.broken(s), w.logged(s.id); {
	case broken == 0:
		return ""
	case !s.retryable():
		return "broken off, not retryable"
	case broken >= routeAttempts:
		return "broken off, no attempts left"
	case strings.Contains(log, "retry budget"):
		return "broken off, no retry budget"
	case strings.Contains(log, `"reason":"endpoints take no more requests`):
		return "broken off, others are limited"
	}
	return ""
}

// arrivals returns how often a request arrived at endpoints.
func (w *world) arrivals(id string) int {
	if w.arrived == nil {
		w.arrived = make(map[string]int)
		for _, e := range w.backends.all {
			for _, r := range e.Seen() {
				w.arrived[r.Header.Get("X-Request-Id")]++
			}
		}
	}
	return w.arrived[id]
}

// broken returns how many answers to a request endpoints have broken off. An endpoint that ended before it had read
// the request knows nothing of it; the gateway's log has its address.
func (w *world) broken(s exchange) int {
	n, log := 0, w.logged(s.id)
	for _, e := range w.backends.all {
		ended := e.Stopped().After(s.at) && e.Stopped().Before(s.ended) && strings.Contains(log, e.Address())
		if broke := e.Broke(s.id); broke > 0 || !ended {
			n += broke
		} else {
			n++
		}
	}
	return n
}

// logged returns all lines of the gateways' logs with the ID of a request.
func (w *world) logged(id string) string {
	var b strings.Builder
	paths, _ := filepath.Glob(filepath.Join(w.dir, "*.log")) // the pattern is valid
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return err.Error()
		}
		for line := range bytes.Lines(text) {
			if bytes.Contains(line, []byte(`"`+id+`"`)) {
				fmt.Fprintf(&b, "%s: %s", filepath.Base(path), line)
			}
		}
	}
	return b.String()
}

// TestUnansweredRequestHasNoEnd guards against a request without an answer that counts as closed at once, so that it
// seems to have crossed the close of its connection however late that was.
func TestUnansweredRequestHasNoEnd(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close() //nolint:errcheck // a test's listener
	go func() {
		if conn, err := listener.Accept(); err == nil {
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_ = conn.Close()
		}
	}()
	ex := new(callers).send(&http.Client{}, exchange{id: "a", path: "/plan/a", node: &node{caller: listener.Addr().String()}}, "a")
	require.Error(t, ex.err)
	assert.True(t, ex.ended.After(ex.at))
}
