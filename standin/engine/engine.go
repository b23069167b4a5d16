// Package engine is a stand-in for a model engine: it holds a range of layers of
// a toy model, runs steps in batches, caches prompt prefixes, and records the
// steps that it ran. Use an Engine directly in a process, or serve its Handler.
package engine

import (
	"container/list"
	"context"
	"encoding/binary"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"github.com/grademill/grademill/decide/layer"
	port "github.com/grademill/grademill/port/engine"
	"github.com/grademill/grademill/standin/toy"
	"github.com/grademill/grademill/wire"
)

// Run describes one step that an engine ran.
type Run struct {
	Request  string      `json:"request"`
	Attempt  uint32      `json:"attempt"`
	Position uint32      `json:"position"`
	Count    uint32      `json:"count"`
	Layers   layer.Range `json:"layers"`
	// Token is the resulting token, set only by the engine that holds the last layer.
	Token uint32 `json:"token"`
}

// Work counts the work that an engine has done.
type Work struct {
	// Busy is the total duration of the batches.
	Busy time.Duration
	// Positions is the number of positions computed, without those found in the prefix cache.
	Positions uint64
	// Batches and Steps are the numbers of batches and steps run.
	Batches, Steps uint64
}

// blockPositions is the number of positions in a block of the prefix cache.
const blockPositions = 16

// Engine is the stand-in. Set the exported fields before the first use.
type Engine struct {
	// Models holds the models that the engine can load, by service.
	Models map[string]toy.Model
	// Service and Layers name the service and the layers that are loaded; empty at the start for none.
	Service string
	Layers  layer.Range
	// Base is the duration of a batch, and PerToken the duration that each computed position adds.
	Base, PerToken time.Duration
	// MaxBatch is the largest number of steps in a batch, as reported by Status.
	MaxBatch int
	// PrefixBlocks is the size of the prefix cache in blocks; 0 for no cache.
	PrefixBlocks int
	// LoadTime is the duration of a load.
	LoadTime time.Duration
	// Sleep waits for a duration; nil means time.Sleep.
	Sleep func(time.Duration)
	// KeepRuns is whether the engine records its runs.
	KeepRuns bool

	device sync.Mutex // held while a batch runs
	freeAt time.Time  // when the device ends or ended its last batch
	mu     sync.Mutex // guards what follows
	term   uint64
	caches map[session]*state
	record []Run
	blocks map[uint64]*list.Element
	recent list.List
	work   Work
}

type session struct {
	request string
	attempt uint32
}

// state is the cached state of one attempt of one request.
type state struct {
	next   uint32
	layers []toy.Cache
	prefix uint64
}

// Status returns the loaded service and layers, the largest batch and the term of the latest load.
func (e *Engine) Status(context.Context) (port.Status, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return port.Status{Service: e.Service, Layers: e.Layers, MaxBatch: e.MaxBatch, Term: e.term}, nil
}

// Load loads layers of a service and drops all caches. It returns a StaleTermError
// if the engine has seen a higher term, also one that arrives while it loads.
func (e *Engine) Load(_ context.Context, term uint64, service string, layers layer.Range) error {
	e.mu.Lock()
	if term < e.term {
		seen := e.term
		e.mu.Unlock()
		return trace.Wrap(&port.StaleTermError{Term: term, Seen: seen})
	}
	e.term = term
	e.mu.Unlock()
	e.sleep(e.LoadTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.term != term {
		return trace.Wrap(&port.StaleTermError{Term: term, Seen: e.term})
	}
	e.Service, e.Layers = service, layers
	e.caches = nil
	return nil
}

// Run runs a batch. Concurrent batches run one after another.
func (e *Engine) Run(_ context.Context, batch *wire.EngineBatch) (*wire.EngineOutputs, error) {
	e.device.Lock()
	defer e.device.Unlock()
	e.mu.Lock()
	e.release(batch.GetReleases())
	outputs := new(wire.EngineOutputs)
	var fresh uint32
	for _, step := range batch.GetSteps() {
		output, cost := e.step(step)
		fresh += cost
		outputs.Outputs = append(outputs.Outputs, output)
	}
	took := e.Base + time.Duration(fresh)*e.PerToken
	if len(batch.GetSteps()) > 0 {
		e.work.Busy += took
		e.work.Positions += uint64(fresh)
		e.work.Batches++
		e.work.Steps += uint64(len(batch.GetSteps()))
	}
	e.mu.Unlock()
	if len(batch.GetSteps()) > 0 {
		e.occupy(took)
	}
	return outputs, nil
}

// maxLateness is how long after the device became free a batch may arrive and still
// count as started at that moment: a sleep overshoots by about this much.
const maxLateness = 2 * time.Millisecond

// occupy sleeps until the device would have ended a batch. It keeps the timeline
// of the device apart from the clock, so that overshooting sleeps do not add up.
func (e *Engine) occupy(took time.Duration) {
	now := time.Now()
	start := now
	if late := now.Sub(e.freeAt); late < maxLateness {
		start = e.freeAt
	}
	e.freeAt = start.Add(took)
	e.sleep(e.freeAt.Sub(now))
}

// Record returns all runs so far, in order.
func (e *Engine) Record() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.record...)
}

// Work returns the counts of the engine's work so far.
func (e *Engine) Work() Work {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.work
}

func (e *Engine) sleep(d time.Duration) {
	if e.Sleep != nil {
		e.Sleep(d)
		return
	}
	time.Sleep(d)
}

func (e *Engine) release(releases []*wire.Cancel) {
	for _, r := range releases {
		delete(e.caches, session{string(r.GetRequest()), r.GetAttempt()})
	}
}

// step runs one step and returns its output and the number of positions that were
// not in the prefix cache; e.mu is held.
func (e *Engine) step(s *wire.EngineStep) (*wire.EngineOutput, uint32) {
	key := session{string(s.GetRequest()), s.GetAttempt()}
	st := e.caches[key]
	if st == nil {
		st = &state{layers: make([]toy.Cache, e.Layers.Len())}
	}
	if refusal := e.check(s, st); refusal != "" {
		return &wire.EngineOutput{Error: refusal}, 0
	}
	if e.caches == nil {
		e.caches = make(map[session]*state)
	}
	e.caches[key] = st
	model := e.Models[e.Service]
	xs := decode(s.GetPayload(), e.Layers.First == 0)
	fresh := e.uncached(st, xs)
	for i, x := range xs {
		for l := range st.layers {
			x = model.Layer(e.Layers.First+l, &st.layers[l], x)
		}
		xs[i] = x
	}
	st.next = s.GetPosition() + s.GetCount()
	output := e.output(model, xs)
	e.recordStep(s, output)
	return output, fresh
}

// check returns why a step cannot run, or "" if it can.
func (e *Engine) check(s *wire.EngineStep, st *state) string {
	size := toy.ActivationBytes
	if e.Layers.First == 0 {
		size = toy.TokenBytes
	}
	switch {
	case e.Layers.Empty() || s.GetModel() != e.Service:
		return fmt.Sprintf("service %q is not loaded", s.GetModel())
	case s.GetPosition() != st.next:
		return fmt.Sprintf("position %d, cache ends at %d", s.GetPosition(), st.next)
	case s.GetCount() == 0 || len(s.GetPayload()) != int(s.GetCount())*size:
		return fmt.Sprintf("payload of %d bytes for %d positions", len(s.GetPayload()), s.GetCount())
	}
	return ""
}

// uncached returns the number of positions of xs that cached prefix blocks do not
// cover, at least 1, and adds the blocks to the cache.
func (e *Engine) uncached(st *state, xs []uint64) uint32 {
	fresh := uint32(len(xs))
	if e.PrefixBlocks == 0 || len(xs) < blockPositions {
		return fresh
	}
	hit := true
	for block := 0; block+blockPositions <= len(xs); block += blockPositions {
		st.prefix = hash(st.prefix, xs[block:block+blockPositions])
		hit = e.touch(st.prefix) && hit
		if hit {
			fresh -= blockPositions
		}
	}
	return max(fresh, 1)
}

// touch reports whether a block is cached, and makes it the most recently used
// one. A block that is not cached is added, in place of the least recently used
// one if the cache is full.
func (e *Engine) touch(block uint64) bool {
	if e.blocks == nil {
		e.blocks = make(map[uint64]*list.Element)
	}
	if el := e.blocks[block]; el != nil {
		e.recent.MoveToFront(el)
		return true
	}
	e.blocks[block] = e.recent.PushFront(block)
	if e.recent.Len() > e.PrefixBlocks {
		oldest := e.recent.Back()
		delete(e.blocks, e.recent.Remove(oldest).(uint64))
	}
	return false
}

// output returns the activations for the next stage or, after the last layer, the
// token.
func (e *Engine) output(model toy.Model, xs []uint64) *wire.EngineOutput {
	if e.Layers.End == model.Layers {
		return &wire.EngineOutput{Token: toy.Token(xs[len(xs)-1])}
	}
	payload := make([]byte, 0, len(xs)*toy.ActivationBytes)
	for _, x := range xs {
		payload = binary.LittleEndian.AppendUint64(payload, x)
	}
	return &wire.EngineOutput{Payload: payload}
}

func (e *Engine) recordStep(s *wire.EngineStep, output *wire.EngineOutput) {
	if !e.KeepRuns {
		return
	}
	e.record = append(e.record, Run{
		Request:  fmt.Sprintf("%x", s.GetRequest()),
		Attempt:  s.GetAttempt(),
		Position: s.GetPosition(),
		Count:    s.GetCount(),
		Layers:   e.Layers,
		Token:    output.GetToken(),
	})
}

// decode returns the activations of a payload, which holds tokens if first is set.
func decode(payload []byte, first bool) []uint64 {
	if !first {
		xs := make([]uint64, len(payload)/toy.ActivationBytes)
		for i := range xs {
			xs[i] = binary.LittleEndian.Uint64(payload[i*toy.ActivationBytes:])
		}
		return xs
	}
	xs := make([]uint64, len(payload)/toy.TokenBytes)
	for i := range xs {
		xs[i] = toy.Embed(binary.LittleEndian.Uint32(payload[i*toy.TokenBytes:]))
	}
	return xs
}

func hash(seed uint64, xs []uint64) uint64 {
	buf := binary.LittleEndian.AppendUint64(nil, seed)
	for _, x := range xs {
		buf = binary.LittleEndian.AppendUint64(buf, x)
	}
	return xxhash.Sum64(buf)
}
