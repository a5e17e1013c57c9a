// Package exchange holds what the frontend (the clients' side) and the upstream (the workers' side) share about one
// message: the message as it was received, its relays and its one final answer. The two sides do not depend on each
// other; both depend on this package.
package exchange

import (
	"strings"
	"sync/atomic"

	"topazfall"
)

// HeaderField is one header field, with the bytes as received. The names of its fields are part of the handover format.
type HeaderField struct{ Name, Value string }

// Message is a request of a client. What is forwarded to a host (worker) is kept as received; the other fields are the
// values that decisions need. The type name and the names of the fields are part of the handover format.
type Message struct {
	ID     string
	Method string
	Path   string        // with its query
	Fields []HeaderField // the header
	Body   []byte

	Class   int     // index into the settings' classes
	Tenant  int     // index into the settings' tenants, or -1
	Arrived int64   // when it arrived, on the dispatcher's clock, in microseconds
	Due     int64   // when the final answer must be sent, on that clock
	Hint    int64   // expected work in microseconds, 0 if unknown
	Key     uint64  // a hash of what the job needs at a host, 0 for nothing
	Slots   float64 // slots that the job takes at a host
	Retry   bool    // the client marked it as a retry of an earlier request
	Once    bool    // the job must not run twice
}

// Result is the outcome of a message for its client.
type Result int

// The results.
const (
	Served  Result = iota // Body is the result of a host
	Refused               // a retry is safe; RetryAfter may say when
	Failed
	TimedOut   // failed because its time ran out
	Duplicate  // a message with this id is known already
	HandedOver // no answer: another process continues with the message
)

// Answer is the final answer to a message.
type Answer struct {
	Result     Result
	Body       []byte
	RetryAfter int64  // recommended wait in microseconds, 0 for none
	Reason     string // why the message was refused or failed by a decision, for the log; "" for none
}

// Exchange is one message in flight, with its relays (attempts) and its answer.
type Exchange struct {
	Message
	Number uint64 // its identifier in the decision module
	// FreshConnOnly makes every relay use a new connection. On a pooled connection an answer to an earlier message
	// could be taken for this one's, and the message could then run twice where that is not permitted.
	FreshConnOnly bool
	Relays        []*Relay    // in the order they were made; used by the dispatch goroutine alone
	client        Client      // nil if the client cannot be checked
	repeats       repeatGuard // permits or forbids an attempt after others that may have run
	finished      atomic.Bool
	disconnected  atomic.Bool
	answer        chan Answer
}

// Client is the client that waits for the answer to a message.
type Client interface {
	// Disconnected reports whether the client has closed its connection. It must not block, and may be called from any
	// goroutine.
	Disconnected() bool
}

// New returns an exchange for a message whose client cannot be checked.
func New(m Message) *Exchange { return &Exchange{Message: m, answer: make(chan Answer, 1)} }

// NewForClient returns an exchange that checks before each attempt whether its client is still connected.
func NewForClient(client Client, m Message) *Exchange {
	x := New(m)
	x.client = client
	return x
}

// Finish sets the final answer. Only the first call has an effect; Finish reports whether this call was the first.
func (x *Exchange) Finish(a Answer) bool {
	if !x.finished.CompareAndSwap(false, true) {
		return false
	}
	x.answer <- a
	return true
}

// MarkDisconnected records that the client has closed its connection. From then on nothing is sent for the message,
// even before the dispatch goroutine has ended it.
func (x *Exchange) MarkDisconnected() { x.disconnected.Store(true) }

// IsDisconnected reports whether the client is known to have closed its connection.
func (x *Exchange) IsDisconnected() bool { return x.disconnected.Load() }

// CheckDisconnected reports whether the client has closed its connection. If that is not known yet, it checks the
// connection.
func (x *Exchange) CheckDisconnected() bool {
	if !x.IsDisconnected() && x.client != nil && x.client.Disconnected() {
		x.MarkDisconnected()
	}
	return x.IsDisconnected()
}

// IsFinished reports whether the exchange has its final answer.
func (x *Exchange) IsFinished() bool { return x.finished.Load() }

// Answer returns the channel that delivers the final answer.
func (x *Exchange) Answer() <-chan Answer { return x.answer }

// Host is a host (worker) as discovery last listed it.
type Host struct {
	ID, Addr     string
	MultiAddress bool // the upstream has a list of its addresses; Addr is not used
	closed       atomic.Bool
}

// SetClosed sets whether the host is closed: no relay may start at a closed host.
func (h *Host) SetClosed(closed bool) { h.closed.Store(closed) }

// The stages of a relay. It only moves forward, so that of a start and a cancellation exactly one takes effect.
const (
	stageWaiting int32 = iota // for a connection
	stageStarted              // its bytes may be on the wire
	stageEnded
)

// Relay is one attempt to have a message served by one host.
type Relay struct {
	Exchange  *Exchange
	Index     int // its place in Exchange.Relays
	Host      *Host
	Sent      int64 // when it was decided, on the dispatcher's clock, in microseconds like the other times
	StartedAt int64 // when the host reported that the job runs, 0 before
	Due       int64 // when the dispatcher stops waiting for it
	Outcome   topazfall.Outcome
	Done      bool // Outcome is set; used by the dispatch goroutine alone
	stage     atomic.Int32
	accepted  atomic.Bool
}

// AddRelay adds a relay to the exchange.
func (x *Exchange) AddRelay(h *Host, now, due int64) *Relay {
	r := &Relay{Exchange: x, Index: len(x.Relays), Host: h, Sent: now, Due: due}
	x.Relays = append(x.Relays, r)
	return r
}

// TryStart must be called right before the first byte is sent, and reports whether the relay may start. While the
// connection was dialled, the host may have begun to drain, the message may have ended, its client may have
// disconnected, or the relay's deadline or the window for repeats may have passed: a relay that was allowed when it was
// decided is then not sent. The client's connection is checked here, because a close may have arrived in the kernel
// before the goroutine that watches the connection notices it.
func (r *Relay) TryStart(now int64) bool {
	return now < r.Due && !r.Host.closed.Load() && !r.Exchange.IsFinished() && !r.Exchange.CheckDisconnected() &&
		r.Exchange.repeats.tryStart(r, now)
}

// MarkNeverRan records that the host certainly has not run the job: the relay no longer limits when repeats may start.
func (r *Relay) MarkNeverRan() { r.Exchange.repeats.remove(r) }

// MarkAccepted records that the host has accepted the job. From then on the host reports by callbacks, and the relay no
// longer depends on a connection.
func (r *Relay) MarkAccepted() { r.accepted.Store(true) }

// IsAccepted reports whether the host has accepted the job.
func (r *Relay) IsAccepted() bool { return r.accepted.Load() }

// Resume marks a relay as started by another process and accepted by its host.
func (r *Relay) Resume() {
	r.Exchange.repeats.resume(r)
	r.MarkAccepted()
}

// IsEnded reports whether the relay has ended.
func (r *Relay) IsEnded() bool { return r.stage.Load() == stageEnded }

// End ends the relay and reports whether any of it may have reached the host.
func (r *Relay) End() (wasStarted bool) { return r.stage.Swap(stageEnded) == stageStarted }

// Lower returns the name of a header field in lower case, the form in which names are compared.
func Lower(name string) string { return strings.ToLower(name) }
