//go:build review

// Package standin_test plays the cases of the review that are scripts. Its test binary is the store, the runners
// and the callers of some gateway processes, which the script starts once the settings files are written. It exits
// with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package standin_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// Exit statuses.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNoTrial = 2
)

// play plays a case, with or without its disruption, and reports whether the rule was broken.
type play func(w *world, trouble bool) (broken bool, err error)

// cases are the cases by name.
var cases = map[string]play{"keys": playKeys, "zones": playZones}

// TestMain plays one case in place of tests.
func TestMain(*testing.M) {
	name := flag.String("case", "", "name of the case")
	dir := flag.String("dir", "", "folder for the settings files")
	path := flag.String("record", "", "file for what was sent, answered and run")
	trouble := flag.Int("trouble", 1, "0 plays the case without its disruption")
	flag.Parse()
	os.Exit(playCase(*name, *dir, *path, *trouble != 0))
}

// playCase plays a case and returns the exit status.
func playCase(name, dir, path string, trouble bool) int {
	play, known := cases[name]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitNoTrial
	}
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoTrial
	}
	defer r.close()
	w, err := newWorld(dir, r)
	if err != nil {
		r.note("cannot run: %v", err)
		return exitNoTrial
	}
	broken, err := play(w, trouble)
	switch {
	case err != nil:
		r.note("cannot run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNoTrial
	case broken:
		r.note("the rule was broken")
		return exitBroken
	}
	r.note("the rule held")
	return exitHeld
}
