// Package bootclock tells the time since the machine was booted. Unlike the monotonic clock of the time package its
// instants can be stored and compared by a later process, and unlike the wall clock it is never stepped.
package bootclock

import (
	"os"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// bootIDFile holds the kernel's random ID of the current boot.
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// Instant is a time on the clock of one boot of one machine. The zero value is an unknown time.
type Instant struct {
	BootID    string // "" = unknown
	SinceBoot time.Duration
}

// Clock returns the current time.
type Clock func() Instant

var bootID = sync.OnceValue(func() string {
	content, err := os.ReadFile(bootIDFile)
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(content))
})

// Now returns the current time, or an unknown time if the system does not tell it.
func Now() Instant {
	var now unix.Timespec
	id := bootID()
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil || id == "" {
		return Instant{}
	}
	return Instant{BootID: id, SinceBoot: time.Duration(now.Nano())}
}

// Add returns the time that is d after i, or an unknown time if i is unknown.
func (i Instant) Add(d time.Duration) Instant {
	if i.BootID == "" {
		return i
	}
	i.SinceBoot += d
	return i
}

// Since returns the time from earlier to i. It returns false if that is unknown, because the machine was booted in
// between or one of the times is another machine's.
func (i Instant) Since(earlier Instant) (elapsed time.Duration, ok bool) {
	if i.BootID == "" || i.BootID != earlier.BootID || i.SinceBoot < earlier.SinceBoot {
		return 0, false
	}
	return i.SinceBoot - earlier.SinceBoot, true
}
