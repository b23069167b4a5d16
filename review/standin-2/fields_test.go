//go:build review

package standin_test

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Numbers and times of the case "fields".
const (
	// fieldConns is the number of connections of the client.
	fieldConns = 250
	// headBytes is the size of what is sent of each head.
	headBytes = 60000
	// fieldsFor is how long the client stays.
	fieldsFor = 12 * time.Second
)

// shortFields returns header lines of a number of bytes in all, with as many fields as fit.
func shortFields(size int) string {
	const signs = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b strings.Builder
	for i := 0; b.Len()+8 <= size; i++ {
		name := string([]byte{signs[i%26], signs[i/26%36], signs[i/26/36%36]})
		b.WriteString(name + ":\r\n")
	}
	return b.String()
}

// fields plays a client that nobody controls, which has no key: it sends heads of many short fields on many connections,
// and ends none of them.
func fields(w *world, trouble bool) (bool, error) {
	g, err := w.small()
	if err != nil {
		return false, err
	}
	extra := shortFields(headBytes - 300)
	stop := make(chan struct{})
	var crowd sync.WaitGroup
	var open, bytes atomic.Int64
	if trouble {
		w.rec.note("each head has %d fields", strings.Count(extra, "\n"))
		for i := range fieldConns {
			crowd.Go(func() {
				dripHeads(g.caller, fmt.Sprint("/freeze/", i), extra, stop, &open, &bytes)
			})
		}
	}
	until, most, served, tried := time.Now().Add(fieldsFor), 0, 0, 0
	for n := 0; time.Now().Before(until) && !g.hasEnded(); n++ {
		r := request{method: "GET", path: fmt.Sprint("/freeze/", n), id: fmt.Sprint("ordinary-", n), key: ownKey, deadline: 600 * time.Millisecond}
		got := ask(g.caller, r)
		w.rec.line("request %s on a new channel: %v", r.id, got)
		if tried++; got.status == 200 {
			served++
		}
		now, peak := g.memoryMB()
		most = max(most, peak)
		w.rec.line("%d connections of the client are open; %d MB, peak %d MB", open.Load(), now, peak)
		time.Sleep(300 * time.Millisecond)
	}
	close(stop)
	crowd.Wait()
	w.rec.note("the process took up to %d MB; its machine has %d MB; %d of %d requests of a consumer were served; ended %v",
		most, smallFront.memory, served, tried, g.hasEnded())
	return most > smallFront.memory || g.hasEnded(), nil
}

// dripBodies sends the head of a request, and then its body a byte at a time, again and again on new connections.
func dripBodies(address, path string, stop chan struct{}, open, bytes *atomic.Int64) {
	for n := 0; again(stop); n++ {
		r := request{method: "POST", path: path, id: fmt.Sprintf("crowd%s-%d", path, n), body: dripBody, deadline: time.Minute}
		dripOn(address, r.head(), stop, open, bytes)
	}
}

// dripHeads sends a head without its end, and then goes on a byte at a time, again and again on new connections.
func dripHeads(address, path, extra string, stop chan struct{}, open, bytes *atomic.Int64) {
	text := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\n%sX-Long: ", path, hostName, extra)
	for again(stop) {
		dripOn(address, text, stop, open, bytes)
	}
}

// again waits a moment, and reports whether the client goes on.
func again(stop chan struct{}) bool {
	select {
	case <-stop:
		return false
	case <-time.After(20 * time.Millisecond):
		return true
	}
}

// dripOn opens a connection, sends a text, and then a byte at a time until the connection ends.
func dripOn(address, text string, stop chan struct{}, open, bytes *atomic.Int64) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer c.Close() //nolint:errcheck // a client that leaves
	open.Add(1)
	defer open.Add(-1)
	_, err = c.Write([]byte(text))
	for err == nil {
		select {
		case <-stop:
			return
		case <-time.After(dripEvery):
		}
		bytes.Add(1)
		_, err = c.Write([]byte("x"))
	}
}
