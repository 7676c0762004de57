package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// Uptime returns the time since the machine was started. Unlike the monotonic clock of package
// time, it also counts while the machine is suspended.
func Uptime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic("timer: the system has no clock that counts while it is suspended: " + err.Error())
	}
	return time.Duration(now.Nano())
}
