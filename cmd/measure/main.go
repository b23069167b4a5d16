// Command measure runs the measurements behind docs/CAPACITY.md with stand-ins in
// one process: throughput against its upper bound, recovery time, overload, and
// memory, message sizes and processor time by size. It also compares placements of
// layers and tabulates the results of recorded test days.
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
	subcommands.Register(&boundCommand{}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
