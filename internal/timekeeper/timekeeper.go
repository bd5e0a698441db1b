// Package timekeeper reads the clock that also counts the time for which the VM was suspended. Go's monotonic clock stops
// during a suspension, so a process that wakes up takes permissions that have long expired for valid.
package timekeeper

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time since the VM was started, including the time for which it was suspended. It does not jump
// with the time of day.
func BootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The clock exists on all Linux kernels since 2.6.39.
		panic(fmt.Sprintf("timekeeper: read boot time: %v", err))
	}
	return time.Duration(t.Nano())
}
