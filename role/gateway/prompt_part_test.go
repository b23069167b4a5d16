package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"regexp"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/standin/site"
)

// contactTime is how long after the fifth end all gateways must know what ends endpoints.
const contactTime = 3 * time.Second

// newPartFleet starts gateways in three halls before endpoints of the model in these halls. A new endpoint
// replaces each that has ended, a second later.
func newPartFleet(t *testing.T, gateways int) *fleet {
	hall := func(i int) string { return []string{"north", "south", "west"}[i%3] }
	var halls []string
	var cards []*site.Endpoint
	for i := range gateways {
		halls = append(halls, hall(i))
	}
	for i := range 15 {
		cards = append(cards, card(fmt.Sprint("endpoint-", i), hall(i)))
	}
	f := newFleetInHalls(t, halls, cards...)
	f.path, f.deadlineMillis = "/plan/9", 4000
	var group sync.WaitGroup
	t.Cleanup(group.Wait)
	var started atomic.Int64
	f.site.BeforeCrash = func(e *site.Endpoint) {
		group.Go(func() {
			time.Sleep(time.Second)
			f.site.Withdraw(e)
			if err := f.site.Start(card(fmt.Sprint("later-", started.Add(1)), e.Hall)); err != nil {
				t.Error(err)
			}
		})
		time.Sleep(30 * time.Millisecond) // it has begun the answer
	}
	f.eventually(func() bool { return covered(cards, 3) })
	f.waitForLayers(cards...)
	return f
}

// sendParts sends a request of its own, with the given parts before the last, to a gateway.
func (f *fleet) sendParts(client *http.Client, target, parts string) reply {
	n := f.ids.Add(1)
	r := f.request("POST", f.path, fmt.Sprint("prompt ", n))
	r.URL.Host = regexp.MustCompile(`//(.*)`).FindStringSubmatch(target)[1]
	r.Header.Set("X-Token-Usage", "10,3")
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(f.deadlineMillis))
	r.Header.Set("X-Prefix-Hash", fmt.Sprintf("%s,%x:10", parts, n))
	return doWith(f.t, client, r)
}

// Requests that share a part of their prompts end each endpoint that begins to run one, while no two of them are
// alike. Once five endpoints have ended and the gateways have had time to hear of it, at most three more are sent, the
// others are refused at once, and requests with the same team and the other parts are served. Without this, a fleet of
// 33 endpoints lost 34 in 35 s: each request was a new one to the gateways, and was sent to two endpoints.
func TestPartThatEndsEndpointsIsQuarantined(t *testing.T) {
	for _, gateways := range []int{1, 4, 15, 30} {
		t.Run(fmt.Sprint(gateways, " gateways"), func(t *testing.T) {
			t.Parallel()
			f := newPartFleet(t, gateways)
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
			defer client.CloseIdleConnections()
			harmless := func(i int) string { return fmt.Sprintf("c0:100,d%d:50", i%2) }
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var group sync.WaitGroup
			defer group.Wait()
			var late atomic.Bool
			var served, refused atomic.Int64
			for i := range 8 {
				group.Go(func() {
					for n := i; ctx.Err() == nil; n++ {
						counted := late.Load()
						answer := f.sendParts(client, f.targets[n%len(f.targets)], harmless(n))
						switch {
						case !counted:
						case answer.StatusCode == http.StatusOK && !answer.cut:
							served.Add(1)
						default:
							refused.Add(1)
						}
						time.Sleep(20 * time.Millisecond)
					}
				})
			}
			time.Sleep(2 * time.Second) // the other parts run well
			f.site.CrashOnPart("dead")
			crash := func(arrivals int) []reply {
				answers := make([]reply, arrivals)
				var sent sync.WaitGroup
				for i := range answers {
					sent.Go(func() { answers[i] = f.sendParts(client, f.targets[i*7%len(f.targets)], harmless(i)+",dead:20") })
					time.Sleep(arrivalInterval)
				}
				sent.Wait()
				return answers
			}
			crash(50)
			time.Sleep(contactTime)
			before := len(f.site.Crashed())
			late.Store(true)
			answers := crash(30)
			cancel()
			group.Wait()
			t.Logf("%d endpoints have ended, %d of them late; %d harmless requests served, %d not", len(f.site.Crashed()), len(f.site.Crashed())-before, served.Load(), refused.Load())
			require.LessOrEqual(t, len(f.site.Crashed())-before, 3, "endpoints end late")
			for _, answer := range answers {
				require.Equal(t, http.StatusServiceUnavailable, answer.StatusCode)
				require.NotEmpty(t, answer.Header.Get("Retry-After"))
			}
			require.Greater(t, served.Load(), 9*refused.Load(), "harmless requests")
			for _, line := range quarantineLine.FindAllStringSubmatch(f.log.String(), -1) {
				require.Regexp(t, fmt.Sprintf(`"print":"%s"[^\n]*"parts":\[[^]]*"dead=|"dead=%s"`, line[1], line[1]), f.log.String(),
					"neither a harmless request nor another part is quarantined")
			}
			requireLayersInOrder(t, f.fixture)
		})
	}
}
