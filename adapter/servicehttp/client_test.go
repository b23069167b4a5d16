package servicehttp_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/adapter/readlimit"
	"github.com/grademill/grademill/adapter/servicehttp"
	"github.com/grademill/grademill/port/service"
)

// maxReply is the documented bound of an answer.
const maxReply = 1 << 20

// An answer above the bound must end with an error that leaves open whether the call has run: its
// first part would look like the whole answer.
func TestAnswerAboveBoundIsAnError(t *testing.T) {
	for _, length := range []int{maxReply, maxReply + 1} {
		t.Run(fmt.Sprint(length), func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write([]byte(strings.Repeat("x", length)))
			}))
			defer server.Close()
			client := servicehttp.Client{Base: server.URL}
			reply, err := client.Do(context.Background(), service.Request{Method: http.MethodGet, Path: "/"})
			if length <= maxReply {
				require.NoError(t, err)
				require.Len(t, reply.Body, length)
				return
			}
			var exceeded *readlimit.ExceededError
			require.ErrorAs(t, err, &exceeded)
			require.EqualValues(t, maxReply, exceeded.Limit)
			var unsent *service.UnsentError
			require.NotErrorAs(t, err, &unsent)
		})
	}
}
