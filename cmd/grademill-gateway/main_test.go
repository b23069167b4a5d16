// Package main_test runs the gateway as a process.
package main_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
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

	// The tests build the program. These imports invalidate their cached results when it changes.
	_ "github.com/grademill/grademill/platform"
	_ "github.com/grademill/grademill/role/gateway"
	_ "github.com/grademill/grademill/role/settings"
)

// waitTimeout bounds every wait: a test that reaches it has failed.
const waitTimeout = 30 * time.Second

// process is a gateway process.
type process struct {
	*exec.Cmd
	// settings is the path of its settings file, admin its admin address.
	settings, admin string
	// ended is closed once the process has ended.
	ended chan struct{}

	mu  sync.Mutex
	out bytes.Buffer
}

// Write collects the output of the process.
func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.out.Write(b)
}

func (p *process) output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.out.String()
}

// start builds the gateway and runs it with settings in which callers are served at the given
// address.
func start(t *testing.T, caller string) *process {
	p := build(t, caller)
	p.run(t)
	return p
}

// build builds the gateway, and writes settings in which callers are served at the given address.
func build(t *testing.T, caller string) *process {
	dir := t.TempDir()
	program := filepath.Join(dir, "grademill-gateway")
	out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	require.NoError(t, err, string(out))
	p := &process{settings: filepath.Join(dir, "gateway.toml"), admin: freeAddress(), ended: make(chan struct{})}
	p.write(t, gatewaySettings(caller, freeAddress(), freeAddress(), p.admin))
	p.Cmd = exec.Command(program, "-settings", p.settings)
	p.Stdout, p.Stderr = p, p
	return p
}

// limitDescriptors bounds the open descriptors of the process, before it is run.
func (p *process) limitDescriptors(n int) {
	p.Args = append([]string{"sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, n), p.Path}, p.Args[1:]...)
	p.Path = "/bin/sh"
}

// run starts the process, and ends it when the test ends.
func (p *process) run(t *testing.T) {
	require.NoError(t, p.Start())
	go func() {
		defer close(p.ended)
		_ = p.Wait() // tests check ProcessState
	}()
	t.Cleanup(func() {
		_ = p.Process.Kill()
		<-p.ended
	})
}

// write replaces the settings file.
func (p *process) write(t *testing.T, text string) {
	require.NoError(t, os.WriteFile(p.settings, []byte(text), 0o600))
}

// waitForLog waits until the process has written a text, and fails if it ends first.
func (p *process) waitForLog(t *testing.T, text string) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !bytes.Contains([]byte(p.output()), []byte(text)); {
		select {
		case <-p.ended:
			require.Contains(t, p.output(), text, "the process has ended")
		case <-time.After(2 * time.Millisecond):
			require.True(t, time.Now().Before(deadline), p.output())
		}
	}
}

var ports atomic.Int32

// freeAddress returns a local address reserved for this test. A port found free by the kernel could be taken by another
// process before the gateway listens.
func freeAddress() string {
	return fmt.Sprintf("127.%d.89.1:%d", 1+os.Getpid()%250, 22000+ports.Add(1))
}

// gatewaySettings returns settings of a gateway that serves callers, health checks, other gateways and
// operators at the given addresses. Nothing listens at the store's address.
func gatewaySettings(caller, ready, peers, admin string) string {
	return fmt.Sprintf(`role = "gateway"
name = "gateway-1"
hall = "north"
address = %q
admin = %q
[gateway]
caller = %q
ready = %q
store = "127.0.0.1:1"
retry_reserve = 244.5
[gateway.overload]
fleet_admission = true
`, peers, admin, caller, ready)
}

// A gateway that cannot start must say why: the log drops lines that are written after it is closed.
func TestFailedStartIsExplained(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer taken.Close() //nolint:errcheck // a test's listener
	p := start(t, taken.Addr().String())
	select {
	case <-p.ended:
	case <-time.After(waitTimeout):
		require.Fail(t, "the process runs")
	}
	require.Equal(t, 1, p.ProcessState.ExitCode(), p.output())
	require.Contains(t, p.output(), "process failed")
	require.Contains(t, p.output(), "address already in use")
}

// Operators ask a gateway in trouble for its load: it must answer also before it has read the store.
func TestLoadBeforeStoreIsRead(t *testing.T) {
	p := start(t, freeAddress())
	p.waitForLog(t, "gateway serves")
	answer, err := http.Get("http://" + p.admin + "/v1/load")
	require.NoError(t, err)
	defer answer.Body.Close() //nolint:errcheck // nothing to save
	text, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, answer.StatusCode)
	require.Equal(t, "application/json", answer.Header.Get("Content-Type"))
	require.JSONEq(t, `{"fleet_admission":true,"services":[]}`, string(text))
}

// SIGHUP with settings that the gateway cannot use, here those of another role, must not end it.
func TestReloadRefusesSettingsOfAnotherRole(t *testing.T) {
	caller, ready, peers := freeAddress(), freeAddress(), freeAddress()
	p := start(t, caller)
	p.waitForLog(t, "gateway serves")
	entry, err := os.ReadFile("../../examples/ramdin/entry.toml")
	require.NoError(t, err)
	p.write(t, string(entry))
	require.NoError(t, p.Process.Signal(syscall.SIGHUP))
	p.waitForLog(t, "settings are invalid")
	require.Contains(t, p.output(), "not gateway")
	p.write(t, gatewaySettings(caller, ready, peers, p.admin))
	require.NoError(t, p.Process.Signal(syscall.SIGHUP))
	p.waitForLog(t, "settings read again")
}

// Guards against SIGHUP ending a gateway that is still starting.
func TestHangupDuringStart(t *testing.T) {
	p := build(t, freeAddress())
	settings, err := os.ReadFile(p.settings)
	require.NoError(t, err)
	require.NoError(t, os.Remove(p.settings))
	require.NoError(t, syscall.Mkfifo(p.settings, 0o600))
	p.run(t)
	pipe, err := os.OpenFile(p.settings, os.O_WRONLY, 0) // returns once the gateway reads its settings
	require.NoError(t, err)
	require.NoError(t, p.Process.Signal(syscall.SIGHUP))
	require.NoError(t, os.Remove(p.settings))
	p.write(t, string(settings))
	_, err = pipe.Write(settings)
	require.NoError(t, err)
	require.NoError(t, pipe.Close())
	p.waitForLog(t, "gateway serves")
	p.waitForLog(t, "settings read again")
}

// Guards against requests that a stopping gateway cuts at its stop time-out without a line in the log.
func TestRequestCutAtTheStopTimeoutIsLogged(t *testing.T) {
	caller := freeAddress()
	p := build(t, caller)
	p.write(t, strings.Replace(gatewaySettings(caller, freeAddress(), freeAddress(), p.admin),
		"[gateway]", "[gateway]\nstop_timeout = \"600ms\"", 1))
	p.run(t)
	p.waitForLog(t, "gateway serves")
	c, err := net.Dial("tcp", caller)
	require.NoError(t, err)
	defer c.Close() //nolint:errcheck // a test's connection
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHo")
	require.NoError(t, err)
	require.NoError(t, p.Process.Signal(syscall.SIGTERM))
	p.waitForLog(t, "gateway stopped")
	require.Contains(t, p.output(), "connection closed without a whole response")
	require.Regexp(t, `"reason":"(stop time-out|slow head)"`, p.output()) // the second if it took a second until the stop
}
