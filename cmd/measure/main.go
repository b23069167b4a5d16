// Command measure measures throughput against the bound, recovery time, and the
// slopes that docs/CAPACITY.md rests on, with small stand-ins in one process.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&throughputCommand{}, "")
	subcommands.Register(&recoveryCommand{}, "")
	subcommands.Register(&overloadCommand{}, "")
	subcommands.Register(&slopesCommand{}, "")
	subcommands.Register(&daysCommand{}, "")
	subcommands.Register(&accountCommand{}, "")
	subcommands.Register(&placementsCommand{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
