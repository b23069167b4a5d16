package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"
)

type versionCommand struct{}

func (*versionCommand) Name() string             { return "version" }
func (*versionCommand) Synopsis() string         { return "print the version" }
func (*versionCommand) Usage() string            { return "grademill version\n" }
func (*versionCommand) SetFlags(_ *flag.FlagSet) {}

func (*versionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Println("grademill", version)
	return subcommands.ExitSuccess
}

type checkCommand struct{}

func (*checkCommand) Name() string             { return "check" }
func (*checkCommand) Synopsis() string         { return "validate a settings file" }
func (*checkCommand) SetFlags(_ *flag.FlagSet) {}

func (*checkCommand) Usage() string {
	return "grademill check FILE\n  Validates the settings in FILE and prints the first error with its line and key.\n" +
		"  Exit codes: 0 valid, 2 wrong arguments, 3 invalid settings.\n"
}

func (*checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	file, status := load(f, "")
	if status == subcommands.ExitSuccess {
		fmt.Printf("%s: settings for %s %s are valid\n", f.Arg(0), file.Role, file.Name)
	}
	return status
}
