package soak_test

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// graceTime is how long a gateway may take to stop after SIGTERM before it is killed.
const graceTime = 8 * time.Second

// node is a gateway with fixed addresses, whose process is stopped and replaced during a test.
type node struct {
	t        *testing.T
	name     string
	settings string
	caller   string
	ready    string
	// store is the proxied link to the store.
	store *proxy

	// suspended is whether the process is suspended.
	suspended atomic.Bool
	// busy is held while a process ends and the next one starts.
	busy sync.Mutex

	mu sync.Mutex // guards the fields below
	// process is the current process, nil before the first start.
	process *exec.Cmd
	// incarnation counts the processes started so far.
	incarnation int
	// stopped is when the current process got SIGTERM, zero if it has not.
	stopped time.Time
	// ending is set once the current process got a signal that ends it, and faults describes the ends of processes that
	// got none.
	ending bool
	faults []string
	// stops and kills are when processes got SIGTERM and SIGKILL, by incarnation.
	stops, kills map[int]time.Time
	out          *os.File
	exited       chan struct{}
}

// binary builds the gateway once per test run and returns the path of the executable.
var binary = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "grademill-soak")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "grademill-gateway")
	out, err := exec.Command("go", "build", "-o", path, "../../cmd/grademill-gateway").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
})

var ports atomic.Int32

// port returns a local address reserved for this test. A port found free by the
// kernel could be taken by a connection of another process before the gateway listens.
func port() string {
	return fmt.Sprintf("127.%d.88.1:%d", 1+os.Getpid()%250, 22000+ports.Add(1))
}

// newNode starts a gateway in a hall. flat is the value of its setting flat_fleet: the fleet size up to
// which every gateway exchanges everything with every other one and reads the store itself. overload
// switches the overload control on.
func newNode(t *testing.T, dir, name, hall, store string, flat int, overload bool) *node {
	link, err := newProxy(store)
	require.NoError(t, err)
	n := &node{
		t: t, name: name, stops: make(map[int]time.Time), kills: make(map[int]time.Time), settings: filepath.Join(dir, name+".toml"), store: link, caller: port(), ready: port(),
	}
	text := fmt.Sprintf("role = \"gateway\"\nname = %q\nhall = %q\naddress = %q\n[gateway]\ncaller = %q\nready = %q\n"+
		"store = %q\nrevocation = \"5s\"\nstop_timeout = %q\nretry_share = 0.2\nretry_reserve = 200\nretry_window = \"10s\"\nflat_fleet = %d\n"+
		firstStart,
		name, hall, port(), n.caller, n.ready, link.address, graceTime.String(), flat)
	if overload {
		text += "[gateway.overload]\nroom_shares = true\nfleet_admission = true\n"
	}
	require.NoError(t, os.WriteFile(n.settings, []byte(text), 0o600))
	n.out, err = os.Create(filepath.Join(dir, name+".log"))
	require.NoError(t, err)
	n.start()
	t.Cleanup(n.end)
	return n
}

// firstStart is the setting of a gateway that starts with the whole fleet.
const firstStart = "first_start = true\n"

// start starts a new process of the gateway.
func (n *node) start() {
	path, err := binary()
	require.NoError(n.t, err)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.incarnation == 1 { // it starts again
		text, err := os.ReadFile(n.settings)
		require.NoError(n.t, err)
		require.NoError(n.t, os.WriteFile(n.settings, []byte(strings.Replace(string(text), firstStart, "", 1)), 0o600))
	}
	n.process = exec.Command(path, "-settings", n.settings)
	n.process.Stdout, n.process.Stderr = n.out, n.out
	require.NoError(n.t, n.process.Start())
	n.incarnation++
	n.stopped, n.ending = time.Time{}, false
	exited := make(chan struct{})
	n.exited = exited
	process := n.process
	go func() {
		err := process.Wait()
		status, ok := process.ProcessState.Sys().(syscall.WaitStatus)
		hungUp := ok && status.Signaled() && status.Signal() == syscall.SIGHUP // sent before the process handles it
		n.mu.Lock()
		if !n.ending && !hungUp {
			n.faults = append(n.faults, fmt.Sprintf("%s: %s ended by itself: %v", time.Now().Format("15:04:05.000"), n.name, err))
		}
		n.mu.Unlock()
		close(exited)
	}()
}

// signal sends a signal to the process and records the time of the first SIGTERM.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case s == syscall.SIGTERM && n.stopped.IsZero():
		n.stopped = time.Now()
		n.stops[n.incarnation] = n.stopped
	case s == syscall.SIGKILL:
		n.kills[n.incarnation] = time.Now()
	}
	n.ending = n.ending || s == syscall.SIGTERM || s == syscall.SIGKILL
	_ = n.process.Process.Signal(s) // the process may have exited already
}

// kill kills the process and starts another.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	<-n.exited
	n.start()
}

// stop stops the process like the platform, with SIGTERM and then SIGKILL after graceTime, and starts another.
func (n *node) stop() {
	n.signal(syscall.SIGTERM)
	select {
	case <-n.exited:
	case <-time.After(graceTime):
		n.signal(syscall.SIGKILL)
		<-n.exited
	}
	n.start()
}

// end kills the process, even one that is paused, without starting another.
func (n *node) end() {
	n.signal(syscall.SIGCONT)
	n.signal(syscall.SIGKILL)
	<-n.exited
}

// ownEnds describes the ends of processes that got no signal.
func (n *node) ownEnds() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.faults
}

// isReady checks the readiness of the gateway, like the load balancer.
func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	answer, err := client.Get("http://" + n.ready + "/-/ready")
	if err != nil {
		return false
	}
	defer answer.Body.Close() //nolint:errcheck // nothing to read
	return answer.StatusCode == http.StatusOK
}

// state returns the incarnation of the process and when it got SIGTERM.
func (n *node) state() (int, time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.incarnation, n.stopped
}
