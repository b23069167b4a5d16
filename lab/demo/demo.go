// Package demo runs the whole path in one process over loopback, ends an agent of the chain
// that an answer comes along, and checks that the answer goes on.
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

// What the demo serves.
const (
	model  = "assistant"
	layers = 12
	plain  = "records"
	team   = "front-desk"
	tokens = 24
)

// Demo is one run. Set the exported fields before Run.
type Demo struct {
	// Out gets what a caller sees, Log the decisions.
	Out io.Writer
	Log zerolog.Logger
}

// Answer is what became of a request.
type Answer struct {
	Tokens   []uint32
	Attempts int
	// Before and After are the endpoints of its chain half way and at its end.
	Before, After []string
	// Pause is the longest time between two tokens.
	Pause time.Duration
}

// NotCarriedError is an answer that did not go on along another chain, or not to its end.
type NotCarriedError struct {
	Answer Answer
	// Killed is the endpoint whose agent was killed.
	Killed string
}

// Error says what was missing.
func (e *NotCarriedError) Error() string {
	return fmt.Sprintf("the answer was not carried over when %s was lost: %d of %d tokens in %d attempt(s), along %s and then %s",
		e.Killed, len(e.Answer.Tokens), tokens, e.Answer.Attempts, e.Answer.Before, e.Answer.After)
}

// Run runs the demo. It returns a NotCarriedError when the answer whose agent is killed is not
// whole, or came along one chain alone.
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
	if err := d.carried(ctx, l); err != nil {
		return err
	}
	return d.calls(ctx, l)
}

// lab is three halls with two engines for each third of the model.
func (d *Demo) lab(records string) *lab.Lab {
	l := &lab.Lab{
		Entries: []lab.Host{{Name: "entry-1", Hall: "rose-hill"}, {Name: "entry-2", Hall: "curepipe"}},
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

// carried asks for an answer, and kills the agent in the middle of its chain half way.
func (d *Demo) carried(ctx context.Context, l *lab.Lab) error {
	const prompt = "Plan three workouts for a beginner."
	killed := ""
	answer, err := d.answer(ctx, l.Entry(1), prompt, func(chain []string) {
		killed = chain[len(chain)/2]
		l.Kill(killed)
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(d.Out, "   the agent beside %s was killed half way: chain %s, then %s; longest pause %s\n",
		killed, strings.Join(answer.Before, " "), strings.Join(answer.After, " "), answer.Pause.Round(time.Millisecond))
	want := toy.Model{Name: model, Layers: layers}.Answer(toy.Tokens(prompt), tokens)
	if answer.Attempts < 2 || slices.Contains(answer.After, killed) || !slices.Equal(answer.Tokens, want) {
		return &NotCarriedError{Answer: answer, Killed: killed}
	}
	return nil
}

// answer asks for a completion and writes it as it comes. Half way it calls middle with the
// endpoints of the chain, when that is set.
func (d *Demo) answer(ctx context.Context, e *entry.Entry, prompt string, middle func(chain []string)) (Answer, error) {
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
		a.After = inUse(e)
		if len(a.Tokens) == tokens/2 && middle != nil {
			a.Before = a.After
			middle(a.Before)
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

// inUse returns the endpoints of the model that run a request of an entry, in the order of
// their layers.
func inUse(e *entry.Entry) []string {
	var chain []string
	first := make(map[string]int)
	for _, c := range e.Snapshot().Models[model].Candidates {
		if c.Usage.Own.Load() > 0 {
			chain = append(chain, c.Endpoint.Name)
			first[c.Endpoint.Name] = c.Endpoint.Layers.First
		}
	}
	slices.SortFunc(chain, func(a, b string) int { return first[a] - first[b] })
	return chain
}

// calls renews a membership twice with the same key, at two entries: it runs once.
func (d *Demo) calls(ctx context.Context, l *lab.Lab) error {
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
