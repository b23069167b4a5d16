package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	"github.com/grademill/grademill/decide/requestlog"
)

// defaultLookback is how long before a request a gateway's finding about an
// endpoint can still affect it: a gateway avoids a slow endpoint for at most 12 s.
const defaultLookback = 15 * time.Second

type explainCommand struct{ before time.Duration }

func (*explainCommand) Name() string { return "explain" }
func (*explainCommand) Synopsis() string {
	return "explain from logs what happened to a request, and why"
}

func (*explainCommand) Usage() string {
	return `grademill explain [-before DURATION] REQUEST FILE...
  Reads gateway logs and prints, in order of time, each decision about the request
  and what its gateways learnt about the endpoints that it used; then whether it
  ran and was acknowledged.
  Exit codes: 0 explained, 1 a log cannot be read, 2 wrong arguments, 4 no such request.
`
}

func (c *explainCommand) SetFlags(f *flag.FlagSet) {
	f.DurationVar(&c.before, "before", defaultLookback, "how long before the request to include findings about its endpoints")
}

func (c *explainCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() < 2 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	s := &requestlog.Log{Request: f.Arg(0), Before: c.before}
	for _, path := range f.Args()[1:] {
		if err := readLog(s, path); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return subcommands.ExitFailure
		}
	}
	if len(s.Lines()) == 0 {
		fmt.Fprintf(os.Stderr, "no log line mentions request %s\n", f.Arg(0))
		return exitRefused
	}
	if err := s.Write(os.Stdout); err != nil {
		return finish(err)
	}
	_, err := fmt.Fprintln(os.Stdout, "verdict:", s.Verdict())
	return finish(err)
}

// readLog adds the log lines of one file to s.
func readLog(s *requestlog.Log, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close() //nolint:errcheck // only read
	skipped, err := s.Read(file)
	if skipped > 0 {
		fmt.Fprintf(os.Stderr, "%s: skipped %d lines that are not log lines\n", path, skipped)
	}
	return err
}
