package gateway_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/standin/site"
)

// An answer may come with neither a length nor chunks and end with its connection. A stream that ends inside an event, or
// whose connection is reset, has been broken off: it goes on elsewhere, or must not look complete.
func TestUnframedStreamIsPassedOn(t *testing.T) {
	t.Parallel()
	w, _ := newModel(t)
	for name, mode := range map[string]site.Mode{"whole": site.Unframed, "cut": site.UnframedCut, "reset": site.UnframedReset} {
		w.site.NextModes(model, mode)
		answer := w.do(w.streamRequest("/plan/1", 20))
		require.Equal(t, http.StatusOK, answer.StatusCode, name)
		require.False(t, answer.cut, name)
		require.Equal(t, fullBody(20), answer.body, name)
		w.site.NextModes(model, mode)
		answer = w.do(w.streamRequest("/once/1", 20))
		require.Equal(t, mode != site.Unframed, answer.cut, name)
		require.Equal(t, mode == site.Unframed, answer.body == fullBody(20), name)
	}
	requireLayersInOrder(t, w)
}

// The same holds for an answer that is not a stream: one whose connection is reset is repeated if it may be, and otherwise
// failed.
func TestUnframedAnswerIsPassedOn(t *testing.T) {
	t.Parallel()
	w := newFixture(t, plain("endpoint-1"), plain("endpoint-2"))
	for _, c := range []struct {
		path   string
		mode   site.Mode
		status int
	}{
		{"/freeze/1", site.Unframed, http.StatusOK},
		{"/freeze/1", site.UnframedReset, http.StatusOK},
		{"/renew/1", site.Unframed, http.StatusOK},
		{"/renew/1", site.UnframedReset, http.StatusBadGateway},
	} {
		w.site.NextModes(records, c.mode)
		answer := w.do(w.request("POST", c.path, "a record"))
		require.Equal(t, c.status, answer.StatusCode, c.path)
		require.False(t, answer.cut, c.path)
		if c.status == http.StatusOK {
			require.Equal(t, site.Echo("POST", c.path, []byte("a record")), answer.body)
		} else {
			require.Empty(t, answer.Header.Get("X-Response-Seal"))
		}
	}
}
