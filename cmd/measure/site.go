package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/grademill/grademill/decide/flow"
	"github.com/grademill/grademill/decide/layer"
	"github.com/grademill/grademill/lab"
	"github.com/grademill/grademill/port/router"
	"github.com/grademill/grademill/port/service"
	"github.com/grademill/grademill/role/entry"
)

// site describes a deployment to measure: three halls, 33 engines of three speeds
// that hold ranges of different sizes, three endpoints of a plain service, and ten
// teams.
type site struct {
	name   string
	halls  []string
	layers int
	// prompt and answer are the sizes in tokens of the prompt and answer of a request.
	prompt, answer int
	// slowHall multiplies the step time of the engines in the last hall; 0 for no change.
	slowHall float64
	// shared is the length in tokens of the prefix that all prompts have in common.
	shared int
	// blocks is the size of the engines' prefix caches in blocks.
	blocks int
	// waitFactor is the wait factor of the agents; 0 for their default.
	waitFactor float64
	// log receives the log of all processes; the zero value discards it.
	log zerolog.Logger
}

// The deployments that are measured.
var (
	ramdin     = site{name: "ramdin", halls: []string{"rose-hill", "quatre-bornes", "curepipe"}, layers: 24, prompt: 64, answer: 32}
	greenbough = site{name: "greenbough", halls: []string{"ikeja", "lekki", "ibadan"}, layers: 24, prompt: 96, answer: 48}
)

const (
	engineCount = 33
	maxBatch    = 8
	perToken    = 100 * time.Microsecond
	plainCount  = 3
)

// speeds lists the step times of the three kinds of accelerator for a third of the
// model.
var speeds = []time.Duration{10 * time.Millisecond, 16 * time.Millisecond, 24 * time.Millisecond}

// engines returns the engines of the site: 27 hold a third of the model each, and
// 6 a half.
func (s site) engines() []lab.Engine {
	var engines []lab.Engine
	add := func(i, first, end int) {
		base := speeds[i%len(speeds)] * time.Duration(end-first) / time.Duration(s.layers/3)
		hall := i % len(s.halls)
		if s.slowHall > 0 && hall == len(s.halls)-1 {
			base = time.Duration(float64(base) * s.slowHall)
		}
		engines = append(engines, lab.Engine{
			Name: fmt.Sprintf("engine-%02d", i), Hall: s.halls[hall], Layers: layer.Range{First: first, End: end},
			Base: base, PerToken: perToken, MaxBatch: maxBatch, PrefixBlocks: s.blocks,
		})
	}
	third, half := s.layers/3, s.layers/2
	for i := range engineCount {
		switch {
		case i < 27:
			part := (i / len(speeds)) % 3
			add(i, part*third, (part+1)*third)
		case i < 30:
			add(i, 0, half)
		default:
			add(i, half, s.layers)
		}
	}
	return engines
}

// bound returns an upper bound on the number of requests per second that the engines
// can serve: the maximum flow through the layers, where a request costs an engine its
// share of full batches plus the time of its positions.
func (s site) bound(engines []lab.Engine) float64 {
	n := flow.Network{Layers: s.layers}
	for _, e := range engines {
		steps := time.Duration(s.answer) * e.Base / time.Duration(e.MaxBatch)
		positions := time.Duration(s.prompt+s.answer-1) * e.PerToken
		n.Edges = append(n.Edges, flow.Edge{Layers: e.Layers, Capacity: 1 / (steps + positions).Seconds()})
	}
	return n.Bound()
}

// teams returns the weights of ten teams, two of them large.
func teams() map[string]float64 {
	weights := map[string]float64{"team-0": 4, "team-1": 4}
	for i := 2; i < 10; i++ {
		weights[fmt.Sprintf("team-%d", i)] = 1
	}
	return weights
}

// instantService is a plain service that answers without delay.
type instantService struct{}

func (instantService) Do(context.Context, service.Request) (service.Reply, error) {
	return service.Reply{Status: http.StatusOK}, nil
}

// open starts a lab of the site.
func (s site) open(ctx context.Context, chooser entry.Chooser) (*lab.Lab, error) {
	return s.openWith(ctx, chooser, 0)
}

// openWith starts a lab of the site whose entries queue at most queue requests; 0
// for the default.
func (s site) openWith(ctx context.Context, chooser entry.Chooser, queue int) (*lab.Lab, error) {
	l := &lab.Lab{
		MaxQueue: queue,
		Engines:  s.engines(), Service: "assistant", Layers: s.layers, PlainService: "records",
		Teams: teams(), MaxSessions: 128, WaitFactor: s.waitFactor, Log: s.log.With().Timestamp().Logger(),
		Adjust: func(e *entry.Entry) { e.Chooser = chooser },
	}
	for i, hall := range s.halls {
		l.Entries = append(l.Entries, lab.EntryConfig{Name: fmt.Sprintf("entry-%d", i), Hall: hall})
	}
	for i := range plainCount {
		l.Plains = append(l.Plains, lab.Plain{
			Name: fmt.Sprintf("records-%d", i), Hall: s.halls[i%len(s.halls)], Service: "records", Do: instantService{},
		})
	}
	return l, l.Start(ctx)
}

// delivery is the delivery of a token to a caller.
type delivery struct {
	at      time.Time
	request int
	token   bool
}

// trial applies load to a lab and collects the results.
type trial struct {
	site  site
	lab   *lab.Lab
	alive func(i int) bool // whether entry i takes callers; nil for always

	mu         sync.Mutex
	next       int
	deliveries []delivery
	first      []time.Duration
	between    []time.Duration
	results    []result
}

// result describes one request that has ended.
type result struct {
	begin, end time.Time
	request    int
	team       string
	attempts   int
	tokens     int
	err        error
	// first is when the first token arrived, zero if none did.
	first time.Time
	// gap is the longest interval without a token, and gapFrom when it began.
	gap     time.Duration
	gapFrom time.Time
}

// request sends one request, to the next entry that accepts callers, and records
// its result.
func (t *trial) request(ctx context.Context, team string) result {
	t.mu.Lock()
	id := t.next
	t.next++
	t.mu.Unlock()
	i := id % len(t.lab.Entries)
	for t.alive != nil && !t.alive(i) {
		i = (i + 1) % len(t.lab.Entries)
	}
	// The request ends when its entry is killed.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(t.lab.ProcessContext(t.lab.Entries[i].Name), cancel)()
	r := result{begin: time.Now(), request: id, team: team}
	last := r.begin
	var at []time.Time
	usage, err := t.lab.Entry(i).Complete(ctx, router.Completion{
		Team: team, Service: "assistant", Prompt: t.prompt(id), MaxTokens: t.site.answer,
	}, func(uint32) error {
		now := time.Now()
		if gap := now.Sub(last); gap > r.gap {
			r.gap, r.gapFrom = gap, last
		}
		last = now
		if len(at) == 0 {
			r.first = now
		}
		at = append(at, now)
		return nil
	})
	r.end, r.attempts, r.tokens, r.err = time.Now(), usage.Attempts, usage.Tokens, err
	t.record(r, at)
	return r
}

// prompt returns the prompt of a request: the shared prefix, then tokens that
// depend on the request.
func (t *trial) prompt(id int) []uint32 {
	rnd := rand.New(rand.NewPCG(uint64(id), 7))
	prompt := make([]uint32, t.site.prompt)
	for i := range prompt {
		if i < t.site.shared {
			prompt[i] = uint32(i)
			continue
		}
		prompt[i] = rnd.Uint32N(1000)
	}
	return prompt
}

func (t *trial) record(r result, at []time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.results = append(t.results, r)
	for i, delivered := range at {
		t.deliveries = append(t.deliveries, delivery{at: delivered, request: r.request, token: true})
		if i == 0 {
			t.first = append(t.first, delivered.Sub(r.begin))
			continue
		}
		t.between = append(t.between, delivered.Sub(at[i-1]))
	}
}

// endAfter returns a context that is cancelled after d. Unlike that of
// context.WithTimeout it has no deadline, which the requests would adopt.
func endAfter(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(d, cancel)
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}

// holdInFlight holds n requests in flight until ctx ends, and then cancels them. The start
// of the first n is spread over ramp, so that they do not run in lockstep.
func (t *trial) holdInFlight(ctx context.Context, n int, ramp time.Duration) {
	var group sync.WaitGroup
	for i := range n {
		team := fmt.Sprintf("team-%d", i%10)
		group.Go(func() {
			time.Sleep(ramp * time.Duration(i) / time.Duration(n))
			for ctx.Err() == nil {
				t.request(ctx, team)
			}
		})
	}
	group.Wait()
}

// rate returns the average number of tokens a second between two times.
func (t *trial) rate(from, to time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, m := range t.deliveries {
		if m.at.After(from) && m.at.Before(to) {
			n++
		}
	}
	return float64(n) / to.Sub(from).Seconds()
}

// small returns a lab with one entry and n engines, each with a third of the layers.
func (s site) small(n int) *lab.Lab {
	l := &lab.Lab{
		Entries: []lab.EntryConfig{{Name: "entry-0", Hall: s.halls[0]}},
		Service: "assistant", Layers: s.layers, Teams: teams(), MaxSessions: 128, Log: zerolog.Nop(),
	}
	third := s.layers / 3
	for i := range n {
		part := i % 3
		l.Engines = append(l.Engines, lab.Engine{
			Name: fmt.Sprintf("engine-%03d", i), Hall: s.halls[part],
			Layers: layer.Range{First: part * third, End: (part + 1) * third},
			Base:   2 * time.Millisecond, PerToken: 10 * time.Microsecond, MaxBatch: 64,
		})
	}
	return l
}
