// Package hostclock reads a monotonic clock that keeps running while the host is suspended.
// The monotonic clock of package time stops during a suspension, so a proof of freshness
// would not age during it.
package hostclock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host started, as a time after the Unix epoch. It is not the
// time of day, is never adjusted, and may only be compared with other times of this clock. On
// a system without this clock Now returns the time since the process started, without suspensions.
func Now() time.Time {
	if !available() {
		return sinceStart()
	}
	now, _ := read()
	return now
}

// start is when the process started.
var start = time.Now()

// sinceStart returns the time since the process started. time.Now would not do: arithmetic on its Unix time follows the
// time of day when that is set.
func sinceStart() time.Time { return time.Unix(0, 0).Add(time.Since(start)) }

// available reports whether the system has the clock. It is determined once, since all times
// must come from the same clock.
var available = sync.OnceValue(func() bool {
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
