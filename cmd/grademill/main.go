// Command grademill routes inference requests to pipelines over mixed
// accelerators. Its subcommands run an entry or an agent, check settings, change
// the configuration, and explain requests from logs.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

const version = "0.1.0"

func main() {
	os.Exit(int(run()))
}

// run registers the subcommands and executes the one on the command line.
func run() subcommands.ExitStatus {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&versionCommand{}, "")
	subcommands.Register(&demoCommand{}, "")
	subcommands.Register(&entryCommand{}, "roles")
	subcommands.Register(&agentCommand{}, "roles")
	subcommands.Register(&checkCommand{}, "operators")
	subcommands.Register(&ctlCommand{}, "operators")
	subcommands.Register(&explainCommand{}, "operators")
	subcommands.Register(&loadCommand{}, "operators")
	flag.Parse()
	return subcommands.Execute(context.Background())
}
