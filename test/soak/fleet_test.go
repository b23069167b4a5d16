package soak_test

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// graceTime is how long after the signal to stop a gateway is killed.
const graceTime = 8 * time.Second

// node is the place of a gateway: its addresses stay, its processes come and go.
type node struct {
	t        *testing.T
	name     string
	settings string
	caller   string
	ready    string
	// store is the link to the store.
	store *proxy

	mu sync.Mutex // guards what follows
	// process is the one that runs, nil for none.
	process *exec.Cmd
	// life counts the processes.
	life int
	// stopped is when the last process got the signal to stop; zero for one that
	// did not.
	stopped time.Time
	out     *os.File
	exited  chan struct{}
}

// binary builds the gateway once.
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

// port returns a local address of this test's own: a port that was free a moment
// ago may be taken by a connection of another process before a gateway listens.
func port() string {
	return fmt.Sprintf("127.%d.88.1:%d", 1+os.Getpid()%250, 22000+ports.Add(1))
}

// newNode writes the settings of a gateway of a hall, in a fleet that is flat up to a size.
func newNode(t *testing.T, dir, name, hall, store string, flat int) *node {
	link, err := newProxy(store)
	require.NoError(t, err)
	n := &node{
		t: t, name: name, settings: filepath.Join(dir, name+".toml"), store: link, caller: port(), ready: port(),
	}
	text := fmt.Sprintf("role = \"gateway\"\nname = %q\nhall = %q\naddress = %q\n[gateway]\ncaller = %q\nready = %q\n"+
		"store = %q\nrevocation = \"5s\"\nstop_timeout = %q\nretry_share = 0.2\nretry_reserve = 200\nretry_window = \"10s\"\nflat_fleet = %d\n",
		name, hall, port(), n.caller, n.ready, link.address, graceTime.String(), flat)
	require.NoError(t, os.WriteFile(n.settings, []byte(text), 0o600))
	n.out, err = os.Create(filepath.Join(dir, name+".log"))
	require.NoError(t, err)
	n.start()
	t.Cleanup(n.end)
	return n
}

// start starts a process.
func (n *node) start() {
	path, err := binary()
	require.NoError(n.t, err)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.process = exec.Command(path, "-settings", n.settings)
	n.process.Stdout, n.process.Stderr = n.out, n.out
	require.NoError(n.t, n.process.Start())
	n.life++
	n.stopped = time.Time{}
	exited := make(chan struct{})
	n.exited = exited
	process := n.process
	go func() {
		_ = process.Wait() // the end is known by the signal that brought it
		close(exited)
	}()
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s == syscall.SIGTERM && n.stopped.IsZero() {
		n.stopped = time.Now()
	}
	_ = n.process.Process.Signal(s) // it may have ended
}

// kill ends the process at once and starts another.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	<-n.exited
	n.start()
}

// stop ends the process as the platform does, and starts another.
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

// end ends the process for good.
func (n *node) end() {
	n.signal(syscall.SIGCONT)
	n.signal(syscall.SIGKILL)
	<-n.exited
}

// isReady asks the gateway whether it is ready, as the balancer does.
func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	answer, err := client.Get("http://" + n.ready + "/-/ready")
	if err != nil {
		return false
	}
	defer answer.Body.Close() //nolint:errcheck // nothing to read
	return answer.StatusCode == http.StatusOK
}

// state returns the life of the process and when it was told to stop.
func (n *node) state() (int, time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.life, n.stopped
}
