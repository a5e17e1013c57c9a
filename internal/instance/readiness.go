package instance

import (
	"time"

	"topazfall"
)

// What /ready waits for, from the first instruction on, and for how long at most:
//
//   - the listening socket, for as long as another process has the address and neither hands it over nor goes. That is
//     the only wait that is not ours to end: to take the address from a process that lives, though it may be stopped,
//     would lose what that has in hand. It is tried again each time after `again`, and the operators are told "not
//     ready". A process that ends, or goes on, ends it;
//   - the predecessor's state, for stateTime: what does not come by then is done without;
//   - another successor that has come first and hangs, for acceptTime: then the predecessor lets the next one in;
//   - the first call to discovery, for firstList, where no worker is known. Where some are known and lists come
//     unasked, for a quarter of the grace of a drain, and firstList at most; where they must be asked for, not at all,
//     as the list known before will do for a moment;
//   - what the predecessor says of the limits, for heldTime.
//
// Nothing in it depends on whether discovery, workers or other dispatchers answer, nor on how many are started at once.
// Discovery that is down, slow or refusing costs firstList at most, and where workers are known less or nothing.
const (
	again     = 100 * time.Millisecond  // between two tries for the address
	stateTime = time.Second             // from asking for the predecessor's place to its whole state
	firstList = 1500 * time.Millisecond // as long as a call waits for an answer of discovery
	heldTime  = 500 * time.Millisecond  // from saying that we accept to what the predecessor has of the limits

	// acceptTime is how long a predecessor leaves its place to a successor that does not say that it accepts: as long
	// as one may take whose waits all last their longest, and a little.
	acceptTime = stateTime + firstList + 250*time.Millisecond
)

// readyBound is the sum of all waits that are ours to end: the longest that a process takes to be ready, but for its
// work, once the address is free or the process that has it answers.
const readyBound = acceptTime + again + stateTime + firstList + heldTime

// listPatience is how long a process that knows of so many workers waits for its first call to discovery to end.
func listPatience(s *topazfall.Settings, known int) time.Duration {
	switch {
	case known == 0:
		return firstList
	case s.ListOnRequest:
		return 0
	}
	// What the agent has counts as told already, and a worker may drain: its grace runs.
	return min(time.Duration(s.Contract.DrainGrace)*time.Microsecond/graceParts, firstList)
}

// graceParts are the parts of the grace of a drain, of which one may go by before this process is ready.
const graceParts = 4

// awaitFirst waits until the first call has ended, well or not, for so long at most.
func awaitFirst(ended <-chan struct{}, patience time.Duration) {
	if patience <= 0 {
		return
	}
	select {
	case <-ended:
	case <-time.After(patience):
	}
}
