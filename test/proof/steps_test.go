// Package proof_test checks histories of many schedules against the promises.
// Where a mechanism can be switched off, a test shows that the check then
// fails.
package proof_test

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
	schedules   = 2000
	pathStages  = 3
	pathLayers  = 6
	pathPrompt  = 4
	pathAnswer  = 6
	pathMaxTry  = 5
	pathMaxMove = 4000
)

// message is a step for a stage, or a token for the owner.
type message struct {
	toOwner bool
	stage   int
	step    fence.Step
	xs      []uint64
	token   answer.Token
}

// stage is a stage with its fence and, for each attempt, its engine's caches.
type stage struct {
	session fence.Session
	caches  map[uint32][]toy.Cache
	output  []uint64
	ran     map[fence.Step]int
	order   []fence.Step
}

// path is one request on its way along a chain, over a network that delays,
// doubles, drops and crosses messages.
type path struct {
	rnd      *rand.Rand
	unfenced bool
	model    toy.Model
	stages   []*stage
	network  []message
	owner    answer.Assembly
	prompt   []uint32
	given    []uint32
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

// dispatch starts the owner's current attempt.
func (p *path) dispatch() {
	tokens := append(append([]uint32(nil), p.prompt...), p.owner.Tokens...)
	xs := make([]uint64, len(tokens))
	for i, token := range tokens {
		xs[i] = toy.Embed(token)
	}
	step := fence.Step{Attempt: p.owner.Attempt, Count: uint32(len(xs))}
	p.network = append(p.network, message{step: step, xs: xs})
}

// run moves messages at random until the answer is complete.
func (p *path) run() bool {
	p.dispatch()
	for range pathMaxMove {
		if p.owner.Complete {
			p.drain()
			return true
		}
		p.move()
	}
	return false
}

// drain delivers what is still on its way: late messages must do no harm.
func (p *path) drain() {
	for len(p.network) > 0 {
		p.deliver(p.take())
	}
}

// move lets one thing happen.
func (p *path) move() {
	switch n := p.rnd.IntN(20); {
	case len(p.network) == 0, n == 0 && p.owner.Attempt < pathMaxTry:
		p.owner = p.owner.WithAttempt()
		p.dispatch()
	case n < 4:
		p.network = append(p.network, p.network[p.rnd.IntN(len(p.network))])
	case n == 4 && p.owner.Attempt < pathMaxTry:
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
			p.given = append(p.given, m.token.ID)
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

// compute runs the stage's layers, as its engine does.
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

// forward sends the stage's output on.
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

// violation returns what is wrong with the history, or nothing.
func (p *path) violation() string {
	want := p.model.Answer(p.prompt, pathAnswer)
	if fmt.Sprint(p.given) != fmt.Sprint(want) {
		return fmt.Sprintf("the caller got %v, the model says %v", p.given, want)
	}
	for i, s := range p.stages {
		next := make(map[uint32]uint32)
		for _, step := range s.order {
			if s.ran[step] > 1 {
				return fmt.Sprintf("stage %d ran %+v %d times", i, step, s.ran[step])
			}
			if step.Position != next[step.Attempt] {
				return fmt.Sprintf("stage %d ran %+v, %d was next", i, step, next[step.Attempt])
			}
			next[step.Attempt] = step.Position + step.Count
		}
	}
	return ""
}

func TestEveryLayerOnceInOrder(t *testing.T) {
	for seed := range uint64(schedules) {
		p := newPath(seed, false)
		require.True(t, p.run(), "seed %d: no answer", seed)
		require.Empty(t, p.violation(), "seed %d", seed)
	}
}

// Without the fence the same schedules show layers that run twice, or answers
// that are wrong.
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
