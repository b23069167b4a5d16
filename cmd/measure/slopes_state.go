package main

import (
	"encoding/json"
	"fmt"
	"runtime"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"

	"github.com/grademill/grademill/decide/claim"
	"github.com/grademill/grademill/decide/config"
	"github.com/grademill/grademill/decide/fleet"
	"github.com/grademill/grademill/decide/layer"
	"github.com/grademill/grademill/decide/once"
	"github.com/grademill/grademill/decide/view"
	"github.com/grademill/grademill/state/configreplica"
	"github.com/grademill/grademill/state/headlog"
	"github.com/grademill/grademill/wire"
)

// state is a kind of state whose memory grows with the number of its elements.
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

// heapOf returns the bytes of heap that the value returned by build holds.
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
		{"agent: remembered call", []int{1000, 4000, 16000}, callsOf},
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
	v := &view.View{HomeHall: "hall-0", Links: func(_, _ string) time.Duration { return time.Millisecond }}
	for i := range n {
		part := (i / models) % 4
		v.RecordIntroduction(fleet.Endpoint{
			Name: fmt.Sprintf("endpoint-%05d", i), Address: fmt.Sprintf("10.1.%d.%d:7000", i/256, i%256),
			Incarnation: uint64(i + 1),
			Hall:        fmt.Sprint("hall-", i%10), Service: fmt.Sprint("model-", i%models),
			Layers: layer.Range{First: 8 * part, End: 8*part + 8},
		})
	}
	return []any{v, v.Snapshot(services)}
}

// stateOf returns a replica of a configuration after n changes.
func stateOf(n int, change func(i int) config.Change) *configreplica.Config {
	r := configreplica.New()
	state := new(config.State)
	for i := range n {
		next, err := state.With(uint64(i+1), change(i))
		if err != nil {
			panic(err) // the changes generated here are valid
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

// claimRecord returns the stored form of one claim.
func claimRecord() []byte {
	c := claim.Claim{
		ID: uuid.NewString(), Key: fmt.Sprintf("%032d", 7), Digest: fmt.Sprintf("%032d", 8), Endpoint: "records-17",
		Address: "10.1.2.3:7000", Incarnation: 1796213755043321508, Epoch: 100, At: time.Now(),
	}
	body, _ := json.Marshal(c)
	record, _ := json.Marshal(headlog.Record{Revision: 1, ID: c.ID, Body: body})
	return record
}
