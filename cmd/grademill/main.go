// Command grademill routes requests to pipelines over mixed accelerators.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

// version is the version of the program.
const version = "0.1.0"

func main() {
	os.Exit(int(run()))
}

// run registers the commands and runs the one that is asked for.
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
	flag.Parse()
	return subcommands.Execute(context.Background())
}
