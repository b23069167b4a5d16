//go:build review

package standin_test

import (
	"fmt"
	"net/http"
	"time"

	"github.com/grademill/grademill/standin/site"
)

// archive is the second service of the case "prefix".
const archive = "archive"

// prefixRequests is the number of requests of each kind.
const prefixRequests = 20

// prefix plays consumers whose paths hold an encoded slash.
func prefix(w *world, trouble bool) (bool, error) {
	if err := w.open(1); err != nil {
		return false, err
	}
	w.site.Store.Set("op/config", map[string]any{
		"version": 3, "routes": []any{
			route("r-files", "/files/", "non_idempotent", archive, 800, 1),
			route("r-renew", "/files/renew/", "non_idempotent", desk, 800, 1),
		},
		"services": []any{map[string]any{"name": desk}, map[string]any{"name": archive}},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
		"tenants": []any{map[string]any{"name": tenant, "api_keys": []string{ownKey}, "prio": 1}},
	})
	runners := make(map[string][]*site.Endpoint)
	for _, service := range []string{desk, archive} {
		for i := range 2 {
			e := &site.Endpoint{ID: fmt.Sprint(service, "-", i+1), Started: time.Now().UnixMilli(), Service: service, Hall: zone, Slots: 6}
			if err := w.site.Start(e); err != nil {
				return false, err
			}
			runners[service] = append(runners[service], e)
		}
	}
	g, err := w.start("front-rosehill-1", smallFront)
	if err != nil {
		return false, err
	}
	kinds := []struct{ path, service string }{{"/files/%d", archive}, {"/files/renew/%d", desk}}
	if trouble {
		kinds = append(kinds, struct{ path, service string }{"/files/renew%%2F%d", archive}, struct{ path, service string }{"/files%%2Frenew%%2F%d", ""})
	}
	wrong := 0
	for k, kind := range kinds {
		for n := range prefixRequests {
			r := request{method: "POST", path: fmt.Sprintf(kind.path, n), id: fmt.Sprintf("p%d-%d", k, n), key: ownKey, body: "x", deadline: 1500 * time.Millisecond}
			a := ask(g.caller, r)
			ran := ""
			for service, list := range runners {
				for _, e := range list {
					if e.Ran(r.id) > 0 {
						ran = service
					}
				}
			}
			w.rec.line("request %s for %s, of service %q: run by %q, answer %v", r.id, r.path, kind.service, ran, a)
			if ran != kind.service || kind.service == "" && a.status != http.StatusNotFound {
				wrong++
			}
		}
	}
	w.rec.note("%d of %d requests were run by a service that no configuration allows", wrong, len(kinds)*prefixRequests)
	return wrong > 0, nil
}
