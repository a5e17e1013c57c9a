package dispatch

import "time"

// Clock tells microseconds of Unix time, so that it compares with the start times in the inventory. It
// takes the wall clock once and goes on by the monotonic one: a step of the wall clock cannot turn it back.
type Clock struct{ start time.Time }

// NewClock starts a clock.
func NewClock() Clock { return Clock{time.Now()} }

// Now is the time.
func (c Clock) Now() int64 { return c.FromTime(time.Now()) }

// FromTime converts a time that was read from the system's clock.
func (c Clock) FromTime(t time.Time) int64 {
	return c.start.UnixMicro() + t.Sub(c.start).Microseconds()
}

// ToTime converts a time of this clock to one that deadlines of connections take.
func (c Clock) ToTime(us int64) time.Time {
	return c.start.Add(time.Duration(us-c.start.UnixMicro()) * time.Microsecond)
}
