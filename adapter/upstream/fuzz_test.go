package upstream_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/adapter/upstream"
	"github.com/grademill/grademill/decide/responsehead"
	"github.com/grademill/grademill/standin/broken"
)

// The bounds must not change how an answer within them is read: it is the one that net/http reads without them, if its heads
// and trailers are well-formed.
func FuzzAnswer(f *testing.F) {
	for _, kind := range endlessHeads {
		f.Add([]byte(kind.prefix + kind.text))
	}
	for _, kind := range endlessBodies {
		f.Add([]byte(kind.prefix + kind.text))
	}
	f.Add([]byte(ok))
	f.Add([]byte("HTTP/1.1 103 Early\r\n\r\n" + ok))
	f.Add([]byte(chunked + "5\r\nwhole\r\n0\r\nX: y\r\n\r\n"))
	for _, answer := range broken.All("whole") {
		f.Add([]byte(answer))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) > maxHead {
			return
		}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer listener.Close() //nolint:errcheck // a test's listener
		go func() {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			defer c.Close() //nolint:errcheck // a test's connection
			if request, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = c.Write(data)
			}
		}()
		c := call(listener.Addr().String())
		c.Matches = nil
		body, err := get(new(upstream.Pool), c)
		want, wantErr := reference(data)
		require.Equal(t, wantErr == nil, err == nil, "%v, %v", wantErr, err)
		if err == nil {
			require.Equal(t, want, body)
		}
	})
}

// reference reads an answer without bounds.
func reference(data []byte) (string, error) {
	source := bytes.NewReader(data)
	r := bufio.NewReaderSize(source, 2048)
	for {
		var head responsehead.Checker
		if _, err := head.Check(data[len(data)-source.Len()-r.Buffered():]); err != nil {
			return "", err
		}
		answer, err := http.ReadResponse(r, &http.Request{Method: "POST"})
		if err != nil {
			return "", err
		}
		if answer.StatusCode < http.StatusOK {
			continue
		}
		if answer.ContentLength > maxBody {
			return "", errors.New("larger than the bound")
		}
		body, err := io.ReadAll(answer.Body)
		if err != nil {
			return "", err
		}
		return string(body), responsehead.CheckTrailers(answer.Trailer)
	}
}
