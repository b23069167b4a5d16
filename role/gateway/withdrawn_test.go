package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/fingerprint"
	"github.com/grademill/grademill/standin/site"
)

// Guards against a request that is quarantined because the endpoint of its isolated attempt leaves: it was taken to have
// ended although it went on.
func TestEndpointThatLeavesByItsRecordHasNotEnded(t *testing.T) {
	t.Parallel()
	a, b := plain("a"), plain("b")
	w := newFixture(t, a, b)
	a.SetMode(site.Hang)
	b.SetMode(site.Hang)
	r := w.request("POST", "/freeze/9", "suspected")
	request := fingerprint.Of(fingerprint.Request{Method: "POST", Host: host, Target: "/freeze/9", Team: "desk", Body: []byte("suspected")})
	for i := range 2 {
		w.gateway.ReportEnd(fmt.Sprint("another-", i), request)
	}
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	go func() {
		if answer, err := http.DefaultClient.Do(r.WithContext(ctx)); err == nil {
			_ = answer.Body.Close()
		}
	}()
	w.eventually(func() bool { return len(a.Seen())+len(b.Seen()) == 1 })
	for _, e := range []*site.Endpoint{a, b} {
		w.site.Withdraw(e)
		w.waitForLog(`"endpoint":"` + e.ID + `","message":"endpoint gone"`)
	}
	leave()
	w.waitForLog(`"message":"outcome of an isolated attempt"`)
	require.NotContains(t, w.log.String(), `"message":"request is quarantined"`)
}
