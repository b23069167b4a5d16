package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/google/subcommands"
)

type slopesCommand struct{}

func (*slopesCommand) Name() string { return "slopes" }
func (*slopesCommand) Synopsis() string {
	return "measure memory, message sizes and processor time by size"
}
func (*slopesCommand) Usage() string            { return "measure slopes\n" }
func (*slopesCommand) SetFlags(_ *flag.FlagSet) {}

func (*slopesCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "what\tat\tat\tat\tslope")
	for _, s := range states() {
		s.print(out)
	}
	for _, m := range messages() {
		fmt.Fprintf(out, "%s\t%d B\t\t\t\n", m.name, m.bytes)
	}
	if err := out.Flush(); err != nil {
		return subcommands.ExitFailure
	}
	if err := processorTimes(ctx, out); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
