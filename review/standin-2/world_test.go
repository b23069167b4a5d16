//go:build review

package standin_test

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/grademill/grademill/standin/site"
)

// Names of the configuration.
const (
	hostName = "club.example"
	desk     = "members-desk"
	coach    = "coach-llm"
	zone     = "rosehill"
	ownKey   = "key-of-the-clubs"
	tenant   = "clubs"
)

// machine is what the settings tell of a machine of the front, and the bounds of its installation.
type machine struct {
	memory, descriptors int
	revokeMS, graceS    int
	retryRatio          float64
	retrySlack          int
}

// smallFront is the smallest machine of the front in the installation ramdin-grademill-now-grown.
var smallFront = machine{memory: 184, descriptors: 4100, revokeMS: 5000, graceS: 8, retryRatio: 0.2, retrySlack: 228}

// world is a platform with its runners, and the gateways in front of it.
type world struct {
	rec    *record
	site   *site.Site
	folder string
	// beforeStart, if set, is called before the gateway of models starts.
	beforeStart func()

	mu       sync.Mutex // guards the field below
	gateways []*gateway
}

// gateway is a gateway process.
type gateway struct {
	name, caller, ready, peers, admin string

	command *exec.Cmd
	// ended is closed once the process has ended.
	ended chan struct{}
}

func newWorld(rec *record) *world { return &world{rec: rec} }

// open starts the platform's store, and writes nothing to it.
func (w *world) open(layers int) error {
	s, err := site.New(layers)
	if err != nil {
		return err
	}
	w.site = s
	w.folder, err = os.MkdirTemp("", "review-2-")
	return err
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, g := range w.gateways {
		g.kill()
	}
	if w.site != nil {
		w.site.Close()
	}
	if w.folder != "" {
		_ = os.RemoveAll(w.folder) // a temporary folder
	}
}

// plain starts a runner of the service desk.
func (w *world) plain(id string) (*site.Endpoint, error) {
	e := &site.Endpoint{ID: id, Started: time.Now().UnixMilli(), Service: desk, Hall: zone, Slots: 6}
	return e, w.site.Start(e)
}

// configure writes a configuration to the store.
func (w *world) configure(version int, keys []string, routes ...map[string]any) {
	w.site.Store.Set("op/config", map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{"name": desk}},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
		"tenants": []any{map[string]any{"name": tenant, "api_keys": keys, "prio": 1}},
	})
}

// route returns a route of the configuration.
func route(name, prefix, kind, service string, timeoutMS, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": hostName, "path_prefix": prefix, "kind": kind, "service": service,
		"timeout_ms": timeoutMS, "slo_ms": 300, "prio": 2, "attempts": attempts, "public": false,
	}
}

// small opens a world with three runners of a plain service, a route for consumers with a key, a public one, and a gateway.
func (w *world) small() (*gateway, error) {
	if err := w.open(1); err != nil {
		return nil, err
	}
	news := route("r-news", "/news/", "idempotent", desk, 800, 2)
	news["public"] = true
	w.configure(3, []string{ownKey}, route("r-freeze", "/freeze/", "idempotent", desk, 800, 2), news)
	for i := range 3 {
		if _, err := w.plain(fmt.Sprint("runner-", i+1)); err != nil {
			return nil, err
		}
	}
	return w.start("front-rosehill-1", smallFront)
}

// freeAddress returns a loopback address that nobody listens at.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close() //nolint:errcheck // only its address counts
	return l.Addr().String(), nil
}

// settings returns the settings of a gateway, as the template of the deploy file gives them.
func (w *world) settings(g *gateway, m machine, first bool) string {
	text := fmt.Sprintf(`role = "gateway"
name = %q
hall = %q
address = %q
admin = %q
[gateway]
caller = %q
ready = %q
store = %q
revocation = "%dms"
stop_timeout = "%ds"
link_megabits = 1000
memory_megabytes = %d
descriptors = %d
retry_share = %v
retry_reserve = %d
retry_window = "10s"
`, g.name, zone, g.peers, g.admin, g.caller, g.ready, w.site.StoreAddress, m.revokeMS, m.graceS, m.memory, m.descriptors, m.retryRatio, m.retrySlack)
	if first {
		text += "first_start = true\n"
	}
	return text + `even_room = true
[gateway.overload]
room_shares = true
fleet_admission = true
hall_split = true
`
}

// start starts a gateway as the deploy file says, and waits until it is ready.
func (w *world) start(name string, m machine) (*gateway, error) {
	g := &gateway{name: name}
	for _, a := range []*string{&g.caller, &g.ready, &g.peers, &g.admin} {
		free, err := freeAddress()
		if err != nil {
			return nil, err
		}
		*a = free
	}
	return g, w.launch(g, m, true)
}

// launch starts the process of a gateway.
func (w *world) launch(g *gateway, m machine, first bool) error {
	path := filepath.Join(w.folder, g.name+".toml")
	if err := os.WriteFile(path, []byte(w.settings(g, m, first)), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(w.folder, g.name+".log"))
	if err != nil {
		return err
	}
	defer log.Close() //nolint:errcheck // the process has its own
	g.command, g.ended = exec.Command("target/grademill-gateway"), make(chan struct{})
	g.command.Env = []string{"GRADEMILL_BOOT=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}
	g.command.Stdout, g.command.Stderr = log, log
	g.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // whatever ends this process
	if err := g.command.Start(); err != nil {
		return err
	}
	go func() {
		_ = g.command.Wait() // how it ended is asked of the process state
		close(g.ended)
	}()
	w.mu.Lock()
	w.gateways = append(w.gateways, g)
	w.mu.Unlock()
	for deadline := time.Now().Add(20 * time.Second); !g.isReady(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			return errors.New("a gateway does not become ready")
		}
	}
	w.rec.note("%s is ready, process %d", g.name, g.command.Process.Pid)
	return nil
}

// kill ends the process of a gateway if it runs.
func (g *gateway) kill() {
	if g.command != nil && g.command.Process != nil {
		_ = g.command.Process.Kill() // it may have ended
		<-g.ended
	}
}

// hasEnded reports whether the process has ended.
func (g *gateway) hasEnded() bool {
	select {
	case <-g.ended:
		return true
	default:
		return false
	}
}

// isReady reports whether the gateway answers 200 to the question whether it is ready.
func (g *gateway) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + g.ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = answer.Body.Close() // nothing to read
	return answer.StatusCode == http.StatusOK
}

// memoryMB returns the resident memory of the process now and at its peak, in MB.
func (g *gateway) memoryMB() (now, peak int) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.command.Process.Pid))
	if err != nil {
		return 0, 0
	}
	value := func(name string) int {
		_, after, found := strings.Cut(string(text), name+":")
		if !found {
			return 0
		}
		kilobytes, _ := strconv.Atoi(strings.Fields(after)[0]) // 0 where it cannot be read
		return kilobytes >> 10
	}
	return value("VmRSS"), value("VmHWM")
}
