//go:build review

package standin_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/grademill/grademill/standin/site"
)

const (
	// gateways is the number of gateway processes of a case.
	gateways = 2
	// readyTimeout bounds the start of the gateways.
	readyTimeout = 20 * time.Second
	// settle is the time for which the gateways are left alone once they are ready, so that they are in touch.
	settle = 4 * time.Second
	// service is the plain service, host the host name of its routes, prefix the path of the route.
	service = "members-desk"
	host    = "club.example"
	prefix  = "/renew/"
	// model is the service that runs a model of so many layers, modelPrefix the path of its route.
	model       = "coach-llm"
	modelPrefix = "/plan/"
	layers      = 8
	// card is the kind of accelerator of the model's runners, whose memory holds half of the layers.
	card = "l40s"
)

// revocation is the bound of a small deployment on the use of a key that was taken away, as its settings name it.
const revocation = 5 * time.Second

// world is the platform of a case: the store, and the addresses of the gateways.
type world struct {
	*record
	site  *site.Site
	store *site.Store
	// callers are the addresses at which the gateways serve callers, ready those at which they tell whether they are
	// ready.
	callers, ready []string
	version        int
	// dir is the folder of the settings files.
	dir string
}

// newWorld starts the store, and writes the settings of the gateways into dir.
func newWorld(dir string, r *record) (*world, error) {
	platform, err := site.New(layers)
	if err != nil {
		return nil, err
	}
	w := &world{record: r, site: platform, store: platform.Store, dir: dir}
	for i := range gateways {
		var free []string
		for range 4 {
			address, err := freeAddress()
			if err != nil {
				return nil, err
			}
			free = append(free, address)
		}
		w.callers, w.ready = append(w.callers, free[0]), append(w.ready, free[1])
		text := settings(fmt.Sprintf("front-%d", i+1), []string{"rosehill", "quatrebornes"}[i], platform.StoreAddress, free)
		if err := os.WriteFile(filepath.Join(dir, fmt.Sprintf("gateway-%d.toml", i+1)), []byte(text), 0o600); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// settings returns the template of the deploy file, filled in for a gateway with the bounds of a small deployment.
func settings(name, zone, store string, addresses []string) string {
	return fmt.Sprintf(`role = "gateway"
name = %q
hall = %q
address = %q
admin = %q

[gateway]
caller = %q
ready = %q
store = %q
revocation = "5000ms"
stop_timeout = "8s"
link_megabits = 1000.0
retry_share = 0.2
retry_reserve = 200
retry_window = "10s"
even_room = true
[gateway.overload]
room_shares = true
fleet_admission = true
hall_split = true
`, name, zone, addresses[2], addresses[3], addresses[0], addresses[1], store)
}

// The range of ports of the gateways. It lies below the ports that systems give to outgoing connections, of which one
// could take a port before the gateway does.
const (
	firstPort = 18000
	ports     = 12000
)

// freeAddress returns a loopback address at which nothing listens.
func freeAddress() (string, error) {
	var err error
	for range 100 {
		var l net.Listener
		if l, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(ports))); err == nil {
			return l.Addr().String(), l.Close()
		}
	}
	return "", err
}

// begin lets the script start the gateways, and waits until they have been ready for some time.
func (w *world) begin() error {
	if err := os.WriteFile(filepath.Join(w.dir, "ready"), nil, 0o600); err != nil {
		return err
	}
	deadline := time.Now().Add(readyTimeout)
	for _, address := range w.ready {
		for !isReady(address) {
			if time.Now().After(deadline) {
				return fmt.Errorf("the gateway at %s is not ready", address)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.note("the gateways are ready: %s", strings.Join(w.callers, ", "))
	time.Sleep(settle)
	return nil
}

func isReady(address string) bool {
	answer, err := http.Get("http://" + address + "/-/ready")
	if err != nil {
		return false
	}
	_ = answer.Body.Close() // it is empty
	return answer.StatusCode == http.StatusOK
}

// tenant is a tenant of the configuration.
type tenant struct {
	Name string   `json:"name"`
	Keys []string `json:"api_keys"`
	Prio int      `json:"prio"`
}

// configure writes the next version of the configuration: one route for requests that must not be repeated, and one for
// streams that may be resumed. It returns when the store has taken it.
func (w *world) configure(timeout time.Duration, tenants []tenant) time.Time {
	w.version++
	w.store.Set("op/config", map[string]any{
		"version": w.version,
		"routes": []map[string]any{{
			"name": "renew", "host": host, "path_prefix": prefix, "kind": "non_idempotent", "timeout_ms": timeout.Milliseconds(),
			"slo_ms": 300, "prio": 2, "service": service, "attempts": 1, "public": false,
		}, {
			"name": "plan", "host": host, "path_prefix": modelPrefix, "kind": "streaming", "timeout_ms": 20000, "slo_ms": 500,
			"gap_aim_ms": 200, "prio": 1, "service": model, "attempts": 2, "public": false, "sticky": true, "resumable": true,
		}},
		"services": []map[string]any{
			{"name": service, "health_path": "/health", "max_conns": 110, "proto": "h1", "tls": false},
			{"name": model, "health_path": "/health", "max_conns": 1138, "proto": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kv_token_bytes": 80000, "step_ms": 1, "read_per_s": 100000, "layers": layers, "layer_mb": 1000,
				"kinds": []any{map[string]any{"name": card, "mb": 5000, "pace": 1, "read_x": 1}},
			}},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": tenants,
	})
	w.note("the store takes configuration %d with %d tenants: %v", w.version, len(tenants), tenants)
	return time.Now()
}
