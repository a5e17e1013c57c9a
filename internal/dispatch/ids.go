package dispatch

// The ids of messages. An id that is known must not be used again: hosts (workers) may still run the job of that id,
// and a callback could not tell two messages apart. While one process replaces another, both admit messages, and the
// ids of both count. The oldest of the processes then decides: its successor claims each id there before it admits a
// message, and is informed of the ids that became known otherwise.
//
// An id stays known at least until its message has its final answer and no open relay. Of the other ids, the last
// maxKnownIDs are known, and beside them those whose job may have run or may still run: a client that has left does not
// stop its job. Messages that were refused, which come at any rate, cannot push those out.

import (
	"slices"

	"topazfall/internal/decide/digests"
	"topazfall/internal/exchange"
)

// maxKnownIDs is the number of recent message ids that are kept, of messages in flight or not: some minutes of them on
// a busy day, in a few hundred kB.
const maxKnownIDs = 4096

// defaultRanIDMemory is the memory, in bytes, for the ids whose jobs may have run.
const defaultRanIDMemory = 1 << 20

// SetRanIDMemory sets the memory, in bytes, for the ids whose jobs may have run. It must be called before Run.
func (c *Core) SetRanIDMemory(bytes int) { c.ranIDs = digests.NewSet(bytes) }

// knownID is an id in the ring of the known ones.
type knownID struct {
	id          string
	ofSuccessor bool // the present successor has claimed it
}

// ClaimID claims an id at another process and reports whether it is taken there. It may block.
type ClaimID func(id string) (taken bool)

// SetClaim sets where the ids of messages are claimed before the messages are admitted. It is nil if this process alone
// decides.
func (c *Core) SetClaim(claim ClaimID) {
	if claim == nil {
		c.claim.Store(nil)
		return
	}
	c.claim.Store(&claim)
}

// admitWithID admits a message unless its id is known here or taken in the process where ids are claimed.
func (c *Core) admitWithID(x *exchange.Exchange) {
	if c.isKnownID(x.ID) {
		c.finish(x, exchange.Answer{Result: exchange.Duplicate})
		return
	}
	x.Number = c.addKnownID(knownID{id: x.ID})
	claim := c.claim.Load()
	if claim == nil {
		c.admit(x)
		return
	}
	c.claiming[x.ID] = x
	go func() {
		taken := (*claim)(x.ID)
		c.ops <- func() { c.endClaim(x.ID, x, taken) }
	}()
}

// endClaim continues with a message whose id has been claimed. It does nothing if the claim has ended before.
func (c *Core) endClaim(id string, x *exchange.Exchange, taken bool) {
	if x == nil || c.claiming[id] != x {
		return
	}
	delete(c.claiming, id)
	switch {
	case x.IsFinished(): // the client has disconnected
	case taken:
		c.finish(x, exchange.Answer{Result: exchange.Duplicate})
	default:
		c.admit(x)
	}
}

// ClaimForSuccessor claims an id for a message that the successor is about to admit, and reports whether it is taken.
func (c *Core) ClaimForSuccessor(id string) (taken bool) {
	return await(c, func() (taken bool) {
		taken = c.isKnownID(id)
		if !taken {
			c.addKnownID(knownID{id: id, ofSuccessor: true})
		}
		return taken
	})
}

// HasRun reports whether the message with an id is in flight here, or its job may have run.
func (c *Core) HasRun(id string) bool {
	return await(c, func() bool { return c.byID[id] != nil || c.ranIDs.Contains(id) })
}

// AddRanIDs adds the ids of another process whose jobs may have run.
func (c *Core) AddRanIDs(ids []digests.Digest) {
	c.ops <- func() {
		for _, id := range ids {
			c.addRanID(id)
		}
	}
}

// RanIDsAfter returns the ids whose jobs may have run and that were added after a position, the oldest first, and the
// position of the last one. The first position is 0.
func (c *Core) RanIDsAfter(position uint64) (ids []digests.Digest, last uint64) {
	last = await(c, func() (last uint64) {
		ids, last = c.ranIDs.After(position)
		ids = slices.Clone(ids)
		return last
	})
	return ids, last
}

func (c *Core) addRanID(id digests.Digest) {
	if c.ranIDs.Add(id) {
		c.signalIDs()
	}
}

// recordRun keeps the id of a message that has ended if its job may have run.
func (c *Core) recordRun(x *exchange.Exchange) {
	for _, r := range x.Relays {
		if !r.Outcome.NotRun() {
			c.addRanID(digests.Of(x.ID))
			return
		}
	}
}

// signalIDs wakes whoever reports new ids to the successor.
func (c *Core) signalIDs() {
	select {
	case c.idsAdded <- struct{}{}:
	default:
	}
}

// ReleaseClaims forgets which ids a successor has claimed, because it has ended. The ids stay known: hosts may run its
// jobs.
func (c *Core) ReleaseClaims() {
	c.ops <- func() {
		for i := range c.recentIDs {
			c.recentIDs[i].ofSuccessor = false
		}
	}
}

// AddKnownIDs adds the known message ids of another process. A message here that is only about to be admitted with one
// of them comes too late.
func (c *Core) AddKnownIDs(ids []string) {
	c.ops <- func() {
		for _, id := range ids {
			c.endClaim(id, c.claiming[id], true)
			if !c.isKnownID(id) {
				c.addKnownID(knownID{id: id})
			}
		}
	}
}

// KnownIDsAfter returns the ids that have become known after the given position, the oldest first, and the position of
// the last one. The first position is 0. Ids that the successor has claimed are left out.
func (c *Core) KnownIDsAfter(position uint64) (ids []string, last uint64) {
	last = await(c, func() uint64 {
		ids = c.recentIDsAfter(position)
		return c.lastNumber
	})
	return ids, last
}

// recentIDsAfter returns the recent ids after a position that the successor has not claimed, the oldest first.
func (c *Core) recentIDsAfter(position uint64) (ids []string) {
	if c.lastNumber > maxKnownIDs {
		position = max(position, c.lastNumber-maxKnownIDs)
	}
	for number := position + 1; number <= c.lastNumber; number++ {
		if known := c.recentIDs[number%maxKnownIDs]; !known.ofSuccessor {
			ids = append(ids, known.id)
		}
	}
	return ids
}

// IDsAdded returns a channel that receives a value after an id has become known, or its job may have run. Several ids
// may share one value.
func (c *Core) IDsAdded() <-chan struct{} { return c.idsAdded }

// isKnownID reports whether an id is taken. Other messages come at any rate and push an id out of the recent ones soon,
// so that a message in flight is looked up itself, and so is one that may have run.
func (c *Core) isKnownID(id string) bool {
	return c.knownIDs[id] != 0 || c.byID[id] != nil || c.claiming[id] != nil || c.ranIDs.Contains(id)
}

// addKnownID adds an id to the recent ones in the place of the oldest, and returns the number of the new one.
func (c *Core) addKnownID(known knownID) uint64 {
	c.lastNumber++
	place := &c.recentIDs[c.lastNumber%maxKnownIDs]
	if c.knownIDs[place.id]+maxKnownIDs == c.lastNumber { // the id has not become known again since
		delete(c.knownIDs, place.id)
	}
	*place, c.knownIDs[known.id] = known, c.lastNumber
	c.signalIDs()
	return c.lastNumber
}
