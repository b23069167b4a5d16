package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"
)

type demoCommand struct{}

func (*demoCommand) Name() string             { return "demo" }
func (*demoCommand) Synopsis() string         { return "run the whole path in one process" }
func (*demoCommand) SetFlags(_ *flag.FlagSet) {}

func (*demoCommand) Usage() string {
	return "grademill demo\n  Runs two entries, agents and stand-ins in one process over loopback, sends\n" +
		"  requests of both kinds, and prints the tokens and the decisions.\n"
}

func (*demoCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return finish(nil)
}
