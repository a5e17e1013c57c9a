package dispatch

import "time"

// Clock returns Unix time in microseconds, which is comparable with the start times on discovery's list. It reads the
// wall clock once and then follows the monotonic clock, so that a step of the wall clock cannot set it back.
type Clock struct{ start time.Time }

// NewClock returns a clock that starts at the current wall clock time.
func NewClock() Clock { return Clock{time.Now()} }

// Now returns the current time in microseconds.
func (c Clock) Now() int64 { return c.FromTime(time.Now()) }

// FromTime converts a time read from the system's clock to microseconds of this clock.
func (c Clock) FromTime(t time.Time) int64 {
	return c.start.UnixMicro() + t.Sub(c.start).Microseconds()
}

// ToTime converts microseconds of this clock to a time.Time, for example for the deadline of a connection.
func (c Clock) ToTime(us int64) time.Time {
	return c.start.Add(time.Duration(us-c.start.UnixMicro()) * time.Microsecond)
}
