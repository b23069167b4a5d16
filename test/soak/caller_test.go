package soak_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/grademill/grademill/standin/site"
)

// sent is one request of a caller and what it was told.
type sent struct {
	id, path, key string
	at, ended     time.Time
	status        int
	body          string
	// whole is set when the answer came to its end.
	whole  bool
	events int
	node   *node
	// life is that of the gateway's process, stop when it was told to stop.
	life int
	stop time.Time
}

// callers send requests to the gateways that are ready, and keep their connections
// open as long as they can.
type callers struct {
	backs *backs
	nodes []*node

	mu    sync.Mutex // guards what follows
	ready map[*node]bool
	all   []sent
}

// poll asks the gateways whether they are ready, until ctx ends. As the balancer
// does, it takes one out after two questions in a row without an answer.
func (c *callers) poll(ctx context.Context, n *node) {
	missed := 0
	for ctx.Err() == nil {
		if n.isReady() {
			missed = 0
		} else {
			missed++
		}
		c.mu.Lock()
		c.ready[n] = missed < 2
		c.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
	}
}

// kinds are the paths that callers ask for.
var kinds = []string{"/renew/", "/freeze/", "/plan/", "/once/", "/plan/"}

// run sends requests one after the other until ctx ends.
func (c *callers) run(ctx context.Context, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 7))
	client := http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: 12 * time.Second}
	defer client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		n := c.nodes[r.IntN(len(c.nodes))]
		c.mu.Lock()
		ready := c.ready[n]
		c.mu.Unlock()
		if ready {
			one := c.ask(&client, n, r, fmt.Sprintf("c%d-%d", seed, i))
			c.mu.Lock()
			c.all = append(c.all, one)
			c.mu.Unlock()
		}
		time.Sleep(time.Duration(r.IntN(60)) * time.Millisecond)
	}
}

// deadly is the body of a request that ends each endpoint that begins to run it.
const deadly = "ends who runs it"

// repeat sends the deadly request again and again, under another ID and to any gateway, until
// ctx ends.
func (c *callers) repeat(ctx context.Context, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 8))
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 12 * time.Second}
	for i := 0; ctx.Err() == nil; i++ {
		n := c.nodes[r.IntN(len(c.nodes))]
		c.mu.Lock()
		ready := c.ready[n]
		c.mu.Unlock()
		if ready {
			one := sent{id: fmt.Sprintf("d%d-%d", seed, i), path: "/plan/again", key: c.backs.key(r), events: 20, node: n}
			c.send(&client, one, deadly)
		}
		time.Sleep(time.Duration(100+r.IntN(500)) * time.Millisecond)
	}
}

// ask sends one request and reads the answer.
func (c *callers) ask(client *http.Client, n *node, r *rand.Rand, id string) sent {
	return c.send(client, sent{
		id: id, path: kinds[r.IntN(len(kinds))] + id, key: c.backs.key(r), events: 5 + r.IntN(60), node: n,
	}, id)
}

// send sends a request with a body and returns it with what it was told.
func (c *callers) send(client *http.Client, one sent, body string) sent {
	n, id := one.node, one.id
	one.life, one.stop = n.state()
	request, err := http.NewRequest("POST", "http://"+n.caller+one.path, bytes.NewBufferString(body))
	if err != nil {
		panic(err) // the parts are constants
	}
	request.Host = host
	request.Header.Set("Authorization", "Token "+one.key)
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", "8000")
	request.Header.Set("X-Token-Usage", fmt.Sprintf("10,%d", one.events))
	// The client must not send a request twice by itself.
	request.GetBody = nil
	one.at = time.Now()
	defer func() { one.ended = time.Now() }()
	answer, err := client.Do(request)
	if err != nil {
		return one
	}
	defer answer.Body.Close() //nolint:errcheck // read to its end
	text, err := io.ReadAll(answer.Body)
	one.status, one.body, one.whole, one.ended = answer.StatusCode, string(text), err == nil, time.Now()
	if answer.StatusCode == http.StatusOK && answer.Header.Get("X-Response-Seal") == "" {
		one.body = "unsigned: " + one.body
	}
	return one
}

// want returns the whole body of the answer to a request.
func (s sent) want() string {
	if strings.HasPrefix(s.path, "/plan/") || strings.HasPrefix(s.path, "/once/") {
		var b strings.Builder
		for n := 1; n <= s.events; n++ {
			b.WriteString(site.Event(n))
		}
		return b.String()
	}
	return site.Echo("POST", s.path, []byte(s.id))
}

// repeats reports whether a request may run more than once.
func (s sent) repeats() bool {
	return strings.HasPrefix(s.path, "/plan/") || strings.HasPrefix(s.path, "/freeze/")
}
