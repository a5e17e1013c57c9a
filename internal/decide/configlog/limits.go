package configlog

// Bounds of what may come in and be held. Whatever is beyond them is dropped whole and counted.
const (
	MaxKey       = 256       // bytes of an entry's key
	MaxValue     = 16 << 10  // bytes of an entry's value
	MaxEntries   = 16_384    // entries of a document
	MaxDocument  = 1 << 20   // bytes of a document's snapshot
	MaxChange    = 32 << 10  // bytes of a change, as it is encoded
	MaxNodeID    = 64        // bytes of a member's name
	MaxMembers   = 8_192     // members of a roster
	MaxOrigins   = 5         // origins of a roster
	MaxMessage   = 64 << 10  // bytes of a message, as it is encoded
	ChunkBytes   = 16 << 10  // bytes of a snapshot in one message
	BatchBytes   = 32 << 10  // bytes of deltas in one message, unless a single one is larger
	MaxLogDeltas = 2_048     // deltas that are kept for those who are behind
	MaxLogBytes  = 512 << 10 // bytes of these
)

// Timing are periods in microseconds. They decide how soon something happens, and never whether it may.
type Timing struct {
	DigestInterval    int64 // between two digests of one parent: the leader's heartbeat
	SourceTimeout     int64 // a source that was not heard from for so long is replaced by another
	PullTimeout       int64 // until a pull that brought nothing is repeated elsewhere; doubled each time, with jitter
	MaxPullTimeout    int64 // the longest of these
	HeartbeatInterval int64 // between two heartbeats of a leader to the other origins
	ElectionTimeout   int64 // an origin that has not heard from a leader for so long campaigns; with jitter, up to twice that
	RetryInterval     int64 // between two sendings of what an origin has not answered
	ApplyTimeout      int64 // an Apply whose outcome is open for so long is reported as Unknown
}

// DefaultTiming follows from 4 s until a change is in force: a source may be silent for 2.5 digests and be replaced
// within that.
func DefaultTiming() Timing {
	const ms = 1000
	return Timing{DigestInterval: 1000 * ms, SourceTimeout: 2500 * ms, PullTimeout: 400 * ms, MaxPullTimeout: 6400 * ms,
		HeartbeatInterval: 250 * ms, ElectionTimeout: 1000 * ms, RetryInterval: 250 * ms, ApplyTimeout: 3000 * ms}
}

// FanOut bounds how many members one feeds.
type FanOut struct {
	Relay       int // children of a relay or origin, a machine that is set aside for control
	Follower    int // children of any other member
	Subscribers int // further ones, for as long as they have lost their own parents
	// ServeRate bounds the bytes a second that one member spends on answers to pulls; ServeBurst what it may have
	// saved up.
	ServeRate, ServeBurst int64
}

// DefaultFanOut keeps a follower with all its children within 2 KB a second: eight digests a second.
func DefaultFanOut() FanOut {
	return FanOut{Relay: 16, Follower: 8, Subscribers: 4, ServeRate: 128 << 10, ServeBurst: 512 << 10}
}
