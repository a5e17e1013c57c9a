// Package inventory follows discovery's list of hosts: the copy known from before a restart first, then a
// watch whose next call follows at once on each answer.
package inventory

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"topazfall"
	"topazfall/internal/dispatch"
)

const (
	wait    = time.Second             // how long a watch call may wait: news counts as told soon after that
	grace   = 1500 * time.Millisecond // what a silent discovery gets beyond it
	backOff = 150 * time.Millisecond  // after a failed call; a watch goes on if the next call comes within 200 ms
	growth  = 4                       // by which a back-off may grow
	few     = 4                       // so many dispatchers may call as if each were alone
	silence = 6 * time.Second         // after which what a silent discovery has to tell counts as told
	beats   = 4                       // calls within the grace of a drain, to an agent that does not answer
)

// Lister is told of the list; for ListBroken there are no entries.
type Lister interface {
	List(kind topazfall.EventKind, entries []dispatch.Entry)
}

// Watch follows the list at one discovery address, which may move.
type Watch struct {
	core   Lister
	client *agent
	seq    int64
	known  bool // there is a list that changes can be applied to
	kick   chan bool
	moves  chan string
	terms  atomic.Pointer[Terms]
	heard  *agent // whose list this is; nil for one that was known before
	behind bool   // the last whole list was older than the one held
	target string // of the last move; the mover's
	tried  chan struct{}

	mu   sync.Mutex
	last Legacy
}

// Legacy is the list as it was last had, and where.
type Legacy struct {
	Discovery string
	Seq       int64
	Hosts     map[string]dispatch.Entry
}

// Terms are what the contract says of discovery.
type Terms struct {
	Dispatchers int // that share it
	Asked       bool
	Grace       time.Duration // of a host that drains
	AskEvery    time.Duration // where it must be asked: how often, at least
}

// TermsOf takes the terms from the settings.
func TermsOf(s *topazfall.Settings) Terms {
	return Terms{s.Dispatchers, s.AskForList, time.Duration(s.Contract.DrainGrace) * time.Microsecond,
		time.Duration(s.Contract.AskEvery) * time.Microsecond}
}

// share is by how much the back-off is longer than a lone dispatcher's.
func (t Terms) share() time.Duration { return time.Duration(max(t.Dispatchers/few, 1)) }

// New returns a watch that tells core of the list, under these terms.
func New(addr string, core Lister, terms Terms) *Watch {
	w := &Watch{core: core, client: newAgent(addr), kick: make(chan bool, 1), moves: make(chan string, 1), target: addr,
		tried: make(chan struct{})}
	w.Renew(terms)
	return w
}

// Renew makes other terms hold from the next call on.
func (w *Watch) Renew(terms Terms) { w.terms.Store(&terms) }

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

// Move makes the watch go on at another address, at once; of several the last counts. It is called from one
// goroutine at a time.
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
	l.Hosts = maps.Clone(l.Hosts)
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

// pause is how long to wait after so many failures in a row, the last of them for want of any answer if silent is set.
//
// Where lists come unasked, the agent on the own machine answers at once and at no cost, and what it has counts as told.
// Where discovery is asked, what one dispatcher tries again at once is a storm from many: they fail together, and a service
// that is short of room gets nothing done for calls that nobody waits for any more. So the pauses grow, from one that is
// longer for many, and chance spreads them. But a silent discovery is not short of room, and what it has to tell counts as
// told soon.
func (t Terms) pause(failures int, silent bool) time.Duration {
	p := backOff * time.Duration(min(1<<min(failures-1, 8), growth))
	switch {
	case !t.Asked:
		p = min(p, t.beat())
	case silent: // one call has waited in vain, the next may take its time as well
		p = min(p*t.share(), silence-2*(wait+grace))
	default:
		p *= t.share()
	}
	return p/2 + rand.N(p/2+1)
}

// beat is how often an agent that does not answer is called anew, beside the call that waits for it: it may return at any
// moment, the call that was open before may stay silent, and the grace of a host that drains runs from its return. Most
// of that is left for the answer, and for what is under way here.
func (t Terms) beat() time.Duration { return max(t.Grace/beats, 10*time.Millisecond) }

// lead is how long to wait with the first call. Where a list is known it will do for a moment, and all may be starting
// together: a discovery that is asked serves some calls a second, and those that wait too long for their turn fail. There,
// what it has counts as told only if it is not asked for a longer time; an agent's word counts from the first moment on.
func (w *Watch) lead() time.Duration {
	t := w.terms.Load()
	if !w.known || !t.Asked || t.share() <= 1 {
		return 0
	}
	return rand.N(min(backOff*t.share()*growth/2, max(t.Grace, t.AskEvery)/2) + 1)
}

// Run watches until the program ends.
func (w *Watch) Run() {
	broken, failures := false, 0
	if pause := w.lead(); pause > 0 {
		select {
		case <-w.kick:
		case <-time.After(pause):
		}
	}
	for first := true; ; first = false {
		err := w.call(first || failures > 0)
		if first {
			close(w.tried)
		}
		if err == nil {
			if broken {
				slog.Info("inventory", "state", "back", "seq", w.seq)
			}
			broken, failures = false, 0
			continue
		}
		if err == errMoved {
			continue
		}
		if !broken {
			slog.Warn("inventory", "state", "broken", "seq", w.seq, "error", err)
			w.core.List(topazfall.ListBroken, nil)
		}
		broken = true
		failures++
		select {
		case whole := <-w.kick:
			w.known = w.known && !whole
		case addr := <-w.moves:
			w.move(addr)
		case <-time.After(w.terms.Load().pause(failures, errors.Is(err, fasthttp.ErrTimeout))):
		}
	}
}

var errMoved = errors.New("discovery has moved")

// move drops the call under way: the old address may keep it waiting, and what it says is no news any more.
// The list stays until the new address has sent a whole one: its versions need not go on from ours.
func (w *Watch) move(addr string) {
	slog.Info("inventory", "state", "moved", "from", w.client.Addr, "to", addr, "seq", w.seq)
	w.client.close()
	w.client, w.known = newAgent(addr), false
}

// call makes one call: a watch, or a fetch of the whole list where there is none yet or one was asked for. At the start and
// after failures the watch is opened by a call that does not wait for news: whether it is answered shows at once.
//
// Where lists come unasked a call whose answer is late stays open, for an agent that is only slow, and others are made beside
// it, one at a time. The first that brings a list counts.
func (w *Watch) call(anew bool) error {
	select {
	case whole := <-w.kick:
		w.known = w.known && !whole
	default:
	}
	terms, client := w.terms.Load(), w.client
	path, pause, limit := "/v1/endpoints", time.Duration(0), grace
	beside := path
	if w.known {
		path += "?after=" + strconv.FormatInt(w.seq, 10) + "&wait_ms="
		beside = path + "0"
		if limit += wait; !anew {
			pause = wait
		}
		path += strconv.FormatInt(pause.Milliseconds(), 10)
	}
	answers, second := make(chan answer, 1), make(chan answer, 1) // what comes after a move is dropped with them
	go func() { answers <- client.get(path, limit) }()
	late, asking := (<-chan time.Time)(nil), false
	if !terms.Asked {
		late = time.After(pause + terms.beat())
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
			if late = time.After(terms.beat()); !asking {
				asking = true
				go func() { second <- client.get(beside, terms.beat()) }()
			}
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
		// An old list may bring hosts back that drain. One that is asked for after it and is older as well comes from a service
		// that has begun anew.
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
