package gateway_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/standin/site"
)

// Guards against a request of a plain service that fails because its attempt at a sound endpoint, silent for a moment, was
// given up for one that then gave no answer.
func TestPlainAttemptAtASilentEndpointGoesOnIfAnotherFails(t *testing.T) {
	t.Parallel()
	for name, failure := range map[string]site.Mode{"lost": site.Lose, "refused": site.Refuse} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, b := plain("a"), plain("b")
			w := newFixture(t, a, b)
			w.eventually(func() bool { return w.do(w.request("POST", "/freeze/1", "x")).StatusCode == http.StatusOK })
			a.Pause(soundSilence)
			b.Pause(soundSilence)
			r, answer := w.request("POST", "/freeze/1", "x"), make(chan reply, 1)
			id := r.Header.Get("X-Request-Id")
			go func() { answer <- doWith(t, http.DefaultClient, r) }()
			w.eventually(func() bool { return len(a.Seen())+len(b.Seen()) > 1 })
			other := b
			for _, seen := range b.Seen() {
				if seen.Header.Get("X-Request-Id") == id {
					other = a
				}
			}
			other.Pause(0)
			other.SetMode(failure)
			got := <-answer
			require.Equal(t, http.StatusOK, got.StatusCode, got.body)
		})
	}
}
