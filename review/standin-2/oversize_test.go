//go:build review

package standin_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/grademill/grademill/standin/site"
)

// Numbers and times of the case "oversize".
const (
	layers = 8
	// runnerTokens is the memory of a runner that holds half of the layers.
	runnerTokens = 100000
	// largeTokens is the size of a prompt that no runner can hold.
	largeTokens = 150000
	// largeKey is the key of the tenant that sends it.
	largeKey = "key-of-the-archive"
	// largeClients is the number of channels on which that tenant sends, and largeAgain the pause after which it sends again.
	largeClients = 16
	largeAgain   = 10 * time.Millisecond
	// streamers is the number of ordinary consumers, each of which sends a request for a stream every second, and one to the
	// plain service.
	streamers    = 20
	oversizeFor  = 20 * time.Second
	settleModels = 5 * time.Second
)

// tally counts the requests of a kind.
type tally struct{ sent, served, refused, other int }

func (t *tally) add(a answer) {
	t.sent++
	switch {
	case a.err == nil && a.status == http.StatusOK && a.sealed:
		t.served++
	case a.status == http.StatusServiceUnavailable:
		t.refused++
	default:
		t.other++
	}
}

// String returns the counts as the record has them.
func (t *tally) String() string {
	return fmt.Sprintf("%d sent, %d served, %d refused with 503, %d other", t.sent, t.served, t.refused, t.other)
}

// modelRunner starts a runner of the model that rejects requests larger than its memory as though it were full.
func (w *world) modelRunner(id string) (*httptest.Server, error) {
	e := &site.Endpoint{ID: id, Started: time.Now().UnixMilli(), Service: coach, Hall: zone, Card: "l40s", Slots: 192, EventInterval: 10 * time.Millisecond}
	s := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Request-Id")
		if !strings.HasPrefix(r.URL.Path, "/-/") {
			prompt, _, _ := strings.Cut(r.Header.Get("X-Token-Usage"), ",")
			if n, err := strconv.Atoi(prompt); err == nil && n > runnerTokens {
				w.rec.line("runner %s turns %s away: larger than its memory", e.ID, id)
				rw.Header().Set("X-Not-Executed", "1")
				rw.Header().Set("X-Request-Id", id)
				rw.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			w.rec.line("runner %s runs %s", e.ID, id)
		}
		e.ServeHTTP(rw, r)
	}))
	e.Public = s.Listener.Addr().String()
	return s, w.site.Start(e)
}

// models opens a world with four runners of a model and some of a plain service, and a gateway.
func (w *world) models() (*gateway, error) {
	if err := w.open(layers); err != nil {
		return nil, err
	}
	plan := route("r-plan", "/plan/", "streaming", coach, 20000, 2)
	plan["resumable"], plan["sticky"], plan["slo_ms"], plan["gap_aim_ms"], plan["prio"] = true, true, 500, 200, 1
	w.site.Store.Set("op/config", map[string]any{
		"version": 3, "routes": []any{plan, route("r-freeze", "/freeze/", "idempotent", desk, 800, 2)},
		"services": []any{map[string]any{"name": desk}, map[string]any{"name": coach, "engine": map[string]any{
			"slots": 192, "kv_token_bytes": 80000, "step_ms": 1.02, "per_seq_ms": 0.01, "read_per_s": 105000, "layers": layers, "layer_mb": 1000,
			"usual": map[string]any{"prompt": 760, "answer": 170},
			"kinds": []any{map[string]any{"name": "l40s", "mb": 8000, "pace": 1, "read_x": 1}},
		}}},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
		"tenants": []any{
			map[string]any{"name": tenant, "api_keys": []string{ownKey}, "prio": 1},
			map[string]any{"name": "archive", "api_keys": []string{largeKey}, "prio": 1},
		},
	})
	for i := range 4 {
		if _, err := w.modelRunner(fmt.Sprint("model-", i+1)); err != nil {
			return nil, err
		}
	}
	for i := range deskRunners {
		if _, err := w.plain(fmt.Sprint("runner-", i+1)); err != nil {
			return nil, err
		}
	}
	if w.beforeStart != nil {
		w.beforeStart()
	}
	return w.start("front-rosehill-1", smallFront)
}

// oversize plays a consumer that retries at once, whose prompts are larger than the memory of any runner.
func oversize(w *world, trouble bool) (bool, error) {
	g, err := w.models()
	if err != nil {
		return false, err
	}
	time.Sleep(settleModels)
	until := time.Now().Add(oversizeFor)
	var group sync.WaitGroup
	var mu sync.Mutex
	var streams, plain, large tally
	if trouble {
		for c := range largeClients {
			group.Go(func() {
				for n := 0; time.Now().Before(until); n++ {
					r := request{
						method: "POST", path: "/plan/archive", id: fmt.Sprintf("large-%d-%d", c, n), key: largeKey, body: "a long document", deadline: 20 * time.Second,
						extra: fmt.Sprintf("X-Token-Usage: %d,100\r\nX-Prefix-Hash: a1:40,%x:%d\r\n", largeTokens, n, largeTokens-40),
					}
					a := ask(g.caller, r)
					w.rec.line("request %s: %v", r.id, a)
					mu.Lock()
					large.add(a)
					mu.Unlock()
					time.Sleep(largeAgain)
				}
			})
		}
	}
	for c := range streamers {
		group.Go(func() {
			time.Sleep(time.Duration(c) * time.Second / streamers)
			for n := 0; time.Now().Before(until); n++ {
				at := time.Now()
				a, b := w.askBoth(g, c, n)
				mu.Lock()
				streams.add(a)
				plain.add(b)
				mu.Unlock()
				time.Sleep(max(time.Second-time.Since(at), 0))
			}
		})
	}
	group.Wait()
	w.rec.note("large prompts: %v", &large)
	w.rec.note("ordinary streams: %v", &streams)
	w.rec.note("ordinary requests of the plain service: %v", &plain)
	return starved(w, streams, plain), nil
}

// askBoth sends a request for a stream of an ordinary consumer, and one to the plain service.
func (w *world) askBoth(g *gateway, c, n int) (stream, plain answer) {
	r := request{
		method: "POST", path: "/plan/week", id: fmt.Sprintf("stream-%d-%d", c, n), key: ownKey, body: fmt.Sprint("plan ", c, n), deadline: 20 * time.Second,
		extra: fmt.Sprintf("X-Token-Usage: 760,20\r\nX-Prefix-Hash: a1:40,%x:720\r\n", 1000+100*c+n),
	}
	stream = ask(g.caller, r)
	w.rec.line("request %s: %v", r.id, stream)
	p := request{method: "GET", path: fmt.Sprintf("/freeze/%d-%d", c, n), id: fmt.Sprintf("plain-%d-%d", c, n), key: ownKey, deadline: 600 * time.Millisecond}
	plain = ask(g.caller, p)
	w.rec.line("request %s: %v", p.id, plain)
	return stream, plain
}

// starved reports whether ordinary streams were served under a quarter as often as all ordinary requests.
func starved(w *world, streams, plain tally) bool {
	all := float64(streams.served+plain.served) / float64(streams.sent+plain.sent)
	own := float64(streams.served) / float64(streams.sent)
	w.rec.note("of the ordinary streams %.3f were served, of all ordinary requests %.3f", own, all)
	return own < all/4
}
