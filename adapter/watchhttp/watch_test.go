package watchhttp_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/grademill/grademill/adapter/watchhttp"
	"github.com/grademill/grademill/port/kv"
	"github.com/grademill/grademill/state/watchcache"
	wire "github.com/grademill/grademill/wire/watch"
)

// fetch returns what a client makes of the answer of a server.
func fetch(t *testing.T, handler http.Handler) (watchcache.Answer, error) {
	server := httptest.NewServer(handler)
	defer server.Close()
	return watchhttp.NewClient().Fetch(t.Context(), strings.TrimPrefix(server.URL, "http://"), watchcache.Request{Wait: time.Second})
}

func TestAnswer(t *testing.T) {
	var cache watchcache.Cache
	cache.Add(kv.Page{Pairs: []kv.Pair{{Key: "a", Value: []byte("1"), Revision: 7}}, At: 8}, time.Now(), true, 3)
	answer, err := fetch(t, watchhttp.Handler(&cache))
	require.NoError(t, err)
	require.EqualValues(t, 8, answer.At)
	require.EqualValues(t, 3, answer.Sum)
	require.Positive(t, answer.Age)
	require.Equal(t, []kv.Pair{{Key: "a", Value: []byte("1"), Revision: 7}}, answer.Pairs)
}

// Guards against answers that count as a proof of this moment although they name none: one without a body, as another
// process at the address may give, and one that is cut at the bound, between two changes.
func TestAnswerWithoutAProofIsNone(t *testing.T) {
	const bound = 4 << 20
	pair := wire.Pair{Key: "k", Value: bytes.Repeat([]byte("x"), 1<<20-13), Revision: 1}
	text, err := proto.Marshal(&wire.Changes{Pairs: []*wire.Pair{&pair, &pair, &pair, &pair}})
	require.NoError(t, err)
	require.Len(t, text, bound, "the answer is cut between two changes")
	long, err := proto.Marshal(&wire.Changes{Pairs: []*wire.Pair{&pair, &pair, &pair, &pair, &pair}, At: 9, AgeMicros: 1})
	require.NoError(t, err)
	for name, body := range map[string][]byte{"empty": nil, "changes only": text, "cut": long} {
		t.Run(name, func(t *testing.T) {
			_, err := fetch(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) }))
			require.Error(t, err)
		})
	}
}

// Guards against another gateway's answer, or whatever answers at its address, that never ends.
func TestEndlessAnswerIsBounded(t *testing.T) {
	sent := 0
	for name, answer := range map[string]http.HandlerFunc{
		"head": func(w http.ResponseWriter, _ *http.Request) {
			for ; sent < 1<<20; sent += 1000 {
				w.Header().Add("X-More", strings.Repeat("a", 1000))
			}
		},
		"body": func(w http.ResponseWriter, r *http.Request) {
			for sent = 0; r.Context().Err() == nil; sent += 64 << 10 {
				if _, err := w.Write(make([]byte, 64<<10)); err != nil {
					return
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := fetch(t, answer)
			require.Error(t, err)
		})
	}
	require.Less(t, sent, 64<<20)
}
