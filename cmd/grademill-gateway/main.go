// Command grademill-gateway is the daemon between callers and endpoints that
// speak HTTP, for the users' platform. It is a program of its own so that a host
// with little memory does not load what the other roles need.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/grademill/grademill/platform"
	"github.com/grademill/grademill/role/settings"
)

// The exit codes.
const (
	exitFailure  = 1
	exitSettings = 3
)

func main() {
	path := flag.String("settings", platform.SettingsPath(), "file of settings")
	flag.Parse()
	file, err := settings.Load(*path)
	if err == nil && file.Gateway == nil {
		err = &settings.Error{File: *path, Key: "role", Problem: "is " + file.Role + ", not gateway"}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	d := newDaemon(*path, file)
	if err := d.run(context.Background()); err != nil {
		d.log.Error().Err(err).Msg("the gateway failed")
		os.Exit(exitFailure)
	}
}
