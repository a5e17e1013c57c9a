// Package discovery follows the worker list of the discovery service: it starts from the copy known before a restart,
// then keeps a watch open whose next call follows at once on each answer. Package decide/refresh decides when to call
// and how long the list may be relied on.
package discovery

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"topazfall"
	"topazfall/internal/decide/refresh"
	"topazfall/internal/dispatch"
)

// Lister is told of the list; for ListBroken there are no entries.
type Lister interface {
	List(kind topazfall.EventKind, entries []dispatch.Entry)
}

// Holder is told whether the list may not be relied on, so that nothing new may go to any host. The news of a
// list that ends this comes first.
type Holder interface {
	Hold(held bool)
}

// Watch follows the list at one discovery address, which may move.
type Watch struct {
	core    Lister
	holder  Holder // nil for none
	client  *client
	seq     int64
	known   bool // there is a list that changes can be applied to
	kick    chan bool
	moves   chan string
	renewed chan struct{}
	heard   *client // whose list this is; nil for one that was known before
	behind  bool    // the last whole list was older than the one held
	broken  bool    // the last call failed
	held    bool    // as the holder was told
	target  string  // of the last move; the mover's
	tried   chan struct{}
	start   time.Time // from which the schedule's times count

	mu       sync.Mutex
	last     Legacy
	schedule *refresh.Schedule
}

// Legacy is the list as it was last had, and where.
type Legacy struct {
	Discovery string
	Seq       int64
	Hosts     map[string]dispatch.Entry
	Unread    refresh.Unread
}

// TermsOf takes what the contract says of discovery from the settings.
func TermsOf(s *topazfall.Settings) refresh.Terms {
	return refresh.Terms{Dispatchers: s.Dispatchers, Asked: s.AskForList,
		DrainGrace: time.Duration(s.Contract.DrainGrace) * time.Microsecond,
		AskEvery:   time.Duration(s.Contract.AskEvery) * time.Microsecond}
}

// New returns a watch that tells core of the list, under these terms.
func New(addr string, core Lister, terms refresh.Terms) *Watch {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &Watch{core: core, client: newClient(addr), kick: make(chan bool, 1), moves: make(chan string, 1),
		renewed: make(chan struct{}, 1), target: addr, tried: make(chan struct{}), start: time.Now(),
		schedule: refresh.New(0, terms, random)}
}

// SetHolder names who is told whether the list may be relied on. It comes before Run.
func (w *Watch) SetHolder(h Holder) { w.holder = h }

// Renew makes other terms hold from the next call on; whether the list may be relied on, from now on.
func (w *Watch) Renew(terms refresh.Terms) {
	w.mu.Lock()
	w.schedule.Renew(terms)
	w.mu.Unlock()
	select {
	case w.renewed <- struct{}{}:
	default:
	}
}

// now is the time of the schedule.
func (w *Watch) now() time.Duration { return time.Since(w.start) }

// Follow asks for changes from now on, which the watch brings anyway. It ends no back-off: many dispatchers that
// are unheard for the same cause would only feed it.
func (w *Watch) Follow() {}

// Fetch asks for the whole list.
func (w *Watch) Fetch() { w.push(true) }

func (w *Watch) push(whole bool) {
	select {
	case w.kick <- whole:
	default:
	}
}

// Move makes the watch go on at another address, as a first call would; of several the last counts. It is called
// from one goroutine at a time.
func (w *Watch) Move(addr string) {
	if w.target == addr { // a watch that goes on misses nothing
		return
	}
	w.target = addr
	select {
	case <-w.moves: // an earlier move that nobody has begun
	default:
	}
	w.moves <- addr
}

// Tried is closed once a first call has ended, well or not.
func (w *Watch) Tried() <-chan struct{} { return w.tried }

// Known takes the list as it was had before a restart and tells how many hosts it names.
func (w *Watch) Known(text []byte) int {
	if len(text) == 0 {
		return 0
	}
	l, err := parse(text)
	if err != nil {
		slog.Warn("inventory", "known", "unreadable", "error", err)
		return 0
	}
	w.tell(topazfall.ListStale, l)
	return len(l.entries)
}

// Legacy returns the list for another process to go on with.
func (w *Watch) Legacy() Legacy {
	w.mu.Lock()
	defer w.mu.Unlock()
	l := w.last
	l.Hosts, l.Unread = maps.Clone(l.Hosts), w.schedule.Unread(w.now())
	return l
}

// Inherit starts from another process's list. Where that had it from another address, the versions need not be the
// same, and the whole list is asked for. It comes before Run.
func (w *Watch) Inherit(l Legacy) int {
	if len(l.Hosts) == 0 {
		return 0
	}
	w.tell(topazfall.ListStale, list{seq: l.Seq, entries: slices.Collect(maps.Values(l.Hosts))})
	w.known = l.Discovery == w.client.Addr
	w.schedule.Inherit(l.Unread)
	return len(l.Hosts)
}

// tell hands the list, or changes to it, on, and keeps them.
func (w *Watch) tell(kind topazfall.EventKind, l list) {
	w.core.List(kind, l.entries)
	w.seq, w.known = l.seq, true
	w.mu.Lock()
	defer w.mu.Unlock()
	if kind != topazfall.ListPatch || w.last.Hosts == nil {
		w.last.Hosts = map[string]dispatch.Entry{}
	}
	for _, e := range l.entries {
		if w.last.Hosts[e.ID] = e; e.State == topazfall.Gone {
			delete(w.last.Hosts, e.ID)
		}
	}
	w.last.Discovery, w.last.Seq = w.client.Addr, l.seq
}

// Run watches until the program ends.
func (w *Watch) Run() {
	w.hold()
	w.wait(w.first())
	for first := true; ; first = false {
		err := w.call()
		if first {
			close(w.tried)
		}
		if err == errMoved {
			w.wait(w.first())
			continue
		}
		w.report(err)
		pause := w.end(err)
		w.hold()
		if err != nil {
			w.wait(pause)
		}
	}
}

// first is how long to wait with a first call.
func (w *Watch) first() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.schedule.First(len(w.last.Hosts) > 0)
}

// report tells that the watch is broken, or well again.
func (w *Watch) report(err error) {
	switch {
	case err == nil && w.broken:
		slog.Info("inventory", "state", "back", "seq", w.seq)
	case err != nil && !w.broken:
		slog.Warn("inventory", "state", "broken", "seq", w.seq, "error", err)
		w.core.List(topazfall.ListBroken, nil)
	}
	w.broken = err != nil
}

// end notes how a call has ended, and returns the pause before the next one. Where discovery must be asked,
// the log tells of each call that failed: by how long it took, a discovery without room is told from one that
// is down.
func (w *Watch) end(err error) time.Duration {
	var r refusal
	errors.As(err, &r)
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	took := now - w.schedule.Begun()
	pause := w.schedule.End(now, resultOf(err), r.retryAfter)
	if err != nil && w.schedule.Terms().Asked {
		slog.Info("inventory", "call", "failed", "took", took, "next", pause, "error", err)
	}
	return pause
}

// wait waits with the next call. A move ends what is left of it: who has moved waits as with a first call.
func (w *Watch) wait(pause time.Duration) {
	if pause <= 0 {
		return
	}
	over := time.After(pause)
	for {
		select {
		case whole := <-w.kick:
			w.known = w.known && !whole
			return
		case addr := <-w.moves:
			w.move(addr)
			over = time.After(w.first())
		case <-w.holdAlarm():
			w.hold()
		case <-w.renewed:
			w.hold()
		case <-over:
			return
		}
	}
}

// holdAlarm rings when the list may not be relied on any more.
func (w *Watch) holdAlarm() <-chan time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, bounded := w.schedule.HoldAt()
	if !bounded || w.held {
		return nil
	}
	return time.After(at - w.now())
}

// hold tells the holder where it has changed whether the list may be relied on.
func (w *Watch) hold() {
	w.mu.Lock()
	held := w.schedule.Held(w.now())
	w.mu.Unlock()
	if held == w.held {
		return
	}
	w.held = held
	slog.Warn("inventory", "state", map[bool]string{true: "held", false: "released"}[held], "seq", w.seq)
	if w.holder != nil {
		w.holder.Hold(held)
	}
}

var errMoved = errors.New("discovery has moved")

// move drops the call under way: the old address may keep it waiting, and what it says is no news any more.
// The list stays until the new address has sent a whole one: its versions need not go on from ours.
func (w *Watch) move(addr string) {
	slog.Info("inventory", "state", "moved", "from", w.client.Addr, "to", addr, "seq", w.seq)
	w.client.close()
	w.client, w.known = newClient(addr), false
	w.mu.Lock()
	defer w.mu.Unlock()
	w.schedule.Moved()
}

// begin notes that a call begins, and returns how long it may wait for news.
func (w *Watch) begin() (terms refresh.Terms, wait time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.schedule.Terms(), w.schedule.Begin(w.now(), w.known)
}

// call makes one call: a watch, or a fetch of the whole list where there is none yet or one was asked for.
//
// Where lists come unasked a call whose answer is late stays open, for an agent that is only slow, and others
// are made beside it, one at a time. The first that brings a list counts.
func (w *Watch) call() error {
	select {
	case whole := <-w.kick:
		w.known = w.known && !whole
	default:
	}
	discovery := w.client
	terms, wait := w.begin()
	path, limit := "/v1/endpoints", terms.CallLimit()
	beside := path
	if w.known {
		path += "?after=" + strconv.FormatInt(w.seq, 10) + "&wait_ms="
		beside = path + "0"
		path += strconv.FormatInt(wait.Milliseconds(), 10)
	} else if !terms.Asked { // an agent has no line in which the call may wait
		limit = refresh.AnswerGrace
	}
	answers, second := make(chan answer, 1), make(chan answer, 1) // what comes after a move is dropped with them
	go func() { answers <- discovery.get(path, limit) }()
	late, asking := (<-chan time.Time)(nil), false
	if !terms.Asked {
		late = time.After(wait + terms.AgentBeat())
	}
	for {
		select {
		case addr := <-w.moves:
			w.move(addr)
			return errMoved
		case a := <-answers:
			return w.take(a)
		case a := <-second:
			if asking = false; a.err == nil || errors.As(a.err, &unreadable{}) {
				return w.take(a)
			}
		case <-late:
			if late = time.After(terms.AgentBeat()); !asking {
				asking = true
				go func() { second <- discovery.get(beside, terms.AgentBeat()) }()
			}
		case <-w.holdAlarm():
			w.hold()
		case <-w.renewed:
			w.hold()
		}
	}
}

// take applies what discovery has answered.
func (w *Watch) take(a answer) error {
	l, err := a.list, a.err
	if errors.As(err, &unreadable{}) {
		w.known = false // what changed is lost; the whole list makes up for it
	}
	switch {
	case err != nil:
		return err
	case l.whole && w.heard == w.client && l.seq < w.seq && !w.behind:
		// An old list may bring hosts back that drain. One that is asked for after it and is older as well
		// comes from a service that has begun anew.
		w.known, w.behind = false, true
		return fmt.Errorf("a list of %d after one of %d", l.seq, w.seq)
	case l.whole:
		w.tell(topazfall.ListWhole, l)
	case !w.known || l.seq < w.seq: // changes to a list that is not ours
		w.known = false
		return fmt.Errorf("changes up to %d do not follow %d", l.seq, w.seq)
	default:
		w.tell(topazfall.ListPatch, l)
	}
	w.heard, w.behind = w.client, false
	if len(l.entries) > 0 {
		slog.Info("inventory", "seq", l.seq, "whole", l.whole, "entries", len(l.entries))
	}
	return nil
}
