package soak_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/grademill/grademill/standin/site"
)

// exchange is one request of a caller and the response that the caller received.
type exchange struct {
	id, path, key string
	// parts are the parts of the prompt, as the header states them.
	parts     string
	at, ended time.Time
	status    int
	body      string
	// payload is the body of the request.
	payload string
	// whole is set when the response body was read to its end.
	whole bool
	// sent is when the whole request had been written, zero if it was not; err is why there is no response.
	sent time.Time
	err  error
	// cutShort is set if the connection failed before the whole body had been written.
	cutShort bool
	events   int
	node     *node
	// incarnation and stop are the state of the gateway process when the request was sent.
	incarnation int
	stop        time.Time
}

// callers send requests to the gateways that are ready, and reuse their
// connections for as long as possible.
type callers struct {
	backends *backends
	nodes    []*node

	// herd is the gateway to which all requests of run go, on new connections; nil for none.
	herd atomic.Pointer[node]

	mu    sync.Mutex // guards the fields below
	ready map[*node]bool
	all   []exchange
}

// poll checks the readiness of a gateway until ctx ends. Like the load balancer,
// it takes a gateway out of rotation after two failed checks in a row.
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

// isReady reports whether a gateway is in rotation.
func (c *callers) isReady(n *node) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ready[n]
}

// add records an exchange.
func (c *callers) add(ex exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, ex)
}

// pathPrefixes are the path prefixes of the routes that callers draw from; /plan/ is drawn twice as often.
var pathPrefixes = []string{"/renew/", "/freeze/", "/plan/", "/once/", "/plan/"}

// run sends requests one after another until ctx ends.
func (c *callers) run(ctx context.Context, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 7))
	client := http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: 12 * time.Second}
	defer client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		n := c.nodes[r.IntN(len(c.nodes))]
		if herd := c.herd.Load(); herd != nil {
			n = herd
			client.CloseIdleConnections()
		}
		if c.isReady(n) {
			c.add(c.ask(&client, n, r, fmt.Sprintf("c%d-%d", seed, i)))
		}
		time.Sleep(time.Duration(r.IntN(60)) * time.Millisecond)
	}
}

// poisonRequest is the body that crashes each endpoint that starts to run the request, and poisonPart the part of
// prompts that does.
const (
	poisonRequest = "ends who runs it"
	poisonPart    = "dead"
)

// parts returns the value of the header with the parts of a prompt: those given, and one of the request's own.
func parts(id string, shared ...string) string {
	return strings.Join(append(shared, id), ":10,") + ":10"
}

// sendPoison sends the poison request repeatedly, each time under a new ID and to
// a random gateway, until ctx ends. With a part, no two of the requests are alike, and all have the part.
func (c *callers) sendPoison(ctx context.Context, seed uint64, part string) {
	r := rand.New(rand.NewPCG(seed, 8))
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 12 * time.Second}
	for i := 0; ctx.Err() == nil; i++ {
		n := c.nodes[r.IntN(len(c.nodes))]
		if c.isReady(n) {
			id := fmt.Sprintf("d%d-%d", seed, i)
			ex := exchange{id: id, path: "/plan/again", key: c.backends.key(r), events: 20, node: n, parts: parts(id, "all", "half0")}
			body := poisonRequest
			if part != "" {
				ex.parts, body = parts(id, "all", "half0", part), id
			}
			c.send(&client, ex, body)
		}
		time.Sleep(time.Duration(100+r.IntN(500)) * time.Millisecond)
	}
}

// ask sends one random request and reads the response.
func (c *callers) ask(client *http.Client, n *node, r *rand.Rand, id string) exchange {
	return c.send(client, exchange{
		id: id, path: pathPrefixes[r.IntN(len(pathPrefixes))] + id, key: c.backends.key(r), events: 5 + r.IntN(60), node: n,
		parts: parts(id, "all", "half"+strconv.Itoa(len(id)%2)),
	}, id)
}

// send sends a request with a body and returns it together with the response.
func (c *callers) send(client *http.Client, asked exchange, body string) (ex exchange) {
	ex = asked
	n, id := ex.node, ex.id
	ex.payload = body
	ex.incarnation, ex.stop = n.state()
	request, err := http.NewRequest("POST", "http://"+n.caller+ex.path, bytes.NewBufferString(body))
	if err != nil {
		panic(err) // cannot fail: method and host are valid
	}
	request.Host = host
	request.Header.Set("Authorization", "Token "+ex.key)
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", "8000")
	request.Header.Set("X-Token-Usage", fmt.Sprintf("10,%d", ex.events))
	request.Header.Set("X-Prefix-Hash", ex.parts)
	// Without GetBody the client cannot resend a request on its own.
	request.GetBody = nil
	ex.at = time.Now()
	var sent atomic.Pointer[time.Time] // the transport may be writing when a response arrives
	defer func() {
		ex.ended = time.Now()
		if at := sent.Load(); at != nil {
			ex.sent = *at
		}
	}()
	trace := httptrace.ClientTrace{WroteRequest: func(i httptrace.WroteRequestInfo) {
		if now := time.Now(); i.Err == nil {
			sent.Store(&now)
		}
	}}
	answer, err := client.Do(request.WithContext(httptrace.WithClientTrace(context.Background(), &trace)))
	if err != nil {
		ex.err = err
		return ex
	}
	defer answer.Body.Close() //nolint:errcheck // read to its end
	text, err := io.ReadAll(answer.Body)
	ex.status, ex.body, ex.whole, ex.err = answer.StatusCode, string(text), err == nil, err
	if answer.StatusCode == http.StatusOK && answer.Header.Get("X-Response-Seal") == "" {
		ex.body = "unsigned: " + ex.body
	}
	return ex
}

// want returns the complete body expected in the response to a request.
func (s exchange) want() string {
	if strings.HasPrefix(s.path, "/plan/") || strings.HasPrefix(s.path, "/once/") {
		var b strings.Builder
		for n := 1; n <= s.events; n++ {
			b.WriteString(site.Event(n))
		}
		return b.String()
	}
	return site.Echo("POST", s.path, []byte(s.payload))
}

// prefix returns the prefix of the request's path.
func (s exchange) prefix() string {
	return s.path[:strings.Index(s.path[1:], "/")+2]
}

// retryable reports whether a request may run more than once.
func (s exchange) retryable() bool {
	return strings.HasPrefix(s.path, "/plan/") || strings.HasPrefix(s.path, "/freeze/")
}
