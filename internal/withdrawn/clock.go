package withdrawn

import (
	"os"
	"strings"

	"golang.org/x/sys/unix"
)

// bootIDPath is the kernel's identifier of the present boot, see random(4).
const bootIDPath = "/proc/sys/kernel/random/boot_id"

// Now returns the present moment. Its clock runs on while the machine sleeps, and nobody sets it (CLOCK_BOOTTIME).
func Now() Moment {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return Moment{}
	}
	id, err := os.ReadFile(bootIDPath)
	if err != nil {
		return Moment{}
	}
	return Moment{Boot: strings.TrimSpace(string(id)), At: t.Nano() / 1000}
}
