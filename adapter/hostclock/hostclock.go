// Package hostclock reads the clock that goes on while the host is suspended. The steady clock
// of package time stands still then: by that, what was proven before seems as young as it was.
package hostclock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host started, as a time after the beginning of Unix time. It
// says nothing of the time of day, is never set, and is to be compared with other times of
// this clock alone. Where the system has no such clock it is that of package time.
func Now() time.Time {
	if !there() {
		return time.Now()
	}
	now, _ := read()
	return now
}

// there reports whether the system has the clock: all times must be of the same one.
var there = sync.OnceValue(func() bool {
	_, err := read()
	return err == nil
})

func read() (time.Time, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Time{}, err
	}
	return time.Unix(t.Unix()), nil
}
