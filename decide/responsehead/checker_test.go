package responsehead_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/responsehead"
)

// check checks a response that arrives in pieces of a size. It returns the number of bytes that may be used.
func check(response string, size int) (used int, ended bool, err error) {
	var c responsehead.Checker
	for len(response) > 0 {
		piece := response[:min(size, len(response))]
		n, err := c.Check([]byte(piece))
		used += n
		if err != nil {
			return used, c.Ended(), err
		}
		response = response[len(piece):]
	}
	return used, c.Ended(), nil
}

func TestWellFormedHeads(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\n\n",
		"HTTP/1.1 200\r\n\r\n",
		"HTTP/1.1 599 \r\n\r\n",
		"HTTP/1.0 404 Not\tFound \xe9\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX:\r\nx-y:z\r\n!#$%&'*+-.^_`|~9Z: a b\tc \xff: \r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encodings: x\r\nTransfer: x\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
	} {
		for size := 1; size <= len(head); size++ {
			used, ended, err := check(head+"body: \x00\r\n\r\n", size)
			require.NoError(t, err, "%q", head)
			require.True(t, ended, "%q", head)
			require.Equal(t, len(head)+len("body: \x00\r\n\r\n"), used)
		}
		for cut := range len(head) {
			_, ended, err := check(head[:cut], cut+1)
			require.NoError(t, err)
			require.False(t, ended, "%q", head[:cut])
		}
	}
}

// The last byte of a malformed head must not be used, however the head arrives: its parser could take it for complete.
func TestMalformedHeads(t *testing.T) {
	for head, reason := range map[string]string{
		"\r\n\r\n":                                  "line 1: not a status line",
		"HTTP/1.1 20\r\n\r\n":                       "line 1: not a status line",
		"HTTP/1.1 2000\r\n\r\n":                     "line 1: not a status line",
		"HTTP/1.1 000\r\n\r\n":                      "line 1: status 000",
		"HTTP/1.1 600 OK\r\n\r\n":                   "line 1: status 600",
		"HTTP/1.1 101 OK\r\n\r\n":                   "line 1: change of the protocol",
		"HTTP/1.1 200 O\x7fK\r\n\r\n":               "line 1: byte 0x7f in a text",
		"HTTP/1.1 200 OK\r\nX Y: z\r\n\r\n":         "line 2: byte 0x20 in a name",
		"HTTP/1.1 200 OK\r\nX: y\r\nX\t: z\r\n\n":   "line 3: byte 0x09 in a name",
		"HTTP/1.1 200 OK\r\nX\x01: z\r\n\r\n":       "line 2: byte 0x01 in a name",
		"HTTP/1.1 200 OK\r\nX\r: z\r\n\r\n":         "line 2: carriage return inside a line",
		"HTTP/1.1 200 OK\r\nX: y\r\r\n\r\n":         "line 2: carriage return inside a line",
		"HTTP/1.1 200 OK\r\nX: y\x00\r\n\r\n":       "line 2: byte 0x00 in a text",
		"HTTP/1.1 200 OK\r\nX: y\r\n z\r\n\r\n":     "line 3: line begins with a blank",
		"HTTP/1.1 200 OK\r\n: y\r\n\r\n":            "line 2: field without a name",
		"HTTP/1.1 200 OK\r\nX\r\n\r\n":              "line 2: field without a colon",
		"HTTP/1.0 200 OK\r\ntransfer-ENCODING:\n\n": "line 2: chunks in HTTP/1.0",
		"HTTP/1.1 103 Early\r\nX : y\r\n\r\n":       "line 2: byte 0x20 in a name",
		"HTTP/1.1 100\r\n\r\nHTTP/1.1 600\r\n\r\n":  "line 1: status 600",
	} {
		for size := 1; size <= len(head); size++ {
			used, ended, err := check(head+"HTTP/1.1 200 OK\r\n\r\n", size)
			var malformed *responsehead.MalformedError
			require.ErrorAs(t, err, &malformed, "%q", head)
			require.Contains(t, err.Error(), reason, "%q", head)
			require.Equal(t, len(head)-1, used, "%q", head)
			require.False(t, ended)
		}
	}
}

func TestTrailers(t *testing.T) {
	require.NoError(t, responsehead.CheckTrailers(nil))
	require.NoError(t, responsehead.CheckTrailers(map[string][]string{"X-Sum": {"a b"}}))
	for _, name := range []string{"X ", "X Y", "X\x01", "X:"} {
		err := responsehead.CheckTrailers(map[string][]string{"X-Sum": nil, name: nil})
		require.Error(t, err, "%q", name)
		require.True(t, strings.HasPrefix(err.Error(), "malformed trailer: byte 0x"), err.Error())
	}
}
