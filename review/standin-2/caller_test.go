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

// request is what a consumer sends.
type request struct {
	method, path, id, key, body string
	deadline                    time.Duration
	// extra holds further header lines.
	extra string
}

// head returns the head of the request.
func (r request) head() string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n",
		r.method, r.path, hostName, r.id, r.deadline.Milliseconds())
	if r.key != "" {
		text += "Authorization: Token " + r.key + "\r\n"
	}
	if r.body != "" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	}
	return text + r.extra + "\r\n"
}

// answer is what a consumer got.
type answer struct {
	status int
	sealed bool
	body   string
	err    error
	took   time.Duration
}

// String returns the answer as the record has it.
func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no answer after %d ms: %v", a.took.Milliseconds(), a.err)
	}
	return fmt.Sprintf("%d after %d ms, sealed %v: %s", a.status, a.took.Milliseconds(), a.sealed, strings.TrimSpace(a.body[:min(len(a.body), 60)]))
}

// ask sends a request on a new channel, and reads the answer until the deadline of the request.
func ask(address string, r request) answer {
	begun := time.Now()
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err, took: time.Since(begun)}
	}
	defer c.Close() //nolint:errcheck // all has been read
	return exchange(c, bufio.NewReader(c), r, begun)
}

// exchange sends a request on a channel, and reads the answer until the deadline of the request.
func exchange(c net.Conn, from *bufio.Reader, r request, begun time.Time) answer {
	_ = c.SetDeadline(begun.Add(r.deadline)) // fails only once it is closed
	if _, err := io.WriteString(c, r.head()+r.body); err != nil {
		return answer{err: err, took: time.Since(begun)}
	}
	got, err := http.ReadResponse(from, &http.Request{Method: r.method})
	if err != nil {
		return answer{err: err, took: time.Since(begun)}
	}
	text, err := io.ReadAll(got.Body)
	return answer{
		status: got.StatusCode, sealed: got.Header.Get("X-Response-Seal") != "", body: string(text), err: err, took: time.Since(begun),
	}
}
