package histories_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/config"
	"github.com/grademill/grademill/port/kv"
	"github.com/grademill/grademill/standin/platform"
	"github.com/grademill/grademill/state/configlog"
	"github.com/grademill/grademill/state/configreplica"
	"github.com/grademill/grademill/state/headlog"
)

const (
	configSeeds     = 40
	configOperators = 5
	configChanges   = 12
	objectName      = "rush-hour"
)

// faulty is a store with random faults drawn from a seed: outages, lost responses,
// and delays before and after each call, so that writers can overtake each other.
type faulty struct {
	kv.Store
	mu  sync.Mutex
	rnd *rand.Rand
	// unconditional drops the condition of writes, to show that the check needs it.
	unconditional bool
	// faultsEnded turns all faults off.
	faultsEnded bool
}

// faultError is the error of a call without a response.
type faultError struct{}

func (faultError) Error() string { return "no answer" }

// drawFault draws the delays of a call, and whether its response is lost or it is never sent.
func (f *faulty) drawFault() (before, after time.Duration, lost, unsent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faultsEnded {
		return 0, 0, false, false
	}
	pause := func() time.Duration {
		d := time.Duration(f.rnd.IntN(20)) * time.Millisecond
		if f.rnd.IntN(20) == 0 {
			d *= 100 // simulates a paused process
		}
		return d
	}
	return pause(), pause(), f.rnd.IntN(5) == 0, f.rnd.IntN(8) == 0
}

func (f *faulty) Get(ctx context.Context, key string) (kv.Pair, error) {
	before, after, lost, unsent := f.drawFault()
	time.Sleep(before)
	if lost || unsent {
		return kv.Pair{}, &kv.UnavailableError{Err: faultError{}}
	}
	pair, err := f.Store.Get(ctx, key)
	time.Sleep(after)
	return pair, err
}

func (f *faulty) Put(ctx context.Context, w kv.Write) (uint64, error) {
	before, after, lost, unsent := f.drawFault()
	time.Sleep(before)
	if unsent {
		return 0, &kv.UnavailableError{Err: faultError{}}
	}
	if f.unconditional {
		if pair, err := f.Store.Get(ctx, w.Key); err == nil {
			w.If = pair.Revision
		}
	}
	// A write in flight takes effect whether or not its sender still waits.
	revision, err := f.Store.Put(context.WithoutCancel(ctx), w)
	time.Sleep(after)
	if lost {
		return 0, &kv.UnavailableError{Err: faultError{}}
	}
	return revision, err
}

// change is one operation of an operator: a write on the condition that the object is at revision match.
type change struct {
	match uint64
	id    string
}

// changeResult is the outcome of a change: accepted with a revision, refused because the
// object was at another revision, or unknown (open).
type changeResult struct {
	accepted uint64
	refused  bool
	have     uint64
	open     bool
}

// objectModel is the sequential model of one object under compare-and-swap by revision.
var objectModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		at, in, out := state.(uint64), input.(change), output.(changeResult)
		if out.refused {
			return at == out.have && at != in.match, at
		}
		return at == in.match && out.accepted > at, out.accepted
	},
}

// configRun is a history of concurrent changes and of the revisions that replicas observed.
type configRun struct {
	operations []porcupine.Operation
	seen       [][]uint64 // revisions in force, by replica
	final      []*config.State
	log        headlog.Head
}

// operate makes changes one after another, each conditional on the revision that the operator last saw.
func operate(r *configRun, mu *sync.Mutex, who int, log *configlog.Log) {
	for i := range configChanges {
		current := log.Replica.Current().State
		in := change{match: current.ObjectRevision(config.KindPolicy, objectName), id: fmt.Sprintf("%d-%d", who, i)}
		body, _ := json.Marshal(config.Policy{Match: "true", Order: who*configChanges + i})
		c := config.Change{Who: fmt.Sprint(who), Kind: config.KindPolicy, Name: objectName, Body: body}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		call := time.Now().UnixNano()
		revision, err := log.Change(ctx, in.id, c, &in.match)
		cancel()
		out := changeResult{accepted: revision}
		var match *config.MatchError
		if errors.As(err, &match) {
			out = changeResult{refused: true, have: match.Have}
		} else if err != nil {
			out = changeResult{open: true}
		}
		mu.Lock()
		r.operations = append(r.operations, porcupine.Operation{
			ClientId: who, Input: in, Call: call, Output: out, Return: time.Now().UnixNano(),
		})
		mu.Unlock()
		_ = log.Refresh(context.Background())
	}
}

// runConfig runs concurrent operators and replicas on a virtual clock.
func runConfig(t *testing.T, seed uint64, unconditional bool) *configRun {
	r := new(configRun)
	synctest.Test(t, func(t *testing.T) {
		store := &faulty{Store: new(platform.Store), rnd: rand.New(rand.NewPCG(seed, 2)), unconditional: unconditional}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var mu sync.Mutex
		var operators, watchers sync.WaitGroup
		var logs []*configlog.Log
		r.seen = make([][]uint64, configOperators)
		for who := range configOperators {
			log := configlog.New(store, configreplica.New())
			logs = append(logs, log)
			operators.Go(func() { operate(r, &mu, who, log) })
			watchers.Go(func() {
				for ctx.Err() == nil {
					r.seen[who] = append(r.seen[who], log.Replica.Revision())
					time.Sleep(5 * time.Millisecond)
				}
			})
		}
		operators.Wait()
		store.mu.Lock()
		store.faultsEnded = true
		store.mu.Unlock()
		time.Sleep(time.Minute) // writes in flight arrive
		for _, log := range logs {
			_ = log.Refresh(ctx)
			r.final = append(r.final, log.Replica.Current().State)
		}
		last := headlog.Log{Store: store, Key: "config/head"}
		head, err := last.Read(ctx)
		require.NoError(t, err)
		r.log = head
		cancel()
		watchers.Wait()
	})
	return r
}

// settle replaces the unknown outcomes by those found in the log. A change that the log
// does not contain took no effect and is left out.
func (r *configRun) settle() []porcupine.Operation {
	var settled []porcupine.Operation
	for _, op := range r.operations {
		if op.Output.(changeResult).open {
			record, ok := r.log.Find(op.Input.(change).id)
			if !ok {
				continue
			}
			op.Output = changeResult{accepted: record.Revision}
			// The change may have taken effect at any time after the call, so the operation has
			// no upper bound.
			op.Return = time.Now().Add(time.Hour * 24 * 365 * 200).UnixNano()
		}
		settled = append(settled, op)
	}
	return settled
}

// violation describes the first violation found in the history, or returns "".
func (r *configRun) violation() string {
	if !porcupine.CheckOperations(objectModel, r.settle()) {
		return "the changes are not linearizable"
	}
	for i, seen := range r.seen {
		for j := 1; j < len(seen); j++ {
			if seen[j] < seen[j-1] {
				return fmt.Sprintf("replica %d went back from revision %d to %d", i, seen[j-1], seen[j])
			}
		}
	}
	for i, state := range r.final {
		if state.Revision != r.log.Revision() || fmt.Sprint(state.Policies) != fmt.Sprint(r.final[0].Policies) {
			return fmt.Sprintf("replica %d ends at revision %d, the log at %d, or their policies differ", i, state.Revision, r.log.Revision())
		}
	}
	return ""
}

func TestAcceptedConfigurationNeverReverts(t *testing.T) {
	accepted := 0
	for seed := range uint64(configSeeds) {
		r := runConfig(t, seed, false)
		require.Empty(t, r.violation(), "seed %d", seed)
		accepted += int(r.log.Revision())
	}
	require.Positive(t, accepted)
	t.Logf("%d histories, %d operations, %d changes accepted",
		configSeeds, configSeeds*configOperators*configChanges, accepted)
}

// Guards against a check that cannot fail: without the condition on writes,
// concurrent operators overwrite accepted changes.
func TestWithoutCompareAndSwapTheCheckFails(t *testing.T) {
	violations := 0
	for seed := range uint64(configSeeds) {
		if runConfig(t, seed, true).violation() != "" {
			violations++
		}
	}
	require.Positive(t, violations)
}
