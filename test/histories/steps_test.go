// Package histories_test runs the decision packages under many random schedules and
// checks the recorded histories against the guarantees. Where a mechanism can be
// switched off, a test shows that the check then fails.
package histories_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/grademill/grademill/decide/answer"
	"github.com/grademill/grademill/decide/fence"
	"github.com/grademill/grademill/standin/toy"
)

const (
	schedules       = 2000
	pathStages      = 3
	pathLayers      = 6
	pathPrompt      = 4
	pathAnswer      = 6
	pathMaxAttempts = 5
	pathMaxEvents   = 4000
)

// message is a step sent to a stage, or a token sent to the owner: the entry that assembles the
// answer.
type message struct {
	toOwner bool
	stage   int
	step    fence.Step
	xs      []uint64
	token   answer.Token
}

// stage is one stage of the chain, with its fence and its engine's caches for each attempt.
type stage struct {
	session fence.Session
	caches  map[uint32][]toy.Cache
	output  []uint64
	ran     map[fence.Step]int
	order   []fence.Step
}

// path is one request along a chain, over a network that delays, duplicates, drops
// and reorders messages.
type path struct {
	rnd *rand.Rand
	// unfenced ignores the fence's verdicts except Gap, to show that the check needs them.
	unfenced bool
	model    toy.Model
	stages   []*stage
	network  []message
	// owner is the state of the answer at the entry that assembles it.
	owner    answer.Assembly
	prompt   []uint32
	received []uint32
}

func newPath(seed uint64, unfenced bool) *path {
	p := &path{
		rnd: rand.New(rand.NewPCG(seed, 1)), unfenced: unfenced,
		model: toy.Model{Name: "m", Layers: pathLayers}, owner: answer.New(pathPrompt),
	}
	for range pathStages {
		p.stages = append(p.stages, &stage{caches: make(map[uint32][]toy.Cache), ran: make(map[fence.Step]int)})
	}
	for range pathPrompt {
		p.prompt = append(p.prompt, p.rnd.Uint32N(26)+'a')
	}
	return p
}

// dispatch sends the prompt and the tokens so far to the first stage, for the owner's current attempt.
func (p *path) dispatch() {
	tokens := append(append([]uint32(nil), p.prompt...), p.owner.Tokens...)
	xs := make([]uint64, len(tokens))
	for i, token := range tokens {
		xs[i] = toy.Embed(token)
	}
	step := fence.Step{Attempt: p.owner.Attempt, Count: uint32(len(xs))}
	p.network = append(p.network, message{step: step, xs: xs})
}

// run draws random events until the answer is complete. It reports false if pathMaxEvents were not enough.
func (p *path) run() bool {
	p.dispatch()
	for range pathMaxEvents {
		if p.owner.Complete {
			p.drain()
			return true
		}
		p.randomEvent()
	}
	return false
}

// drain delivers the messages still in flight, which must do no harm.
func (p *path) drain() {
	for len(p.network) > 0 {
		p.deliver(p.take())
	}
}

// randomEvent starts a new attempt, or duplicates, drops or delivers a message.
func (p *path) randomEvent() {
	switch n := p.rnd.IntN(20); {
	case len(p.network) == 0, n == 0 && p.owner.Attempt < pathMaxAttempts:
		p.owner = p.owner.WithAttempt()
		p.dispatch()
	case n < 4:
		p.network = append(p.network, p.network[p.rnd.IntN(len(p.network))])
	case n == 4 && p.owner.Attempt < pathMaxAttempts:
		p.take()
	default:
		p.deliver(p.take())
	}
}

func (p *path) take() message {
	i := p.rnd.IntN(len(p.network))
	m := p.network[i]
	p.network = append(p.network[:i], p.network[i+1:]...)
	return m
}

func (p *path) deliver(m message) {
	if m.toOwner {
		next, verdict := p.owner.WithToken(m.token)
		if verdict == answer.Accepted {
			p.received = append(p.received, m.token.ID)
		}
		p.owner = next
		return
	}
	s := p.stages[m.stage]
	verdict := s.session.Admit(m.step)
	if p.unfenced && verdict != fence.Gap {
		verdict = fence.Run
	}
	switch verdict {
	case fence.Run, fence.Restart:
		s.session = s.session.WithStarted(m.step)
		s.output = p.compute(m.stage, m)
		s.session, _ = s.session.WithDone(m.step)
		p.forward(m.stage, m.step)
	case fence.Replay:
		p.forward(m.stage, m.step)
	}
}

// compute runs the stage's layers, like its engine.
func (p *path) compute(i int, m message) []uint64 {
	s := p.stages[i]
	s.ran[m.step]++
	s.order = append(s.order, m.step)
	const layers = pathLayers / pathStages
	if s.caches[m.step.Attempt] == nil {
		s.caches[m.step.Attempt] = make([]toy.Cache, layers)
	}
	out := make([]uint64, len(m.xs))
	for j, x := range m.xs {
		for l := range layers {
			x = p.model.Layer(i*layers+l, &s.caches[m.step.Attempt][l], x)
		}
		out[j] = x
	}
	return out
}

// forward sends the stage's output to the next stage, or the token to the owner and the first stage.
func (p *path) forward(i int, step fence.Step) {
	xs := p.stages[i].output
	if i < pathStages-1 {
		p.network = append(p.network, message{stage: i + 1, step: step, xs: xs})
		return
	}
	made := step.Position + step.Count
	token := toy.Token(xs[len(xs)-1])
	end := made+1 >= pathPrompt+pathAnswer
	p.network = append(p.network, message{toOwner: true, token: answer.Token{
		Attempt: step.Attempt, Position: made, ID: token, End: end,
	}})
	if !end {
		next := fence.Step{Attempt: step.Attempt, Position: made, Count: 1}
		p.network = append(p.network, message{step: next, xs: []uint64{toy.Embed(token)}})
	}
}

// violation describes the first violation found in the history, or returns "".
func (p *path) violation() string {
	want := p.model.Answer(p.prompt, pathAnswer)
	if fmt.Sprint(p.received) != fmt.Sprint(want) {
		return fmt.Sprintf("the caller got tokens %v, the model gives %v", p.received, want)
	}
	for i, s := range p.stages {
		next := make(map[uint32]uint32)
		for _, step := range s.order {
			if s.ran[step] > 1 {
				return fmt.Sprintf("stage %d ran %+v %d times", i, step, s.ran[step])
			}
			if step.Position != next[step.Attempt] {
				return fmt.Sprintf("stage %d ran %+v out of order, position %d was next", i, step, next[step.Attempt])
			}
			next[step.Attempt] = step.Position + step.Count
		}
	}
	return ""
}

func TestEveryLayerOnceInOrder(t *testing.T) {
	for seed := range uint64(schedules) {
		p := newPath(seed, false)
		require.True(t, p.run(), "seed %d: the answer was not completed", seed)
		require.Empty(t, p.violation(), "seed %d", seed)
	}
}

// Guards against a check that cannot fail: without the fence, the same schedules
// run layers twice or give wrong answers.
func TestWithoutFenceTheCheckFails(t *testing.T) {
	violations := 0
	for seed := range uint64(schedules) {
		p := newPath(seed, true)
		if !p.run() || p.violation() != "" {
			violations++
		}
	}
	require.Greater(t, violations, schedules/10)
}
