//go:build review

package standin_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// channel is a kept connection of a caller to a gateway. It carries one request at a time.
type channel struct {
	conn   net.Conn
	reader *bufio.Reader
}

// open opens a connection to a gateway.
func open(address string) (*channel, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// close closes the connection.
func (c *channel) close() { _ = c.conn.Close() }

// request is a request of a caller.
type request struct {
	id, key, body string
	// patience is how long the caller waits.
	patience time.Duration
}

// answer is what a caller got: a status, or 0 if no answer came while it waited.
type answer struct {
	request
	status int
	seal   string
	// sent is when the request was sent, took how long its end took.
	sent time.Time
	took time.Duration
	err  error
}

// do sends a request and waits for its answer.
func (c *channel) do(q request) answer {
	a := answer{request: q, sent: time.Now()}
	var b strings.Builder
	fmt.Fprintf(&b, "POST %s%s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n",
		prefix, q.id, host, q.id, q.patience.Milliseconds(), len(q.body))
	if q.key != "" {
		b.WriteString("Authorization: Token " + q.key + "\r\n")
	}
	b.WriteString("\r\n" + q.body)
	_ = c.conn.SetDeadline(a.sent.Add(q.patience)) // fails only on a closed connection
	_, a.err = io.WriteString(c.conn, b.String())
	if a.err == nil {
		a.status, a.seal, a.err = c.read()
	}
	a.took = time.Since(a.sent)
	return a
}

// read reads the whole answer, and returns its status and the runner's seal.
func (c *channel) read() (int, string, error) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", err
	}
	if _, err := io.ReadAll(response.Body); err != nil {
		return 0, "", err
	}
	return response.StatusCode, response.Header.Get("X-Response-Seal"), response.Body.Close()
}

// stream sends a request for a stream of some events, and reports whether the whole of it came.
func (c *channel) stream(q request, events int) (whole bool, got int) {
	_ = c.conn.SetDeadline(time.Now().Add(q.patience)) // fails only on a closed connection
	_, err := fmt.Fprintf(c.conn, "POST %s%s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Model: plans\r\n"+
		"X-Token-Usage: 10,%d\r\nAuthorization: Token %s\r\nContent-Length: %d\r\n\r\n%s",
		modelPrefix, q.id, host, q.id, q.patience.Milliseconds(), events, q.key, len(q.body), q.body)
	if err != nil {
		return false, 0
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil || response.StatusCode != http.StatusOK {
		return false, 0
	}
	text, err := io.ReadAll(response.Body)
	got = strings.Count(string(text), "data:")
	return err == nil && got == events, got
}

// String describes the answer for the record.
func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("%s with key %q got no answer in %.3f s: %v", a.id, a.key, a.took.Seconds(), a.err)
	}
	return fmt.Sprintf("%s with key %q got %d, seal %q, after %.3f s", a.id, a.key, a.status, a.seal, a.took.Seconds())
}
