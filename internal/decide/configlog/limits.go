package configlog

// Limits of messages and of the state of a member. Input beyond them is rejected as a whole.
const (
	MaxKey       = 256       // bytes of an entry's key
	MaxValue     = 16 << 10  // bytes of an entry's value
	MaxEntries   = 16_384    // entries of a document or a change
	MaxDocument  = 1 << 20   // bytes of a document's snapshot
	MaxChange    = 32 << 10  // bytes of an encoded change
	MaxNodeID    = 64        // bytes of a member's name
	MaxMembers   = 8_192     // members of a roster
	MaxOrigins   = 5         // origins of a roster
	MaxMessage   = 64 << 10  // bytes of an encoded message
	ChunkBytes   = 16 << 10  // bytes of a snapshot in one message
	BatchBytes   = 32 << 10  // bytes of deltas in one message, unless a single delta is larger
	MaxLogDeltas = 2_048     // deltas that are kept for members that are behind
	MaxLogBytes  = 512 << 10 // bytes of the deltas that are kept
)

// Timing holds intervals and timeouts in microseconds. They affect how soon something happens, never safety.
type Timing struct {
	DigestInterval    int64 // between two digests of a parent, and two ticks of the leader's heartbeats
	SourceTimeout     int64 // a source is replaced after this time without a fresh digest
	PullTimeout       int64 // until an unanswered pull goes to another source; doubles each time, with jitter
	MaxPullTimeout    int64 // limit of this backoff
	HeartbeatInterval int64 // between two heartbeats of a leader to the other origins
	ElectionTimeout   int64 // an origin campaigns after this time without a heartbeat of a leader; jitter may double it
	RetryInterval     int64 // between two transmissions of a request that an origin has not answered
	ApplyTimeout      int64 // after this, a leader reports an undecided Apply as Unknown; others wait twice as long
}

// DefaultTiming returns timing for the goal that a change takes effect everywhere within 4 s: within that time a source
// can miss 2.5 digest intervals and be replaced.
func DefaultTiming() Timing {
	const ms = 1000
	return Timing{DigestInterval: 1000 * ms, SourceTimeout: 2500 * ms, PullTimeout: 400 * ms, MaxPullTimeout: 6400 * ms,
		HeartbeatInterval: 250 * ms, ElectionTimeout: 1000 * ms, RetryInterval: 250 * ms, ApplyTimeout: 3000 * ms}
}

// FanOut limits how many members one member feeds, that is sends digests and pushes to, and the rate at which it
// answers pulls.
type FanOut struct {
	Relay       int // children of a relay or origin, which is a dedicated control machine
	Follower    int // children of any other member
	Subscribers int // additional members, which have lost their own parents
	// ServeRate limits the answers to pulls in bytes per second, and ServeBurst is the token bucket's size in bytes.
	ServeRate, ServeBurst int64
}

// DefaultFanOut returns limits that keep the traffic of a follower with all its children, eight digests per second,
// below 2 KB per second.
func DefaultFanOut() FanOut {
	return FanOut{Relay: 16, Follower: 8, Subscribers: 4, ServeRate: 128 << 10, ServeBurst: 512 << 10}
}
