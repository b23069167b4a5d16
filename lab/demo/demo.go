// Package demo runs a whole deployment in one process over loopback, kills an agent on the chain of a
// streaming answer, and checks that the answer resumes on another chain. Fill in a Demo and call Run.
package demo

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/grademill/grademill/decide/layer"
	"github.com/grademill/grademill/lab"
	"github.com/grademill/grademill/port/router"
	"github.com/grademill/grademill/role/entry"
	"github.com/grademill/grademill/standin/service"
	"github.com/grademill/grademill/standin/toy"
)

// Services, team and size of the answers of the demo.
const (
	model  = "assistant"
	layers = 12
	plain  = "records"
	team   = "front-desk"
	tokens = 24
)

// Demo is one run. Set the exported fields before Run.
type Demo struct {
	// Out receives the answers as a caller sees them, Log the log of all processes.
	Out io.Writer
	Log zerolog.Logger
}

// Answer describes the answer to a completion request.
type Answer struct {
	Tokens   []uint32
	Attempts int
	// ChainBefore and ChainAfter are the endpoints of the chain after half of the tokens and at the end.
	ChainBefore, ChainAfter []string
	// Pause is the longest time between two tokens.
	Pause time.Duration
}

// NotResumedError reports an answer that did not resume on another chain, or whose tokens are not those
// of the model.
type NotResumedError struct {
	Answer Answer
	// Killed is the endpoint whose agent was killed.
	Killed string
}

// Error describes the tokens, attempts and chains of the answer.
func (e *NotResumedError) Error() string {
	return fmt.Sprintf("answer did not resume correctly after the agent of %s was killed: %d of %d tokens in %d attempt(s), along %s and then %s",
		e.Killed, len(e.Answer.Tokens), tokens, e.Answer.Attempts, e.Answer.ChainBefore, e.Answer.ChainAfter)
}

// Run runs the demo. It returns a NotResumedError if the answer during which an agent is killed is
// incomplete or wrong, or was produced by only one chain.
func (d *Demo) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	records := &http.Server{Handler: new(service.Service), ReadHeaderTimeout: time.Second}
	go records.Serve(listener) //nolint:errcheck // ends with Close
	defer records.Close()      //nolint:errcheck // nothing to save
	l := d.lab("http://" + listener.Addr().String())
	if err := l.Start(ctx); err != nil {
		return err
	}
	defer l.Close()
	if _, err := d.answer(ctx, l.Entry(0), "When is the next spinning class?", nil); err != nil {
		return err
	}
	if err := d.checkRecovery(ctx, l); err != nil {
		return err
	}
	return d.checkIdempotentCall(ctx, l)
}

// lab returns a lab of three halls, each with two engines of different speed for one third of the model.
func (d *Demo) lab(records string) *lab.Lab {
	l := &lab.Lab{
		Entries: []lab.EntryConfig{{Name: "entry-1", Hall: "rose-hill"}, {Name: "entry-2", Hall: "curepipe"}},
		Plains:  []lab.Plain{{Name: "records-1", Hall: "rose-hill", Service: plain, Base: records}},
		Service: model, Layers: layers, PlainService: plain,
		Teams: map[string]float64{team: 1}, Log: d.Log,
	}
	halls := []string{"rose-hill", "quatre-bornes", "curepipe"}
	for i, hall := range halls {
		part := layers / len(halls)
		e := lab.Engine{
			Name: fmt.Sprintf("engine-%da", i+1), Hall: hall, Layers: layer.Range{First: i * part, End: (i + 1) * part},
			Base: 4 * time.Millisecond, PerToken: 20 * time.Microsecond, MaxBatch: 32,
		}
		l.Engines = append(l.Engines, e)
		e.Name = fmt.Sprintf("engine-%db", i+1)
		e.Base /= 2
		l.Engines = append(l.Engines, e)
	}
	return l
}

// checkRecovery requests an answer and kills the agent of the middle stage after half of the tokens. It returns
// a NotResumedError if the answer does not resume on another chain with the tokens of the model.
func (d *Demo) checkRecovery(ctx context.Context, l *lab.Lab) error {
	const prompt = "Plan three workouts for a beginner."
	killed := ""
	answer, err := d.answer(ctx, l.Entry(1), prompt, func(chain []string) {
		killed = chain[len(chain)/2]
		l.Kill(killed)
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(d.Out, "   the agent of %s was killed half way: chain %s, then %s; longest pause %s\n",
		killed, strings.Join(answer.ChainBefore, " "), strings.Join(answer.ChainAfter, " "), answer.Pause.Round(time.Millisecond))
	want := toy.Model{Name: model, Layers: layers}.Answer(toy.Tokens(prompt), tokens)
	if answer.Attempts < 2 || slices.Contains(answer.ChainAfter, killed) || !slices.Equal(answer.Tokens, want) {
		return &NotResumedError{Answer: answer, Killed: killed}
	}
	return nil
}

// answer requests a completion and writes it as it streams. After half of the tokens it calls onHalf,
// if not nil, with the endpoints of the chain.
func (d *Demo) answer(ctx context.Context, e *entry.Entry, prompt string, onHalf func(chain []string)) (Answer, error) {
	fmt.Fprintf(d.Out, "%s -> ", prompt)
	var a Answer
	var last time.Time
	usage, err := e.Complete(ctx, router.Completion{
		Team: team, Service: model, Prompt: toy.Tokens(prompt), MaxTokens: tokens,
	}, func(token uint32) error {
		if now := time.Now(); last.IsZero() {
			last = now
		} else {
			a.Pause, last = max(a.Pause, now.Sub(last)), now
		}
		fmt.Fprintf(d.Out, "%c", token)
		a.Tokens = append(a.Tokens, token)
		a.ChainAfter = inUse(e)
		if len(a.Tokens) == tokens/2 && onHalf != nil {
			a.ChainBefore = a.ChainAfter
			onHalf(a.ChainBefore)
		}
		return nil
	})
	if err != nil {
		return a, err
	}
	a.Attempts = usage.Attempts
	fmt.Fprintf(d.Out, "\n   %d tokens in %d attempt(s)\n", usage.Tokens, usage.Attempts)
	return a, nil
}

// inUse returns the endpoints of the model that run requests of an entry, in the order of their layers.
func inUse(e *entry.Entry) []string {
	var chain []string
	first := make(map[string]int)
	for _, c := range e.Snapshot().Models[model].Candidates {
		if c.Usage.OwnSessions.Load() > 0 {
			chain = append(chain, c.Endpoint.Name)
			first[c.Endpoint.Name] = c.Endpoint.Layers.First
		}
	}
	slices.SortFunc(chain, func(a, b string) int { return first[a] - first[b] })
	return chain
}

// checkIdempotentCall sends the same call with the same idempotency key to two entries; the service runs
// it once.
func (d *Demo) checkIdempotentCall(ctx context.Context, l *lab.Lab) error {
	for i := range 2 {
		reply, err := l.Entry(i).Call(ctx, router.Call{
			Team: team, Service: plain, Key: "renewal-of-member-7", Method: http.MethodPost, Path: "/renew",
			Body: []byte(`{"member":7}`), ContentType: "application/json",
		})
		if err != nil {
			return err
		}
		fmt.Fprintf(d.Out, "renewal through entry-%d -> %s\n", i+1, reply.Body)
	}
	return nil
}
