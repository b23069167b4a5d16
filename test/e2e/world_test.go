// Package e2e_test runs entries, agents and simulated engines and services as
// separate processes, sends requests and injects faults, and checks the responses
// and the runs that engines and services have recorded.
package e2e_test

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
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

	// TestMain builds the programs under test. These imports invalidate the
	// cached test result when the programs change.
	_ "github.com/grademill/grademill/adapter/adminhttp"
	_ "github.com/grademill/grademill/adapter/callerhttp"
	_ "github.com/grademill/grademill/adapter/enginehttp"
	_ "github.com/grademill/grademill/adapter/platformhttp"
	"github.com/grademill/grademill/port/hosts"
	_ "github.com/grademill/grademill/role/entry"
	_ "github.com/grademill/grademill/role/settings"
	"github.com/grademill/grademill/standin/engine"
	"github.com/grademill/grademill/standin/platform"
	"github.com/grademill/grademill/standin/service"
	"github.com/grademill/grademill/standin/toy"
)

// waitTimeout bounds every wait; a wait that reaches it fails the test.
const waitTimeout = 60 * time.Second

const (
	callerKey   = "key-of-the-gym"
	operatorKey = "key-of-the-operator"
	modelName   = "assistant"
	modelLayers = 12
	plainName   = "records"
)

// bin is the directory of the built programs.
var bin string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "grademill")
	if err != nil {
		panic(err)
	}
	bin = dir
	for _, name := range []string{"grademill", "standin"} {
		build := exec.Command("go", "build", "-o", filepath.Join(dir, name), "../../cmd/"+name)
		if out, err := build.CombinedOutput(); err != nil {
			panic(string(out))
		}
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is one started program.
type process struct {
	name    string
	address string // address for peers
	http    string // base URL of its HTTP API
	admin   string
	hall    string
	role    string
	cmd     *exec.Cmd
	done    chan struct{}
	file    string
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill kills the process and waits until it has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// stop sends SIGTERM, upon which the process drains, and waits until it has exited.
func (p *process) stop() {
	p.signal(syscall.SIGTERM)
	<-p.done
}

// world is a complete deployment of processes for one test.
type world struct {
	t        *testing.T
	dir      string
	ip       string
	ports    int
	platform *process
	engines  []*process
	services []*process
	agents   []*process
	entries  []*process
	mu       sync.Mutex
	all      []*process
}

func hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// worlds counts the worlds of this test run. Each has its own loopback address,
// so that parallel tests do not take each other's ports.
var worlds atomic.Int32

// firstPort is below the kernel's range of ephemeral ports.
const firstPort = 20000

// port returns an unused address.
func (w *world) port() string {
	w.ports++
	return fmt.Sprintf("%s:%d", w.ip, firstPort+w.ports)
}

// newWorld starts the simulated platform.
func newWorld(t *testing.T) *world {
	t.Parallel()
	n := worlds.Add(1)
	w := &world{t: t, dir: t.TempDir(), ip: fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()%250, n)}
	t.Cleanup(w.close)
	w.platform = w.standin("platform", "platform")
	return w
}

func (w *world) close() {
	for _, p := range w.all {
		p.signal(syscall.SIGCONT)
		p.kill()
	}
	if !w.t.Failed() {
		return
	}
	for _, p := range w.all {
		text, _ := os.ReadFile(filepath.Join(w.dir, p.name+".log"))
		lines := strings.Split(string(text), "\n")
		w.t.Logf("--- %s\n%s", p.name, strings.Join(lines[max(0, len(lines)-25):], "\n"))
	}
}

// start starts a program with its output appended to a log file.
func (w *world) start(p *process, program string, args ...string) *process {
	log, err := os.OpenFile(filepath.Join(w.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(w.t, err)
	p.cmd = exec.Command(filepath.Join(bin, program), args...)
	p.cmd.Stdout = log
	p.cmd.Stderr = log
	require.NoError(w.t, p.cmd.Start())
	done := make(chan struct{})
	p.done = done
	go func() {
		_ = p.cmd.Wait()
		_ = log.Close()
		close(done)
	}()
	w.mu.Lock()
	w.all = append(w.all, p)
	w.mu.Unlock()
	return p
}

func (w *world) standin(name, kind string, args ...string) *process {
	address := w.port()
	p := &process{name: name, http: "http://" + address}
	w.start(p, "standin", append([]string{kind, "-listen", address}, args...)...)
	w.eventually(func() bool { return reachable(address) }, "stand-in %s accepts connections", name)
	return p
}

func reachable(address string) bool {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// engine starts an engine with the layers [first, end) and its agent.
func (w *world) engine(name, hall string, first, end int, args ...string) *process {
	args = append([]string{
		"-service", modelName, "-layers", fmt.Sprint(modelLayers),
		"-first", fmt.Sprint(first), "-end", fmt.Sprint(end),
	}, args...)
	e := w.standin(name, "engine", args...)
	w.engines = append(w.engines, e)
	return w.agent("agent-"+name, hall, fmt.Sprintf("engine = %q", e.http))
}

// plain starts a plain service and its agent.
func (w *world) plain(name, hall string, args ...string) *process {
	s := w.standin(name, "service", args...)
	w.services = append(w.services, s)
	return w.agent("agent-"+name, hall, fmt.Sprintf("plain = %q\nservice = %q", s.http, plainName))
}

// addresses returns the quoted, comma-separated addresses of the entries.
func (w *world) addresses() string {
	var quoted []string
	for _, e := range w.entries {
		quoted = append(quoted, fmt.Sprintf("%q", e.address))
	}
	return strings.Join(quoted, ", ")
}

func (w *world) agent(name, hall, endpoint string) *process {
	p := &process{name: name, address: w.port(), hall: hall, role: "agent", file: filepath.Join(w.dir, name+".toml")}
	text := fmt.Sprintf("role = \"agent\"\nname = %q\nhall = %q\naddress = %q\ndrain_timeout = \"30s\"\n[agent]\nentries = [%s]\nheartbeat = \"200ms\"\n%s\n",
		name, hall, p.address, w.addresses(), endpoint)
	require.NoError(w.t, os.WriteFile(p.file, []byte(text), 0o600))
	w.agents = append(w.agents, p)
	return w.start(p, "grademill", "agent", p.file)
}

// restart starts a process again with the same settings.
func (w *world) restart(p *process) {
	w.start(p, "grademill", p.role, p.file)
}

// addEntries starts entries that have each other as peers.
func (w *world) addEntries(names ...string) {
	from := len(w.entries)
	for _, name := range names {
		w.entries = append(w.entries, &process{
			name: name, address: w.port(), http: "http://" + w.port(), admin: "http://" + w.port(),
			hall: "rose-hill", role: "entry", file: filepath.Join(w.dir, name+".toml"),
		})
	}
	for _, p := range w.entries[from:] {
		text := fmt.Sprintf(`role = "entry"
name = %q
hall = %q
address = %q
admin = %q
drain_timeout = "30s"
[entry]
caller = %q
platform = %q
peers = [%s]
sync = "200ms"
expiry = "2s"
retry_reserve = 1000
[[entry.operators]]
name = "olga"
key_sha256 = %q
`, p.name, p.hall, p.address, strings.TrimPrefix(p.admin, "http://"), strings.TrimPrefix(p.http, "http://"),
			w.platform.http, w.addresses(), hash(operatorKey))
		require.NoError(w.t, os.WriteFile(p.file, []byte(text), 0o600))
		w.start(p, "grademill", "entry", p.file)
	}
	w.list()
}

// list publishes the list of hosts to the platform, with the given processes marked as leaving.
func (w *world) list(leaving ...*process) {
	var list []hosts.Host
	for _, p := range append(append([]*process(nil), w.entries...), w.agents...) {
		host := hosts.Host{Name: p.name, Role: p.role, Hall: p.hall, Address: p.address}
		for _, l := range leaving {
			host.Leaving = host.Leaving || l == p
		}
		list = append(list, host)
	}
	w.post(w.platform.http+"/test/hosts", list, nil)
}

// setFault injects a fault into the platform; the zero Fault ends it.
func (w *world) setFault(f platform.Fault) {
	w.post(w.platform.http+"/test/fault", f, nil)
}

func (w *world) post(url string, request, reply any) {
	body, err := json.Marshal(request)
	require.NoError(w.t, err)
	answer, err := http.Post(url, "application/json", bytes.NewReader(body))
	require.NoError(w.t, err)
	defer answer.Body.Close()
	require.Equal(w.t, http.StatusOK, answer.StatusCode)
	if reply != nil {
		require.NoError(w.t, json.NewDecoder(answer.Body).Decode(reply))
	}
}

func (w *world) eventually(ok func() bool, format string, args ...any) {
	w.t.Helper()
	require.Eventually(w.t, ok, waitTimeout, 20*time.Millisecond, fmt.Sprintf(format, args...))
}

// put retries a change through the admin API of an entry until it is accepted.
func (w *world) put(e *process, kind, name, body string) {
	w.t.Helper()
	w.eventually(func() bool {
		status, _ := w.tryPut(e, kind, name, body)
		return status == http.StatusOK
	}, "%s/%s is accepted", kind, name)
}

func (w *world) tryPut(e *process, kind, name, body string) (int, string) {
	request, err := http.NewRequest(http.MethodPut, e.admin+"/admin/v1/"+kind+"/"+name, strings.NewReader(body))
	require.NoError(w.t, err)
	request.Header.Set("Authorization", "Bearer "+operatorKey)
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer answer.Body.Close()
	text, _ := io.ReadAll(answer.Body)
	return answer.StatusCode, string(text)
}

// configure creates the services and the team, and waits until they are in force
// at all entries, with the given number of endpoints.
func (w *world) configure(endpoints int) {
	w.put(w.entries[0], "services", modelName, fmt.Sprintf(
		`{"kind":"model","model":"toy","layers":%d,"repeatable":true,"layers_per_engine":4}`, modelLayers))
	w.put(w.entries[0], "services", plainName, `{"kind":"plain","repeatable":false}`)
	w.put(w.entries[0], "teams", "desk", fmt.Sprintf(`{"key_sha256":[%q]}`, hash(callerKey)))
	for _, e := range w.entries {
		w.ready(e, endpoints)
	}
}

// ready waits until an entry has the configuration and knows the given number of endpoints.
func (w *world) ready(e *process, endpoints int) {
	w.eventually(func() bool {
		status := w.status(e)
		return len(status.Endpoints) >= endpoints && status.Revisions[e.name] >= 3
	}, "%s knows %d endpoints", e.name, endpoints)
}

type status struct {
	Revisions map[string]uint64
	Endpoints []struct {
		Name    string
		Leaving bool
	}
}

func (w *world) status(e *process) status {
	var s status
	request, err := http.NewRequest(http.MethodGet, e.admin+"/admin/v1/status", nil)
	require.NoError(w.t, err)
	request.Header.Set("Authorization", "Bearer "+operatorKey)
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return s
	}
	defer answer.Body.Close()
	_ = json.NewDecoder(answer.Body).Decode(&s)
	return s
}

// answer is the response that a caller received.
type answer struct {
	status   int
	tokens   []uint32
	whole    bool // the end marker arrived and the token count matches
	attempts int
	outcome  string
	body     string
	err      error
}

// complete requests a streamed completion from an entry.
func complete(e *process, prompt string, n int) answer {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, modelName, prompt, n)
	request, err := http.NewRequest(http.MethodPost, e.http+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	request.Header.Set("Authorization", "Bearer "+callerKey)
	reply, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer reply.Body.Close()
	a := answer{status: reply.StatusCode}
	if reply.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(reply.Body)
		a.problem(text)
		return a
	}
	a.read(reply.Body)
	return a
}

func (a *answer) problem(text []byte) {
	var p struct{ Outcome string }
	a.body = string(text)
	if json.Unmarshal(text, &p) == nil {
		a.outcome = p.Outcome
	}
}

// read reads server-sent events to the end of the stream.
func (a *answer) read(r io.Reader) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<20)
	finished, failed, count := false, false, -1
	for lines.Scan() {
		line := lines.Text()
		data, ok := strings.CutPrefix(line, "data: ")
		switch {
		case line == "event: error":
			failed = true
		case !ok:
		case data == "[DONE]":
			a.whole = finished && count == len(a.tokens)
		case failed:
			a.problem([]byte(data))
		default:
			var event struct {
				Choices []struct {
					Tokens       []uint32
					FinishReason *string `json:"finish_reason"`
				}
				Usage *struct {
					CompletionTokens int `json:"completion_tokens"`
					Attempts         int
				}
			}
			if err := json.Unmarshal([]byte(data), &event); err != nil {
				a.err = err
				return
			}
			a.tokens = append(a.tokens, event.Choices[0].Tokens...)
			finished = finished || event.Choices[0].FinishReason != nil
			if event.Usage != nil {
				count, a.attempts = event.Usage.CompletionTokens, event.Usage.Attempts
			}
		}
	}
	a.err = lines.Err()
	if a.whole {
		a.outcome = "done"
	}
}

// call calls the plain service through an entry; an empty key sends no Idempotency-Key.
func call(e *process, key, body string) answer {
	request, err := http.NewRequest(http.MethodPost, e.http+"/v1/services/"+plainName+"/renew", strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	request.Header.Set("Authorization", "Bearer "+callerKey)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	reply, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer reply.Body.Close()
	text, err := io.ReadAll(reply.Body)
	a := answer{status: reply.StatusCode, body: string(text), err: err}
	if reply.StatusCode == http.StatusOK {
		a.outcome = "done"
		return a
	}
	a.problem(text)
	return a
}

// expected returns the n tokens that the model answers to a prompt.
func expected(prompt string, n int) []uint32 {
	return toy.Model{Name: modelName, Layers: modelLayers}.Answer(toy.Tokens(prompt), n)
}

// engineRecord returns the runs recorded by an engine.
func (w *world) engineRecord(e *process) []engine.Run {
	var runs []engine.Run
	w.get(e.http+"/v1/record", &runs)
	return runs
}

// serviceRecord returns the runs recorded by all plain services.
func (w *world) serviceRecord() []service.Run {
	var all []service.Run
	for _, s := range w.services {
		var runs []service.Run
		w.get(s.http+"/test/record", &runs)
		all = append(all, runs...)
	}
	return all
}

func (w *world) get(url string, into any) {
	answer, err := http.Get(url)
	require.NoError(w.t, err)
	defer answer.Body.Close()
	require.NoError(w.t, json.NewDecoder(answer.Body).Decode(into))
}

// raw sends one request with the given method, URL, key and body.
func raw(t *testing.T, method, url, key, body string) answer {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+key)
	reply, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer reply.Body.Close()
	text, err := io.ReadAll(reply.Body)
	require.NoError(t, err)
	a := answer{status: reply.StatusCode}
	a.problem(text)
	return a
}

// addEntryDuringOutage starts one more entry that cannot reach the platform,
// and waits until it has learned the configuration from its peers.
func (w *world) addEntryDuringOutage(name string) {
	w.addEntries(name)
	w.eventually(func() bool {
		s := w.status(w.entries[len(w.entries)-1])
		return s.Revisions[name] >= 3
	}, "%s learns the configuration from peers", name)
}
