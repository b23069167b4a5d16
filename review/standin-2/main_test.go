//go:build review

// Package standin_test plays the cases of the second independent review, as a program: it starts a gateway as the deploy file says, with
// stand-ins for the platform's store, runners and consumers on loopback addresses, and writes what was sent, answered
// and run to a record.
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run.
package standin_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// Exit codes.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitInvalid = 2
)

// maxRun bounds a case: whatever hangs, the processes are ended and the case counts as one that could not run.
const maxRun = 110 * time.Second

// cases are the cases by name. Each reports whether its rule was broken.
var cases = map[string]func(w *world, trouble bool) (bool, error){
	"drip":     drip,
	"fields":   fields,
	"oversize": oversize,
	"prefix":   prefix,
	"loop":     loop,
}

func TestMain(*testing.M) {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE FOLDER")
		return exitInvalid
	}
	play, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		return exitInvalid
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalid
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	w := newWorld(rec)
	defer w.close()
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := play(w, trouble)
		done <- result{broken, err}
	}()
	select {
	case r := <-done:
		switch {
		case r.err != nil:
			rec.note("the case could not run: %v", r.err)
			return exitInvalid
		case r.broken:
			rec.note("the rule is broken")
			return exitBroken
		}
		rec.note("the rule holds")
		return exitHeld
	case <-time.After(maxRun):
		rec.note("the case could not run: it took too long")
		return exitInvalid
	}
}
