package gateway_test

import (
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/standin/site"
)

// endlessPlain are the modes of a plain endpoint that answers without end, and whether the request has run.
var endlessPlain = map[string]struct {
	mode site.Mode
	ran  bool
}{
	"status line":   {site.EndlessStatus, true},
	"header line":   {site.EndlessHeader, true},
	"header fields": {site.EndlessFields, true},
	"interim heads": {site.EndlessInterim, true},
	"body":          {site.EndlessBody, true},
	"chunks":        {site.EndlessChunks, true},
	"refusal":       {site.EndlessRefusal, false},
}

// An answer without end was read until the deadline of its request, or until the memory was used up. It must count as a
// failed attempt at once.
func TestEndlessAnswerIsAFailedAttempt(t *testing.T) {
	t.Parallel()
	for name, c := range endlessPlain {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			endpoints := []*site.Endpoint{plain("endpoint-1"), plain("endpoint-2")}
			w := newFixture(t, endpoints...)
			w.site.NextModes(records, c.mode)
			answer := w.do(w.request("POST", "/freeze/1", "a record"))
			require.Equal(t, http.StatusOK, answer.StatusCode)
			require.Equal(t, site.Echo("POST", "/freeze/1", []byte("a record")), answer.body)
			w.site.NextModes(records, c.mode)
			answer = w.do(w.request("POST", "/renew/1", "a record"))
			if c.ran {
				require.Equal(t, http.StatusBadGateway, answer.StatusCode)
				w.waitForLog(`"message":"answer exceeds a bound"`)
			} else {
				require.Equal(t, http.StatusOK, answer.StatusCode)
			}
			require.Less(t, endlessBytes(endpoints), int64(2*maxEndless))
		})
	}
}

// maxEndless is what an endpoint sends in one answer without end until it waits for the gateway to close the connection.
const maxEndless = 10<<20 + 64<<10

// endlessBytes returns how much the endpoints have sent in answers without end.
func endlessBytes(endpoints []*site.Endpoint) int64 {
	n := int64(0)
	for _, e := range endpoints {
		n += e.EndlessBytes()
	}
	return n
}

// A stream that becomes an event without end, or comments without end, is resumed elsewhere, and must not look complete if it
// cannot be.
func TestEndlessStreamIsResumed(t *testing.T) {
	t.Parallel()
	w, cards := newModel(t)
	modes := []site.Mode{
		site.EndlessStatus, site.EndlessHeader, site.EndlessFields, site.EndlessInterim, site.EndlessBody, site.EndlessComments,
	}
	for _, mode := range modes {
		w.site.NextModes(model, mode)
		answer := w.do(w.streamRequest("/plan/1", 20))
		require.Equal(t, http.StatusOK, answer.StatusCode, mode)
		require.False(t, answer.cut, mode)
		require.True(t, answer.body == fullBody(20), "mode %d, %d bytes", mode, len(answer.body))
		w.site.NextModes(model, mode)
		answer = w.do(w.streamRequest("/once/1", 20))
		require.NotEqual(t, http.StatusOK, answer.StatusCode, mode)
	}
	require.Equal(t, 2*len(modes), strings.Count(w.log.String(), `"message":"answer exceeds a bound"`))
	require.Less(t, endlessBytes(cards), int64(2*len(modes)*maxEndless))
	requireLayersInOrder(t, w)
}

// A stream of events without end kept its caller until the deadline, and this gateway busy. It is broken off.
func TestEndlessEventsAreBrokenOff(t *testing.T) {
	t.Parallel()
	w, cards := newModel(t)
	w.site.NextModes(model, site.EndlessData)
	answer := w.do(w.streamRequest("/once/1", 20))
	require.True(t, answer.cut)
	require.True(t, strings.HasPrefix(strings.Repeat("data: token\n\n", 2*20+64), answer.body), "%d bytes", len(answer.body))
	w.waitForLog(`"message":"answer exceeds a bound"`)
	require.Less(t, endlessBytes(cards), int64(maxEndless))
}

// Guards against an event that is passed on again because its endpoint repeats it. The stream is resumed after the first.
func TestRepeatedEventIsNotPassedOn(t *testing.T) {
	t.Parallel()
	w, cards := newModel(t)
	w.site.NextModes(model, site.EndlessEvents)
	answer := w.do(w.streamRequest("/once/1", 20))
	require.True(t, answer.cut)
	require.Equal(t, site.Event(1), answer.body)
	w.site.NextModes(model, site.EndlessEvents)
	answer = w.do(w.streamRequest("/plan/1", 20))
	require.False(t, answer.cut)
	require.Equal(t, fullBody(20), answer.body)
	require.Less(t, endlessBytes(cards), int64(2*maxEndless))
}

// maxHeap is the bound of the heap while many answers are endless: half of the memory of the smallest host, 216 MB.
const maxHeap = 108 << 20

// Endpoints that send without end to many requests at once took the memory of the gateway, which is killed with everything
// that it serves.
func TestManyEndlessAnswersLeaveTheGatewayItsMemory(t *testing.T) {
	const each = 12
	defer debug.SetGCPercent(debug.SetGCPercent(20)) // as the daemon does
	bad, good := plain("endpoint-1"), plain("endpoint-2")
	w := newFixture(t, bad, good)
	var calls sync.WaitGroup
	before, peak := heap(), watchHeap()
	for _, c := range endlessPlain {
		for range each {
			w.site.NextModes(records, c.mode)
			calls.Go(func() {
				answer := w.do(w.request("POST", "/renew/1", "a record"))
				assert.Contains(t, []int{http.StatusOK, http.StatusBadGateway, http.StatusServiceUnavailable}, answer.StatusCode)
			})
		}
	}
	calls.Wait()
	largest := peak() - before
	t.Logf("heap: %d MiB, sent: %d MiB", largest>>20, endlessBytes([]*site.Endpoint{bad, good})>>20)
	require.Less(t, largest, int64(maxHeap))
	require.Less(t, endlessBytes([]*site.Endpoint{bad, good}), int64(each*len(endlessPlain)*maxEndless))
	w.eventually(func() bool { return w.do(w.request("POST", "/freeze/1", "a record")).StatusCode == http.StatusOK })
}

// heap returns the size of the heap in bytes.
func heap() int64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// watchHeap samples the size of the heap until the function that it returns is called, which returns the largest one.
func watchHeap() func() int64 {
	done, largest := make(chan struct{}), make(chan int64, 1)
	go func() {
		most := int64(0)
		ticker := time.NewTicker(5 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				largest <- most
				return
			case <-ticker.C:
				most = max(most, heap())
			}
		}
	}()
	return func() int64 {
		close(done)
		return <-largest
	}
}
