package discovery

import (
	"log/slog"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"topazfall"
	"topazfall/internal/decide/refresh"
	"topazfall/internal/dispatch"
)

// While one process replaces another, both are one dispatcher: what discovery has told one of them binds the other.
// Each sends the other what it reads. Where calls are spread, only one of them calls discovery at a time, see package
// decide/refresh.

// noCallDue is the time of the next call while another process calls.
const noCallDue = time.Duration(math.MaxInt64)

// maxOperations is how many operations of other processes may wait for the watch. Further ones are dropped: a process
// that has missed something notices the gap, or hears nothing, and calls discovery itself.
const maxOperations = 256

// Process is the part that another process of this dispatcher has in a replacement.
type Process int

// The other processes.
const (
	Predecessor Process = iota // the process that this one replaces
	Successor                  // the process that replaces this one
)

// opposite returns the process on the other side of this one.
func (p Process) opposite() Process { return Successor - p }

func (p Process) String() string { return [...]string{"old", "young"}[p] }

// Update is what a process has read from discovery, for another process of the same dispatcher. Its field names are
// part of the handover format.
type Update struct {
	Discovery string // address of the discovery service
	After     int64  // the changes apply to this version and later ones, up to Seq
	Seq       int64  // version that the changes lead to
	Whole     bool   // Entries are the whole list
	Restarted bool   // the service has restarted its versions: this list is newer, whatever its version
	Entries   []dispatch.Entry
	Unread    refresh.Unread // at the sender
	Watching  bool           // the sender's last call brought a list
	Passed    bool           // the receiver is to continue the watch
}

// OtherProcesses sends messages to the other processes of this dispatcher. Its methods do not block.
type OtherProcesses interface {
	// SendUpdate sends an update to another process, if there is one. It reports false if there is none.
	SendUpdate(to Process, update Update) bool
	// RequestWatch asks the predecessor to pass its watch of the discovery service at this address on when it leaves.
	RequestWatch(addr string)
}

// sharing is what a watch keeps about the other processes. The fields up to running belong to the goroutine of Run.
type sharing struct {
	others     OtherProcesses   // nil for none; set before Run
	operations chan func()      // of the other processes
	present    map[Process]bool // the other processes that there are
	following  bool             // another process calls discovery, and this one does not
	serving    bool             // this process is ready to replace its predecessor
	leaving    bool             // this process passes its watch on if its successor asks for it
	requested  bool             // the successor asks for it, and follows this process until then
	continued  bool             // the predecessor has passed its watch on, and follows this process
	sentAt     time.Duration    // when an update was last sent
	read       *Update          // by the last call; nil if it brought nothing
	running    atomic.Bool      // Run has been called
	passed     chan struct{}    // closed when the successor has the watch, or does not ask for it
	passOnce   sync.Once        // closes passed
}

func newSharing() *sharing {
	return &sharing{operations: make(chan func(), maxOperations), present: map[Process]bool{},
		passed: make(chan struct{})}
}

// SetOtherProcesses sets the other processes. It must be called before Run and RestoreState.
func (w *Watch) SetOtherProcesses(others OtherProcesses) { w.sharing.others = others }

// operate runs an operation on the goroutine of Run, unless too many are waiting.
func (w *Watch) operate(operation func()) {
	select {
	case w.sharing.operations <- operation:
	default:
		slog.Warn("inventory", "state", "busy", "dropped", "update")
	}
}

// Receive takes an update of another process.
func (w *Watch) Receive(from Process, update Update) {
	w.operate(func() { w.applyUpdate(from, update) })
}

// SetPresent records that there is another process.
func (w *Watch) SetPresent(other Process) { w.operate(func() { w.sharing.present[other] = true }) }

// SetGone records that another process has ended. If this one has followed its watch, it calls discovery at once: the
// other may have ended before it could send what it had read.
func (w *Watch) SetGone(other Process) {
	w.operate(func() {
		delete(w.sharing.present, other)
		if other == Successor {
			w.sharing.requested = false
		}
		if w.sharing.following {
			w.sharing.following = false
			w.callAfter(0)
		}
	})
}

// SetServing records that this process is ready to replace its predecessor: from now on the time runs in which what
// discovery has must be read.
func (w *Watch) SetServing() {
	w.operate(func() {
		w.sharing.serving = true
		w.mu.Lock()
		if !w.schedule.IsWatching() {
			w.schedule.CountsWithin(w.now(), refresh.HandoverBound)
		}
		w.mu.Unlock()
		switch {
		case w.sharing.following:
			w.follow()
			w.sharing.others.RequestWatch(w.client.Addr)
		case w.callAt > w.now():
			w.callAt = min(w.callAt, w.now()+w.firstCallDelay())
		}
	})
}

// Request records that the successor asks for the watch of the discovery service at an address. The watch stays here if
// that is another service than this process's.
func (w *Watch) Request(addr string) {
	w.operate(func() {
		w.sharing.requested = addr == w.client.Addr && w.settings().PassesWatch()
		w.passOnBetweenCalls()
	})
}

// SetLeaving records that this process leaves: it passes its watch on to a successor that asks for it, once its call in
// progress has ended.
func (w *Watch) SetLeaving() {
	if !w.sharing.running.Load() {
		w.setPassed()
	}
	w.operate(func() {
		w.sharing.leaving = true
		w.passOnBetweenCalls()
		if !w.sharing.requested {
			w.setPassed()
		}
	})
}

// Passed returns a channel that is closed when this process has left and its watch is not needed here any more.
func (w *Watch) Passed() <-chan struct{} { return w.sharing.passed }

func (w *Watch) setPassed() { w.sharing.passOnce.Do(func() { close(w.sharing.passed) }) }

// shareCall sends what the last call has brought to the other processes, or that it failed.
func (w *Watch) shareCall() {
	update := Update{Discovery: w.client.Addr, After: w.seq, Seq: w.seq}
	if w.sharing.read != nil {
		update = *w.sharing.read
	}
	w.sharing.read = nil
	for other := range w.sharing.present {
		w.send(other, update)
	}
	w.passOn()
}

// send sends an update, and reports whether there is a process that gets it.
func (w *Watch) send(to Process, update Update) bool {
	if w.sharing.others == nil {
		return false
	}
	w.sharing.sentAt = w.now()
	w.mu.Lock()
	update.Unread, update.Watching = w.schedule.Unread(w.now()), w.schedule.IsWatching()
	w.mu.Unlock()
	return w.sharing.others.SendUpdate(to, update)
}

// followers returns the other processes that follow this one's watch. Those that do not get no heartbeats: a process
// that stands still would not read them, and the link to it would fill up.
func (s *sharing) followers() (others []Process) {
	if s.requested && s.present[Successor] {
		others = append(others, Successor)
	}
	if s.continued && s.present[Predecessor] {
		others = append(others, Predecessor)
	}
	return others
}

// heartbeatTimer returns a channel that fires when a process that follows this one is to get a sign, or nil if there is
// no such process.
func (w *Watch) heartbeatTimer() <-chan time.Time {
	if w.sharing.following || len(w.sharing.followers()) == 0 {
		return nil
	}
	return time.After(w.sharing.sentAt + refresh.HeartbeatInterval - w.now())
}

// sendHeartbeat sends an update without news to the processes that follow this one.
func (w *Watch) sendHeartbeat() {
	for _, other := range w.sharing.followers() {
		w.send(other, Update{Discovery: w.state.Discovery, After: w.seq, Seq: w.seq})
	}
}

// passOnBetweenCalls passes the watch on if no call is in progress.
func (w *Watch) passOnBetweenCalls() {
	if w.callAt > w.now() {
		w.passOn()
	}
}

// passOn passes the watch on if this process leaves and the successor has asked for it, unless another process has it.
func (w *Watch) passOn() {
	if !w.sharing.requested || !w.sharing.leaving || w.sharing.following {
		return
	}
	w.sharing.requested = false
	if !w.send(Successor, Update{Discovery: w.client.Addr, After: w.seq, Seq: w.seq, Passed: true}) {
		return
	}
	w.follow()
	w.mu.Lock()
	w.schedule.Passed()
	w.mu.Unlock()
	slog.Info("inventory", "state", "passed", "to", Successor, "seq", w.seq)
	w.setPassed()
}

// follow leaves the calls to another process until that gives no sign for too long.
func (w *Watch) follow() {
	w.sharing.following = true
	w.callAfter(w.settings().FollowTimeout())
}

// applyUpdate applies an update of another process.
func (w *Watch) applyUpdate(from Process, update Update) {
	has := w.applyEntries(from, update)
	if has {
		w.mu.Lock()
		w.schedule.Adopt(w.now(), update.Unread)
		w.mu.Unlock()
		w.updateHold()
	}
	if has && w.sharing.present[from.opposite()] {
		relayed := update
		relayed.Passed = false
		w.send(from.opposite(), relayed)
	}
	switch {
	case !w.sharing.following: // this process calls discovery anyway
	case !has: // something is missing here
		w.sharing.following = false
		w.callAfter(0)
	case update.Passed:
		w.continueWatch(from, update.Watching)
	case from == Successor || w.sharing.serving: // before that, there is time
		w.follow()
	}
}

// continueWatch takes over the watch of another process, which may have been failing there.
func (w *Watch) continueWatch(from Process, isWatching bool) {
	slog.Info("inventory", "state", "continued", "from", from, "seq", w.seq, "watching", isWatching)
	w.sharing.following, w.sharing.continued = false, true
	if !isWatching {
		w.callAfter(w.firstCallDelay())
		return
	}
	w.mu.Lock()
	w.schedule.Continue()
	w.mu.Unlock()
	w.callAfter(0)
	w.passOn() // this process may be leaving already
}

// applyEntries applies the list of an update if it is newer, and reports whether this process now has all that the
// update tells of. A successor may have read from another discovery service, after a reload: its list is the newer one.
// A version of the list at this process's own address is then no longer known.
func (w *Watch) applyEntries(from Process, update Update) (has bool) {
	own := update.Discovery == w.state.Discovery
	l := list{seq: update.Seq, whole: update.Whole, entries: update.Entries}
	switch {
	case own && update.Seq <= w.seq && !update.Restarted:
		return true
	case update.Whole && (own || from == Successor):
		w.deliver(topazfall.ListSnapshot, l, update.Discovery)
	case own && update.After <= w.seq:
		w.deliver(topazfall.ListPatch, l, update.Discovery)
	default:
		return false
	}
	if w.hasList = update.Discovery == w.client.Addr; w.hasList {
		w.listSource, w.receivedOlder = w.client, false
	}
	slog.Info("inventory", "seq", l.seq, "whole", l.whole, "entries", len(l.entries), "from", from)
	return true
}
