package soak

import (
	"math"
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a time on the machine's monotonic clock, in nanoseconds. All processes of a machine share that clock, so
// instants taken by different processes can be compared.
type Instant int64

// Forever is later than any other instant.
const Forever = Instant(math.MaxInt64)

// Now returns the current time of the machine's monotonic clock.
func Now() Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		panic(err) // every Linux has this clock
	}
	return Instant(t.Nano())
}

// Sub returns the time from earlier to i.
func (i Instant) Sub(earlier Instant) time.Duration { return time.Duration(i - earlier) }
