package instance

import (
	"time"

	"topazfall"
)

// What /ready waits for after the start of the process, with the maximum time of each wait:
//
//   - the listening socket, while another process has the address and neither hands it over nor ends. This is the
//     only wait without a limit: taking the address from a running process, even a stopped one, would lose the
//     messages that it has in flight. The process tries again every retryInterval and reports "not ready" to the
//     operators until the other process ends or continues;
//   - the predecessor's state, for stateTimeout: after that this process starts without it;
//   - another successor that came first and hangs, for acceptTimeout: then the predecessor admits the next one;
//   - the first call to discovery, for firstListTimeout, if no worker is known. If workers are known and lists are
//     pushed, for a quarter of the drain grace, and for firstListTimeout at most. If lists arrive only on
//     request, not at all, because the known list is good enough for a moment;
//   - the predecessor's report on the limits, for limitsTimeout.
//
// None of these limits depends on whether discovery, workers or other dispatchers answer, nor on how many processes
// start at once. If discovery is down, slow or refuses, that costs at most firstListTimeout, and less or nothing if
// workers are known.
const (
	retryInterval    = 100 * time.Millisecond  // between two attempts to get the address
	stateTimeout     = time.Second             // from the request to the predecessor to its complete state
	firstListTimeout = 1500 * time.Millisecond // the time that a call to discovery waits for an answer
	limitsTimeout    = 500 * time.Millisecond  // from frameReady to the predecessor's report on the limits

	// acceptTimeout is how long a predecessor waits for a successor to accept connections before it admits another one:
	// the time of a successor whose waits all take their maximum, and a little more.
	acceptTimeout = stateTimeout + firstListTimeout + 250*time.Millisecond
)

// readyBound is the sum of all waits with a limit: the maximum time that a process takes to be ready, besides its own
// work, once the address is free or the process that has it answers.
const readyBound = acceptTimeout + retryInterval + stateTimeout + firstListTimeout + limitsTimeout

// firstListWait returns how long a process that knows this number of workers waits for its first call to discovery to
// end.
func firstListWait(s *topazfall.Settings, known int) time.Duration {
	switch {
	case known == 0:
		return firstListTimeout
	case s.ListOnRequest:
		return 0
	}
	// A change that the discovery agent has counts as delivered to this process. One of the known workers may be
	// draining, and its grace is already running.
	return min(time.Duration(s.Contract.DrainGrace)*time.Microsecond/drainGraceDivisor, firstListTimeout)
}

// drainGraceDivisor divides the drain grace: one such part may pass before this process is ready.
const drainGraceDivisor = 4

// awaitFirst waits until the first call has ended, successfully or not, or until the timeout.
func awaitFirst(ended <-chan struct{}, timeout time.Duration) {
	if timeout <= 0 {
		return
	}
	select {
	case <-ended:
	case <-time.After(timeout):
	}
}
