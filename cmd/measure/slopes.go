package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"runtime"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"
	"github.com/google/uuid"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/grademill/grademill/decide/claim"
	"github.com/grademill/grademill/decide/config"
	"github.com/grademill/grademill/decide/fleet"
	"github.com/grademill/grademill/decide/layer"
	"github.com/grademill/grademill/decide/once"
	"github.com/grademill/grademill/decide/policy"
	"github.com/grademill/grademill/decide/view"
	"github.com/grademill/grademill/state/headlog"
	"github.com/grademill/grademill/state/replica"
	"github.com/grademill/grademill/wire"
)

type slopesCommand struct{}

func (*slopesCommand) Name() string             { return "slopes" }
func (*slopesCommand) Synopsis() string         { return "state, messages and processor time by size" }
func (*slopesCommand) Usage() string            { return "measure slopes\n" }
func (*slopesCommand) SetFlags(_ *flag.FlagSet) {}

func (*slopesCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "what\tat\tat\tat\tslope")
	for _, s := range states() {
		s.print(out)
	}
	for _, m := range messages() {
		fmt.Fprintf(out, "%s\t%d B\t\t\t\n", m.name, m.bytes)
	}
	if err := out.Flush(); err != nil {
		return subcommands.ExitFailure
	}
	if err := processorTimes(ctx, out); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// state is something whose memory grows with a number.
type state struct {
	name  string
	sizes []int
	build func(n int) any
}

// print measures the heap at each size and prints the slope between the first
// and the last.
func (s state) print(out *tabwriter.Writer) {
	fmt.Fprint(out, s.name)
	var heaps []uint64
	for _, n := range s.sizes {
		heap := heapOf(func() any { return s.build(n) })
		heaps = append(heaps, heap)
		fmt.Fprintf(out, "\t%d: %d kB", n, heap>>10)
	}
	last := len(s.sizes) - 1
	slope := float64(heaps[last]-heaps[0]) / float64(s.sizes[last]-s.sizes[0])
	fmt.Fprintf(out, "\t%.0f B each\n", slope)
}

// heapOf returns the bytes that a built value holds.
func heapOf(build func() any) uint64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	value := build()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(value)
	return max(after.HeapAlloc, before.HeapAlloc) - before.HeapAlloc
}

func states() []state {
	return []state{
		{"entry: endpoint in the view, with its tables", []int{100, 400, 1600}, viewOf},
		{"configuration: team", []int{100, 400, 1600}, teamsOf},
		{"configuration: policy, compiled", []int{10, 40, 160}, policiesOf},
		{"configuration: change in the tail", []int{64, 128, 256}, tailOf},
		{"agent: call that is remembered", []int{1000, 4000, 16000}, callsOf},
		{"platform: claim in a log, as stored", []int{100, 400, 1600}, claimsOf},
	}
}

// viewOf returns the view and snapshot of n endpoints of 13 models.
func viewOf(n int) any {
	const models = 13
	services := make(map[string]config.Object[config.Service])
	for i := range models {
		services[fmt.Sprint("model-", i)] = config.Object[config.Service]{Value: config.Service{Kind: config.Model, Layers: 32}}
	}
	v := &view.View{Home: "hall-0", Links: func(_, _ string) time.Duration { return time.Millisecond }}
	for i := range n {
		part := (i / models) % 4
		v.Introduced(fleet.Endpoint{
			Name: fmt.Sprintf("endpoint-%05d", i), Address: fmt.Sprintf("10.1.%d.%d:7000", i/256, i%256),
			Incarnation: uint64(i + 1),
			Hall:        fmt.Sprint("hall-", i%10), Service: fmt.Sprint("model-", i%models),
			Layers: layer.Range{First: 8 * part, End: 8*part + 8},
		})
	}
	return []any{v, v.Snapshot(services)}
}

// stateOf returns a replica after n changes.
func stateOf(n int, change func(i int) config.Change) *replica.Config {
	r := replica.New()
	state := new(config.State)
	for i := range n {
		next, err := state.With(uint64(i+1), change(i))
		if err != nil {
			panic(err) // the changes are made here
		}
		state = next
	}
	if err := r.Install(state); err != nil {
		panic(err)
	}
	return r
}

func teamsOf(n int) any {
	return stateOf(n, func(i int) config.Change {
		body := fmt.Sprintf(`{"weight":2,"key_sha256":["%064d"],"max_in_flight":50}`, i)
		return config.Change{Kind: config.KindTeam, Name: fmt.Sprint("team-", i), Body: []byte(body)}
	})
}

const policyBody = `{"match":"team == 'team-7' && service.startsWith('assist')","repeatable":"true","priority":"prompt_tokens < 100 ? 5 : 1","deadline":"duration('20s')"}`

func policiesOf(n int) any {
	return stateOf(n, func(i int) config.Change {
		return config.Change{Kind: config.KindPolicy, Name: fmt.Sprint("policy-", i), Body: []byte(policyBody)}
	})
}

func tailOf(n int) any {
	var records []headlog.Record
	for i := range n {
		body := fmt.Appendf(nil, `{"who":"olga","at":"2026-12-02T12:00:00Z","kind":"policies","name":"rush","body":{"match":"true","order":%d}}`, i)
		records = append(records, headlog.Record{Revision: uint64(i + 1), ID: uuid.NewString(), Body: body})
	}
	return records
}

func callsOf(n int) any {
	now := time.Now()
	t := &once.Table[*wire.CallReply]{Start: now, Epoch: time.Second, Max: n, Keep: time.Hour}
	for i := range n {
		key := once.Key(uuid.New())
		t.Begin(now, once.Ticket{Key: key, Claim: uuid.NewString()})
		t.Finish(now, key, &wire.CallReply{Outcome: wire.CallReply_DONE, Status: 200, Body: fmt.Appendf(nil, `{"run":%d}`, i)})
	}
	return t
}

func claimsOf(n int) any {
	var stored []byte
	for range n {
		stored = append(stored, claimRecord()...)
	}
	return append([]byte(nil), stored...)
}

// claimRecord returns one claim as it is stored.
func claimRecord() []byte {
	c := claim.Claim{
		ID: uuid.NewString(), Key: fmt.Sprintf("%032d", 7), Digest: fmt.Sprintf("%032d", 8), Endpoint: "records-17",
		Address: "10.1.2.3:7000", Incarnation: 1796213755043321508, Epoch: 100, At: time.Now(),
	}
	body, _ := json.Marshal(c)
	record, _ := json.Marshal(headlog.Record{Revision: 1, ID: c.ID, Body: body})
	return record
}

// message is a message with its size as it travels.
type message struct {
	name  string
	bytes int
}

func messages() []message {
	id := make([]byte, 16)
	load := &wire.Load{Endpoint: "endpoint-01234", Sessions: 40, Limit: 60, StepMicros: 12000, Queue: 9, Batch: 32}
	brief := proto.Clone(load).(*wire.Load)
	brief.Endpoint = ""
	beat := &wire.Heartbeat{Incarnation: 1796213755043321508, Load: brief, EntriesHash: 1 << 60, Term: 40, Epoch: 2000}
	full := proto.Clone(beat).(*wire.Heartbeat)
	full.Self = &wire.Introduction{
		Endpoint: "endpoint-01234", Address: "10.1.2.3:7000", Hall: "rose-hill", Service: "assistant", First: 8, End: 16,
	}
	step := &wire.Step{Request: id, Attempt: 1, Stage: 2, Position: 300, Count: 1}
	loaded := proto.Clone(step).(*wire.Step)
	loaded.Loads = []*wire.Load{load, load, load}
	ask := &wire.SyncRequest{
		Self: &wire.Peer{Name: "entry-123", Address: "10.1.2.4:7000", Hall: "rose-hill"}, Revision: 12000, EntriesHash: 1 << 60,
	}
	const change = 330
	return []message{
		{"step of one position, without its activation", proto.Size(step)},
		{"step with load reports, one in 16", proto.Size(loaded)},
		{"token", proto.Size(&wire.Token{Request: id, Attempt: 1, Position: 300, Token: 31000})},
		{"cancel", proto.Size(&wire.Cancel{Request: id, Attempt: 1})},
		{"heartbeat, as a frame", frameSize(&wire.Batch{Heartbeats: []*wire.Heartbeat{beat}})},
		{"heartbeat with introduction, one in 8", frameSize(&wire.Batch{Heartbeats: []*wire.Heartbeat{full}})},
		{"heartbeat, were it JSON-RPC", jsonSize("heartbeat", full)},
		{"question for changes, as JSON-RPC", jsonSize("sync", ask)},
		{"reply to it with nothing new", jsonSize("", &wire.SyncReply{Revision: 12000})},
		{"reply to it with one change", jsonSize("", &wire.SyncReply{Revision: 12000, Changes: [][]byte{make([]byte, change)}})},
		{"claim, as stored", len(claimRecord())},
	}
}

// frameSize returns the size of a frame.
func frameSize(b *wire.Batch) int {
	const head = 4
	return head + proto.Size(b)
}

// envelope is what JSON-RPC adds to parameters or a result.
const envelope = `{"method":"","params":,"id":1234,"jsonrpc":"2.0"}` + "\n"

func jsonSize(method string, m proto.Message) int {
	text, _ := protojson.Marshal(m)
	return len(envelope) + len(method) + len(text)
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// spent returns the processor time for each of n repetitions of f.
func spent(n int, f func()) time.Duration {
	begin := processorTime()
	for range n {
		f()
	}
	return (processorTime() - begin) / time.Duration(n)
}

// processorTimes prints the processor time of control work and of tokens.
func processorTimes(ctx context.Context, out *tabwriter.Writer) error {
	fmt.Fprintln(out, "processor time\t\t\t\teach")
	for _, n := range []int{80, 320, 1280} {
		built := viewOf(n).([]any)[0].(*view.View)
		took := spent(20, func() { built.Snapshot(map[string]config.Object[config.Service]{}) })
		fmt.Fprintf(out, "rebuild of the snapshot\t%d endpoints\t\t\t%v\n", n, took)
	}
	set, err := policy.Compile(map[string]config.Object[config.Policy]{})
	if err != nil {
		return err
	}
	took := spent(100_000, func() { set.Decide(policy.Request{Team: "team-7", Service: "assistant"}, true) })
	fmt.Fprintf(out, "decision with no policy\t\t\t\t%v\n", took)
	policies := policiesOf(20).(*replica.Config).Current().Policies
	took = spent(5000, func() { policies.Decide(policy.Request{Team: "none", Service: "assistant"}, true) })
	fmt.Fprintf(out, "decision with 20 policies\t\t\t\t%v\n", took)
	if err := out.Flush(); err != nil {
		return err
	}
	return liveSlopes(ctx, out)
}

// liveSlopes runs labs of growing size without load and then with load.
func liveSlopes(ctx context.Context, out *tabwriter.Writer) error {
	if err := memorySlopes(ctx, out); err != nil {
		return err
	}
	for _, n := range []int{9, 36, 99} {
		idle, err := idleCost(ctx, n)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "heartbeat, both sides\t%d agents\t\t\t%v\n", n, idle)
	}
	for _, inFlight := range []int{30, 120, 480} {
		cost, rate, err := tokenCost(ctx, inFlight)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "token over three stages, engines and all\t%d in flight\t%.0f tokens/s\t\t%v\n", inFlight, rate, cost)
	}
	return out.Flush()
}

// live returns the bytes of heap and stacks in use.
func live() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// agentMemory returns the bytes that n agents add, both ends of their
// connections and the agents themselves included.
func agentMemory(ctx context.Context, n int) (uint64, error) {
	before := live()
	l := ramdin.small(n)
	if err := l.Start(ctx); err != nil {
		return 0, err
	}
	defer l.Close()
	time.Sleep(settle)
	return live() - before, nil
}

// requestMemory returns the bytes that n requests in flight add, at their entry,
// three agents and three engines.
func requestMemory(ctx context.Context, n int) (uint64, error) {
	s := ramdin
	s.answer = 1000
	l := s.small(9)
	l.MaxSessions = 2 * n
	if err := l.Start(ctx); err != nil {
		return 0, err
	}
	defer l.Close()
	before := live()
	t := &trial{site: s, lab: l}
	load, cancel := endAfter(ctx, 2*settle)
	defer cancel()
	ended := make(chan struct{})
	go func() {
		t.keep(load, n, 0)
		close(ended)
	}()
	time.Sleep(settle)
	used := live() - before
	cancel()
	<-ended
	return used, nil
}

// settle lets a lab come to rest.
const settle = 2 * time.Second

// memorySlopes prints what agents and requests add to a process of all roles.
func memorySlopes(ctx context.Context, out *tabwriter.Writer) error {
	for _, kind := range []struct {
		name    string
		sizes   []int
		measure func(context.Context, int) (uint64, error)
	}{
		{"agent, with both ends of its connections", []int{9, 36, 99}, agentMemory},
		{"request in flight, all roles and engines", []int{50, 200, 800}, requestMemory},
	} {
		fmt.Fprint(out, kind.name)
		var used []uint64
		for _, n := range kind.sizes {
			bytes, err := kind.measure(ctx, n)
			if err != nil {
				return err
			}
			used = append(used, bytes)
			fmt.Fprintf(out, "\t%d: %d kB", n, bytes>>10)
		}
		fmt.Fprintf(out, "\t%.0f B each\n", (float64(used[2])-float64(used[0]))/float64(kind.sizes[2]-kind.sizes[0]))
	}
	return out.Flush()
}

// idleCost returns the processor time of one heartbeat in an idle lab with n
// agents and one entry.
func idleCost(ctx context.Context, n int) (time.Duration, error) {
	s := ramdin
	l := s.small(n)
	const beat = 50 * time.Millisecond
	l.Heartbeat = beat
	if err := l.Start(ctx); err != nil {
		return 0, err
	}
	defer l.Close()
	const span = 3 * time.Second
	begin := processorTime()
	time.Sleep(span)
	beats := n * int(span/beat)
	return (processorTime() - begin) / time.Duration(beats), nil
}

// tokenCost returns the processor time of one token, that of the stand-in
// engines and of the load included, and the tokens a second.
func tokenCost(ctx context.Context, inFlight int) (time.Duration, float64, error) {
	l := ramdin.small(9)
	if err := l.Start(ctx); err != nil {
		return 0, 0, err
	}
	defer l.Close()
	const span = 4 * time.Second
	t := &trial{site: ramdin, lab: l}
	load, cancel := endAfter(ctx, span)
	defer cancel()
	begin := processorTime()
	t.keep(load, inFlight, 0)
	used := processorTime() - begin
	tokens := max(len(t.moments), 1)
	return used / time.Duration(tokens), float64(tokens) / span.Seconds(), nil
}
