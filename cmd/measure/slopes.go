package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"
)

type slopesCommand struct{}

func (*slopesCommand) Name() string             { return "slopes" }
func (*slopesCommand) Synopsis() string         { return "state, messages and processor time by size" }
func (*slopesCommand) Usage() string            { return "measure slopes\n" }
func (*slopesCommand) SetFlags(_ *flag.FlagSet) {}

func (*slopesCommand) Execute(_ context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return subcommands.ExitSuccess
}
