// Package cputime measures the processor time that this process has used.
package cputime

import (
	"syscall"
	"time"
)

// Used returns the processor time of all threads of this process since its start, 0 if the
// system does not report it.
func Used() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
