package eventwrite_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/adapter/eventwrite"
	"github.com/grademill/grademill/adapter/upstream"
	"github.com/grademill/grademill/decide/event"
)

// Guards against a second head when a stream goes on at another endpoint.
func TestHeadIsThatOfTheFirstAnswer(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(response http.ResponseWriter, _ *http.Request) {
		w := eventwrite.Writer{Response: response}
		require.False(t, w.Begun())
		for _, one := range []string{"a", "b"} {
			answer := &upstream.Answer{Status: http.StatusOK, Header: http.Header{"X": {one}}}
			require.NoError(t, w.Write(answer, event.Event{Raw: []byte(one)}, one == "b"))
			require.True(t, w.Begun())
			w.End(answer)
		}
		require.Equal(t, 2, w.Events)
		require.False(t, w.First.IsZero())
	}))
	defer server.Close()
	answer, err := http.Get(server.URL)
	require.NoError(t, err)
	defer answer.Body.Close() //nolint:errcheck // read to its end
	require.Equal(t, []string{"a"}, answer.Header["X"])
	body, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	require.Equal(t, "ab", string(body))
}
