package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
	"github.com/rs/zerolog"

	"github.com/grademill/grademill/lab/demo"
)

type demoCommand struct {
	verbose bool
}

func (*demoCommand) Name() string     { return "demo" }
func (*demoCommand) Synopsis() string { return "run a whole deployment in one process" }

func (c *demoCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.verbose, "v", false, "log routing decisions to standard error")
}

func (*demoCommand) Usage() string {
	return "grademill demo [-v]\n  Runs two entries, agents and stand-ins in one process over loopback, sends\n" +
		"  requests of both kinds, and kills an agent on the chain of a streaming answer.\n" +
		"  Fails if the answer does not resume on another chain, or is incomplete.\n"
}

func (c *demoCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	d := demo.Demo{Out: os.Stdout, Log: zerolog.Nop()}
	if c.verbose {
		d.Log = zerolog.New(os.Stderr).Level(zerolog.InfoLevel).With().Timestamp().Logger()
	}
	return finish(d.Run(ctx))
}
