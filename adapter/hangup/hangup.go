// Package hangup receives SIGHUP from the start of the process on. Until a Go program asks for the
// signal, it ends the process; this package asks while packages are initialized, before main, so that a
// process that is still starting takes the signal as one that runs.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

var received = notify()

func notify() <-chan os.Signal {
	c := make(chan os.Signal, 1) // one that waits stands for all until it is handled
	signal.Notify(c, syscall.SIGHUP)
	return c
}

// Received returns the channel on which the signal arrives.
func Received() <-chan os.Signal { return received }
