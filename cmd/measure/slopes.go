package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/google/subcommands"
)

// slopesCommand measures the cost of state, messages and decisions.
type slopesCommand struct {
	overloadOnly bool
}

func (*slopesCommand) Name() string { return "slopes" }
func (*slopesCommand) Synopsis() string {
	return "measure memory, message sizes and processor time by size"
}
func (*slopesCommand) Usage() string { return "measure slopes [-overload]\n" }

// SetFlags registers the flags.
func (c *slopesCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.overloadOnly, "overload", false, "measure the overload control alone")
}

func (c *slopesCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	if c.overloadOnly {
		if err := overloadSlopes(out); err != nil {
			return subcommands.ExitFailure
		}
		return subcommands.ExitSuccess
	}
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
	if err := overloadSlopes(out); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	if err := processorTimes(ctx, out); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
