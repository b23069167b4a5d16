// Command grademill-gateway runs the gateway, the daemon between callers and HTTP
// endpoints. It is separate from grademill so that a host with little memory does
// not load the code of the other roles.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/grademill/grademill/platform"
	"github.com/grademill/grademill/role/settings"
)

const (
	exitFailure  = 1
	exitSettings = 3
)

func main() {
	path := flag.String("settings", platform.SettingsPath(), "settings file")
	flag.Parse()
	file, err := load(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	d := newDaemon(*path, file)
	err = d.run(context.Background())
	if err != nil {
		d.log.Error().Err(err).Msg("process failed")
	}
	d.flush()
	if err != nil {
		os.Exit(exitFailure)
	}
}

// load reads the settings of a gateway. It returns a settings.Error for those of another role.
func load(path string) (*settings.File, error) {
	file, err := settings.Load(path)
	if err != nil {
		return nil, err
	}
	if file.Gateway == nil {
		return nil, &settings.Error{File: path, Key: "role", Problem: "is " + file.Role + ", not gateway"}
	}
	return file, nil
}
