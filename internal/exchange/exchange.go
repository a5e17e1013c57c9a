// Package exchange holds what the north side and the south side share of one message: the message as it
// came, the relays made for it, and its one final answer. Neither side knows the other; both know this.
package exchange

import (
	"strings"
	"sync/atomic"

	"topazfall"
)

// HeaderField is one header field, as the bytes that came.
type HeaderField struct{ Name, Value string }

// Message is what a client handed in. What goes on to a south side host is kept as it came; the rest are
// the few values that decisions need.
type Message struct {
	ID     string
	Method string
	Path   string // with its query
	Fields []HeaderField
	Body   []byte

	Class   int    // index into the settings' classes
	Tenant  int    // index into the settings' tenants, or -1
	Arrived int64  // on the dispatcher's clock, microseconds
	Due     int64  // when the final answer must leave, on that clock
	Hint    int64  // expected work in microseconds, 0 if not known
	Key     uint64 // stands for what the job needs at a host, 0 for nothing
	Slots   float64
	Retry   bool
	Once    bool // it must not run twice
}

// Result says what became of a message.
type Result int

// The verdicts.
const (
	Served  Result = iota // Body is what a south side host made
	Refused               // trying again is harmless; After may advise when
	Failed
	TimedOut   // failed, for want of time
	Duplicate  // a message with this id is in hand already
	HandedOver // no answer: another process goes on with the message
)

// Answer is the final answer to a message.
type Answer struct {
	Result     Result
	Body       []byte
	RetryAfter int64 // advised wait in microseconds, 0 for none
}

// Exchange is one message in hand.
type Exchange struct {
	Message
	Number        uint64   // the decision module's name for it
	FreshConnOnly bool     // taking another message's answer for its own could have it run twice where that is not permitted
	Relays        []*Relay // in the order they were made; the dispatch goroutine's
	client        Client   // nil where nobody can look
	starts        starts   // of the attempts that may have run
	over          atomic.Bool
	left          atomic.Bool
	answer        chan Answer
}

// Client is who waits for the answer to a message.
type Client interface {
	// Left looks whether the client has left. It must not wait, and may be called from any goroutine.
	Disconnected() bool
}

// New opens an exchange.
func New(m Message) *Exchange { return &Exchange{Message: m, answer: make(chan Answer, 1)} }

// NewForClient opens an exchange whose client is looked for before each attempt.
func NewForClient(c Client, m Message) *Exchange {
	x := New(m)
	x.client = c
	return x
}

// Finish gives the final answer. Only the first call counts; it tells whether this was the first.
func (x *Exchange) Finish(a Answer) bool {
	if !x.over.CompareAndSwap(false, true) {
		return false
	}
	x.answer <- a
	return true
}

// MarkDisconnected notes that the client has left: nothing more is sent for the message, also before its end is dealt with.
func (x *Exchange) MarkDisconnected() { x.left.Store(true) }

// IsDisconnected tells whether the client is known to have left.
func (x *Exchange) IsDisconnected() bool { return x.left.Load() }

// CheckDisconnected tells whether the client has left, by a look at it where nothing is known yet.
func (x *Exchange) CheckDisconnected() bool {
	if !x.IsDisconnected() && x.client != nil && x.client.Disconnected() {
		x.MarkDisconnected()
	}
	return x.IsDisconnected()
}

// IsFinished tells that the exchange has its final answer.
func (x *Exchange) IsFinished() bool { return x.over.Load() }

// Answer delivers the final answer.
func (x *Exchange) Answer() <-chan Answer { return x.answer }

// Host is a south side host, as the inventory last named it.
type Host struct {
	ID, Addr     string
	MultiAddress bool // it is reached by a list of addresses, which the south side has, and not by Addr
	closed       atomic.Bool
}

// SetClosed notes whether the inventory wants nothing new sent to the host.
func (h *Host) SetClosed(closed bool) { h.closed.Store(closed) }

// The stages of a relay. It moves forward only, so that of a start and a call-off exactly one wins.
const (
	waiting int32 = iota // for a connection
	started              // its bytes may be on the wire
	ended
)

// Relay is one attempt to have a message served by one host.
type Relay struct {
	Exchange  *Exchange
	Index     int
	Host      *Host
	Sent      int64
	StartedAt int64 // when the host said that it runs, 0 before
	Due       int64 // when the dispatcher stops waiting for it
	Outcome   topazfall.Outcome
	Done      bool // Outcome is known; the dispatch goroutine's
	stage     atomic.Int32
	accepted  atomic.Bool
}

// AddRelay adds a relay to the exchange.
func (x *Exchange) AddRelay(h *Host, now, due int64) *Relay {
	r := &Relay{Exchange: x, Index: len(x.Relays), Host: h, Sent: now, Due: due}
	x.Relays = append(x.Relays, r)
	return r
}

// TryStart is asked right before the first byte goes out. A dial may outlast a drain notice, the message, its client, the
// relay's own time or the window for repeats; what was legal when it was decided is not sent then. The client is looked
// for here and now: that it has left may be in the system and not with whoever watches for it.
func (r *Relay) TryStart(now int64) bool {
	return now < r.Due && !r.Host.closed.Load() && !r.Exchange.IsFinished() && !r.Exchange.CheckDisconnected() &&
		r.Exchange.starts.begin(r, now)
}

// MarkNeverRan notes that the host proved not to have run the job: the relay does not count as the first of several any
// more.
func (r *Relay) MarkNeverRan() { r.Exchange.starts.remove(r) }

// MarkAccepted notes that the host has taken the job: from here on its call-backs tell the rest, and no connection is bound
// to the relay any more.
func (r *Relay) MarkAccepted() { r.accepted.Store(true) }

// IsAccepted tells whether the host has taken the job.
func (r *Relay) IsAccepted() bool { return r.accepted.Load() }

// Resume makes a relay of one that another process has begun and its host has taken.
func (r *Relay) Resume() {
	r.Exchange.starts.resume(r)
	r.MarkAccepted()
}

// IsEnded tells that the relay is closed.
func (r *Relay) IsEnded() bool { return r.stage.Load() == ended }

// End closes the relay and tells whether any of it may have reached the host.
func (r *Relay) End() (wasStarted bool) { return r.stage.Swap(ended) == started }

// Lower is the name of a field in the form that names are compared in.
func Lower(name string) string { return strings.ToLower(name) }
