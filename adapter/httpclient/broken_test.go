package httpclient_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/adapter/servicehttp"
	"github.com/grademill/grademill/port/service"
	"github.com/grademill/grademill/standin/broken"
)

// bodies are bodies of answers that the calls accept.
var bodies = map[string]string{"service": "whole", "engine": "", "store": "{}", "host list": "[]", "watch": "[]"}

// Guards against an answer that is not well-formed and that an agent or an entry takes for one of an engine, a service or
// the store.
func TestBrokenAnswersAreNoAnswers(t *testing.T) {
	for name, c := range calls {
		body := bodies[name]
		sound := broken.Answer("HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
			broken.Chunks(body) + "0\r\nX: y\r\n\r\n")
		requireCall(t, sound, func(base string) { require.NoError(t, c.call(t.Context(), base), name) })
		for kind, answer := range broken.All(body) {
			t.Run(name+"/"+kind, func(t *testing.T) {
				requireCall(t, answer, func(base string) { require.Error(t, c.call(t.Context(), base), "%q", answer) })
			})
		}
	}
}

// requireCall makes a call of a server that answers with an answer.
func requireCall(t *testing.T, answer broken.Answer, call func(base string)) {
	address, stop, err := answer.Start()
	require.NoError(t, err)
	defer stop()
	call("http://" + address)
}

// answerEarly starts a service that answers requests before their ends, without a length, and then calls end. It returns a
// client of the service.
func answerEarly(t *testing.T, end func(c *net.TCPConn, body io.Reader)) *servicehttp.Client {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close() //nolint:errcheck // a test's connection
				if request, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nearly")
					end(c.(*net.TCPConn), request.Body)
				}
			}()
		}
	}()
	return &servicehttp.Client{Base: "http://" + listener.Addr().String()}
}

// upload is a request that waits for its service to read.
var upload = service.Request{Method: "POST", Path: "/", Body: []byte(strings.Repeat("0123456789", 800_000))}

// Guards against a part of an answer that looks whole: the reset of the connection was reported to the goroutine that wrote
// the request.
func TestServiceThatResetsDuringUpload(t *testing.T) {
	client := answerEarly(t, func(c *net.TCPConn, body io.Reader) {
		_, _ = io.CopyN(io.Discard, body, 1<<20)
		_ = c.SetLinger(0)
	})
	for range 200 {
		reply, err := client.Do(t.Context(), upload)
		require.Error(t, err, "%q was taken for the whole body", reply.Body)
	}
}

// An answer that comes before the end of its request is whole if the service reads on.
func TestServiceThatAnswersBeforeTheEndOfAnUpload(t *testing.T) {
	client := answerEarly(t, func(c *net.TCPConn, body io.Reader) {
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, body)
	})
	for range 20 {
		reply, err := client.Do(t.Context(), upload)
		require.NoError(t, err)
		require.Equal(t, "early", string(reply.Body))
	}
}
