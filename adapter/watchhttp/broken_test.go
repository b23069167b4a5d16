package watchhttp_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/grademill/grademill/adapter/watchhttp"
	"github.com/grademill/grademill/standin/broken"
	"github.com/grademill/grademill/state/watchcache"
	wire "github.com/grademill/grademill/wire/watch"
)

// Guards against an answer that is not well-formed and that is taken for another gateway's proof.
func TestBrokenAnswersAreNoAnswers(t *testing.T) {
	text, err := proto.Marshal(&wire.Changes{At: 8, AgeMicros: 1})
	require.NoError(t, err)
	requireFetch(t, "HTTP/1.1 200 OK\r\n\r\n"+broken.Answer(text), require.NoError)
	for kind, answer := range broken.All(string(text)) {
		t.Run(kind, func(t *testing.T) { requireFetch(t, answer, require.Error) })
	}
}

// requireFetch checks the error of a client that gets an answer.
func requireFetch(t *testing.T, answer broken.Answer, require require.ErrorAssertionFunc) {
	address, stop, err := answer.Start()
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	_, err = watchhttp.NewClient().Fetch(t.Context(), address, watchcache.Request{Wait: time.Second})
	require(t, err, "%q", answer)
}
