package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/google/subcommands"
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
	demoModel  = "assistant"
	demoLayers = 12
	demoPlain  = "records"
	demoTeam   = "front-desk"
	demoTokens = 24
)

type demoCommand struct{}

func (*demoCommand) Name() string             { return "demo" }
func (*demoCommand) Synopsis() string         { return "run the whole path in one process" }
func (*demoCommand) SetFlags(_ *flag.FlagSet) {}

func (*demoCommand) Usage() string {
	return "grademill demo\n  Runs two entries, agents and stand-ins in one process over loopback, sends\n" +
		"  requests of both kinds, kills an agent on the way, and prints the answers on\n" +
		"  standard output and the decisions on standard error.\n"
}

func (*demoCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return finish(demo(ctx))
}

// demo runs the whole path.
func demo(ctx context.Context) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	records := &http.Server{Handler: new(service.Service), ReadHeaderTimeout: time.Second}
	go records.Serve(listener) //nolint:errcheck // ends with the process
	defer records.Close()      //nolint:errcheck // nothing to save
	l := demoLab("http://" + listener.Addr().String())
	if err := l.Start(ctx); err != nil {
		return err
	}
	defer l.Close()
	if err := demoAnswer(ctx, l.Entry(0), "When is the next spinning class?", nil); err != nil {
		return err
	}
	fmt.Println("-- the agent beside engine-2b is killed while it answers")
	kill := func() { l.Kill("engine-2b") }
	if err := demoAnswer(ctx, l.Entry(1), "Plan three workouts for a beginner.", kill); err != nil {
		return err
	}
	return demoCalls(ctx, l)
}

// demoLab is three halls with two engines for each third of the model.
func demoLab(records string) *lab.Lab {
	log := zerolog.New(os.Stderr).Level(zerolog.InfoLevel).With().Timestamp().Logger()
	l := &lab.Lab{
		Entries: []lab.Host{{Name: "entry-1", Hall: "rose-hill"}, {Name: "entry-2", Hall: "curepipe"}},
		Plains:  []lab.Plain{{Name: "records-1", Hall: "rose-hill", Service: demoPlain, Base: records}},
		Service: demoModel, Layers: demoLayers, PlainService: demoPlain,
		Teams: map[string]float64{demoTeam: 1}, Log: log,
	}
	halls := []string{"rose-hill", "quatre-bornes", "curepipe"}
	for i, hall := range halls {
		part := demoLayers / len(halls)
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

// demoAnswer asks for a completion and prints the tokens as they come. Half way
// it calls middle, when that is set.
func demoAnswer(ctx context.Context, e *entry.Entry, prompt string, middle func()) error {
	fmt.Printf("%s -> ", prompt)
	n := 0
	usage, err := e.Complete(ctx, router.Completion{
		Team: demoTeam, Service: demoModel, Prompt: toy.Tokens(prompt), MaxTokens: demoTokens,
	}, func(token uint32) error {
		fmt.Printf("%c", token)
		n++
		if n == demoTokens/2 && middle != nil {
			middle()
		}
		return nil
	})
	if err != nil {
		return err
	}
	fmt.Printf("\n   %d tokens in %d attempt(s)\n", usage.Tokens, usage.Attempts)
	return nil
}

// demoCalls renews a membership twice with the same key, at two entries: it
// runs once.
func demoCalls(ctx context.Context, l *lab.Lab) error {
	for i := range 2 {
		reply, err := l.Entry(i).Call(ctx, router.Call{
			Team: demoTeam, Service: demoPlain, Key: "renewal-of-member-7", Method: http.MethodPost, Path: "/renew",
			Body: []byte(`{"member":7}`), ContentType: "application/json",
		})
		if err != nil {
			return err
		}
		fmt.Printf("renewal through entry-%d -> %s\n", i+1, reply.Body)
	}
	return nil
}
