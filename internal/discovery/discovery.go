// Package discovery follows the list of workers at the discovery service. It starts from the list known before a
// restart and then watches for changes by long polls: each answer is followed by the next call at once. Package
// decide/refresh decides when to call and for how long the list may be relied on.
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

// ListReceiver receives the list of workers and its changes. There are no entries with ListFailed.
type ListReceiver interface {
	ApplyList(kind topazfall.EventKind, entries []dispatch.Entry)
}

// StoringReceiver is a ListReceiver that saves what it needs of the list. What it has not saved is not acknowledged to
// discovery: calls name the last version that is saved.
type StoringReceiver interface {
	ListReceiver
	// Stored waits until all received changes are saved, for a limited time, and reports whether they are.
	Stored(limit time.Duration) bool
}

// HoldReceiver is notified when a hold begins and when it ends. A hold begins when the list passes its staleness bound,
// the age up to which it may be relied on: nothing new may then be sent to any worker until the list is up to date
// again. The list that ends a hold is delivered before SetHold(false).
type HoldReceiver interface {
	SetHold(held bool)
}

// Watch follows the list at one discovery address, which Move may change.
type Watch struct {
	receiver        ListReceiver
	holdReceiver    HoldReceiver // may be nil
	client          *client
	seq             int64
	hasList         bool      // there is a list that changes can be applied to
	callRequests    chan bool // true asks for the whole list
	addressChanges  chan string
	settingsChanged chan struct{}
	listSource      *client // the client that fetched the list; nil for a restored list
	receivedOlder   bool    // the last answer was a whole list older than the current one
	storedSeq       int64   // the last version that the receiver has saved, if it saves any
	failing         bool    // the last call failed
	held            bool    // as last reported to holdReceiver
	requestedAddr   string  // address of the last Move; used by its caller's goroutine only
	firstCallDone   chan struct{}
	started         time.Time     // zero point of the schedule's times
	callAt          time.Duration // when the next call is due; noCallDue while another process calls
	sharing         *sharing

	mu       sync.Mutex
	state    HandoverState
	schedule *refresh.Schedule
}

// HandoverState is the list as last received, for a successor process. Its field names are part of the handover format.
type HandoverState struct {
	Discovery string                    // address of the discovery service that the list came from
	Seq       int64                     // version of the list
	Hosts     map[string]dispatch.Entry // by worker id
	Unread    refresh.Unread            // the period in which changes may have been missed
	Shared    bool                      // the process sends what it reads from then on
}

// RefreshSettings extracts the settings of the refresh schedule.
func RefreshSettings(s *topazfall.Settings) refresh.Settings {
	return refresh.Settings{Dispatchers: s.Dispatchers, Polled: s.ListOnRequest,
		DrainGrace: time.Duration(s.Contract.DrainGrace) * time.Microsecond,
		AskEvery:   time.Duration(s.Contract.AskEvery) * time.Microsecond}
}

// New returns a watch of the discovery service at addr that passes the list on to receiver.
func New(addr string, receiver ListReceiver, settings refresh.Settings) *Watch {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &Watch{receiver: receiver, client: newClient(addr), callRequests: make(chan bool, 1),
		addressChanges: make(chan string, 1), settingsChanged: make(chan struct{}, 1), requestedAddr: addr,
		firstCallDone: make(chan struct{}), started: time.Now(), schedule: refresh.New(0, settings, random),
		sharing: newSharing()}
}

// SetHoldReceiver sets the receiver of holds. It must be called before Run.
func (w *Watch) SetHoldReceiver(receiver HoldReceiver) { w.holdReceiver = receiver }

// UpdateSettings changes the settings. The staleness bound changes at once, and calls from the next one on.
func (w *Watch) UpdateSettings(settings refresh.Settings) {
	w.mu.Lock()
	w.schedule.Configure(settings)
	w.mu.Unlock()
	select {
	case w.settingsChanged <- struct{}{}:
	default:
	}
}

func (w *Watch) settings() refresh.Settings {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.schedule.Settings()
}

// now returns the current time on the schedule's clock.
func (w *Watch) now() time.Duration { return time.Since(w.started) }

// Follow does nothing: the watch receives changes anyway. It does not shorten a backoff either, because when calls of
// many dispatchers fail for the same cause, earlier retries would only add to the load.
func (w *Watch) Follow() {}

// Fetch requests a call for the whole list.
func (w *Watch) Fetch() { w.requestCall(true) }

func (w *Watch) requestCall(whole bool) {
	select {
	case w.callRequests <- whole:
	default:
	}
}

// Move continues the watch at another address, beginning with a first call. Of several moves the last counts. It must
// not be called concurrently.
func (w *Watch) Move(addr string) {
	if w.requestedAddr == addr { // already watched there, so no change is missed
		return
	}
	w.requestedAddr = addr
	select {
	case <-w.addressChanges: // drop an earlier move that Run has not taken up
	default:
	}
	w.addressChanges <- addr
}

// FirstCallDone returns a channel that is closed once the first call has ended, whether it succeeded or not.
func (w *Watch) FirstCallDone() <-chan struct{} { return w.firstCallDone }

// LoadKnown restores the list known before a restart and returns its number of workers.
func (w *Watch) LoadKnown(text []byte) int {
	if len(text) == 0 {
		return 0
	}
	l, err := parseList(text)
	if err != nil {
		slog.Warn("inventory", "known", "unreadable", "error", err)
		return 0
	}
	w.deliver(topazfall.ListRestored, l, w.client.Addr)
	return len(l.entries)
}

// RequestWholeList makes the first call ask for the whole list, whatever list is known. It must be called before Run.
func (w *Watch) RequestWholeList() { w.hasList = false }

// HandoverState returns the state that a successor process passes to Inherit.
func (w *Watch) HandoverState() HandoverState {
	w.mu.Lock()
	defer w.mu.Unlock()
	state := w.state
	state.Hosts, state.Unread = maps.Clone(state.Hosts), w.schedule.Unread(w.now())
	state.Shared = w.sharing.others != nil
	return state
}

// RestoreState restores the list of the predecessor process and returns its number of workers. If the predecessor had
// it from another address, versions are not comparable and the first call asks for the whole list. It must be called
// before Run.
func (w *Watch) RestoreState(state HandoverState) int {
	if len(state.Hosts) == 0 {
		return 0
	}
	w.deliver(topazfall.ListRestored, list{seq: state.Seq, entries: slices.Collect(maps.Values(state.Hosts))},
		state.Discovery)
	if w.hasList = state.Discovery == w.client.Addr; w.hasList {
		w.listSource = w.client // an older list from there is not taken for a newer one
		w.sharing.following = state.Shared && w.settings().PassesWatch()
	}
	w.schedule.Inherit(state.Unread)
	return len(state.Hosts)
}

// deliver passes a list or changes to it, which came from a discovery address, on to the receiver, and keeps them for a
// handover.
func (w *Watch) deliver(kind topazfall.EventKind, l list, source string) {
	w.receiver.ApplyList(kind, l.entries)
	w.seq, w.hasList = l.seq, true
	w.mu.Lock()
	defer w.mu.Unlock()
	if kind != topazfall.ListPatch || w.state.Hosts == nil {
		w.state.Hosts = map[string]dispatch.Entry{}
	}
	for _, e := range l.entries {
		if w.state.Hosts[e.ID] = e; e.State == topazfall.Gone {
			delete(w.state.Hosts, e.ID)
		}
	}
	w.state.Discovery, w.state.Seq = source, l.seq
}

// Run watches the list until the program ends.
func (w *Watch) Run() {
	w.sharing.running.Store(true)
	w.updateHold()
	if w.sharing.following {
		w.callAt = noCallDue // until this process is ready
	} else {
		w.callAfter(w.firstCallDelay())
	}
	for first := true; ; first = false {
		w.awaitCall()
		err := w.call()
		if first {
			close(w.firstCallDone)
		}
		if err == errAddressChanged {
			w.callAfter(w.firstCallDelay())
			continue
		}
		w.logState(err)
		pause := w.endCall(err)
		w.updateHold()
		w.callAfter(pause)
		w.shareCall()
	}
}

// callAfter makes the next call due after a pause.
func (w *Watch) callAfter(pause time.Duration) { w.callAt = w.now() + pause }

// firstCallDelay returns the pause before the first call to an address.
func (w *Watch) firstCallDelay() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.schedule.FirstDelay(w.now(), len(w.state.Hosts) > 0)
}

// logState logs when calls begin to fail and when they succeed again. It reports the former to the receiver too.
func (w *Watch) logState(err error) {
	switch {
	case err == nil && w.failing:
		slog.Info("inventory", "state", "back", "seq", w.seq)
	case err != nil && !w.failing:
		slog.Warn("inventory", "state", "broken", "seq", w.seq, "error", err)
		w.receiver.ApplyList(topazfall.ListFailed, nil)
	}
	w.failing = err != nil
}

// endCall records the result of a call and returns the pause before the next one. Where discovery is polled, each
// failed call is logged: its duration distinguishes a service without free capacity from one that is down, and the
// time for which the list may still be used shows whether a hold begins before the next call.
func (w *Watch) endCall(err error) time.Duration {
	var refused refusedError
	errors.As(err, &refused)
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	took := now - w.schedule.CallStart()
	pause := w.schedule.End(now, classifyError(err), refused.retryAfter)
	if staleAt, bounded := w.schedule.StaleAt(); err != nil && bounded {
		slog.Info("inventory", "call", "failed", "took", took, "next", pause, "stale_in", staleAt-now, "error", err)
	}
	return pause
}

// awaitCall waits until the next call is due or requested. If the address of discovery changes, the delay before the
// first call to the new address replaces the rest of the pause.
func (w *Watch) awaitCall() {
	for {
		select { // before a call that is due already
		case operation := <-w.sharing.operations:
			operation()
			continue
		default:
		}
		due := w.callTimer()
		if due == nil && w.callAt != noCallDue {
			return
		}
		select {
		case whole := <-w.callRequests:
			w.hasList = w.hasList && !whole
			return
		case addr := <-w.addressChanges:
			w.switchAddress(addr)
			w.callAfter(w.firstCallDelay())
		case operation := <-w.sharing.operations:
			operation()
		case <-w.heartbeatTimer():
			w.sendHeartbeat()
		case <-w.holdTimer():
			w.updateHold()
		case <-w.settingsChanged:
			w.updateHold()
		case <-due:
			return
		}
	}
}

// callTimer returns a channel that fires when the next call is due, or nil if it is due already or not due at all.
func (w *Watch) callTimer() <-chan time.Time {
	pause := w.callAt - w.now()
	if w.callAt == noCallDue || pause <= 0 {
		return nil
	}
	return time.After(pause)
}

// holdTimer returns a channel that fires at the staleness bound, or nil if there is no bound or a hold has already
// begun.
func (w *Watch) holdTimer() <-chan time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, bounded := w.schedule.StaleAt()
	if !bounded || w.held {
		return nil
	}
	return time.After(at - w.now())
}

// updateHold notifies holdReceiver if a hold has begun, because the list has become stale, or has ended.
func (w *Watch) updateHold() {
	w.mu.Lock()
	held := w.schedule.IsStale(w.now())
	w.mu.Unlock()
	if held == w.held {
		return
	}
	w.held = held
	slog.Warn("inventory", "state", map[bool]string{true: "held", false: "released"}[held], "seq", w.seq)
	if w.holdReceiver != nil {
		w.holdReceiver.SetHold(held)
	}
}

var errAddressChanged = errors.New("the address of discovery has changed")

// switchAddress continues at another address. It aborts the open call, because the old address may leave it unanswered,
// and its answer would no longer be used. The list stays in use until the new address has sent a whole one, as its
// versions need not continue those of the old address.
func (w *Watch) switchAddress(addr string) {
	slog.Info("inventory", "state", "moved", "from", w.client.Addr, "to", addr, "seq", w.seq)
	w.client.close()
	w.client, w.hasList, w.sharing.following = newClient(addr), false, false
	w.mu.Lock()
	defer w.mu.Unlock()
	w.schedule.AddressChanged(w.now())
}

// beginCall records the start of a call. It returns the settings, and for how long discovery may wait for changes
// before it answers.
func (w *Watch) beginCall() (settings refresh.Settings, wait time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.schedule.Settings(), w.schedule.Begin(w.now(), w.hasList)
}

// acknowledgedSeq returns the version that the next call may name as received: the present one, or the last one that is
// saved. In the latter case discovery answers at once; the time that the receiver is given to save limits the calls.
func (w *Watch) acknowledgedSeq() int64 {
	receiver, stores := w.receiver.(StoringReceiver)
	if !stores || w.storedSeq == w.seq || receiver.Stored(w.settings().AgentRetryInterval()) {
		w.storedSeq = w.seq
	}
	return w.storedSeq
}

// call makes one call: a long poll for changes, or a fetch of the whole list if there is none yet or one was requested.
//
// Where lists are pushed by a local agent, a call whose answer is late stays open in case the agent is only slow, and
// extra calls are made beside it, one at a time. The first answer with a list is used.
func (w *Watch) call() error {
	select {
	case whole := <-w.callRequests:
		w.hasList = w.hasList && !whole
	default:
	}
	client, after := w.client, w.acknowledgedSeq()
	w.callAt, w.sharing.following = w.now(), false
	settings, wait := w.beginCall()
	path, limit := "/v1/endpoints", settings.CallTimeout()
	extraPath := path
	if w.hasList {
		path += "?after=" + strconv.FormatInt(after, 10) + "&wait_ms="
		extraPath = path + "0"
		path += strconv.FormatInt(wait.Milliseconds(), 10)
	} else if !settings.Polled { // an agent does not queue calls
		limit = refresh.AnswerGrace
	}
	// An answer that comes after a move is dropped together with its channel.
	mainAnswer, extraAnswer := make(chan answer, 1), make(chan answer, 1)
	go func() { mainAnswer <- client.get(path, limit) }()
	extraCallDue, extraCallOpen := (<-chan time.Time)(nil), false
	if !settings.Polled {
		extraCallDue = time.After(wait + settings.AgentRetryInterval())
	}
	for {
		select {
		case addr := <-w.addressChanges:
			w.switchAddress(addr)
			return errAddressChanged
		case operation := <-w.sharing.operations:
			operation()
		case <-w.heartbeatTimer():
			w.sendHeartbeat()
		case a := <-mainAnswer:
			return w.applyAnswer(a, after)
		case a := <-extraAnswer:
			if extraCallOpen = false; a.err == nil || errors.As(a.err, &unreadableError{}) {
				return w.applyAnswer(a, after)
			}
		case <-extraCallDue:
			if extraCallDue = time.After(settings.AgentRetryInterval()); !extraCallOpen {
				extraCallOpen = true
				go func() { extraAnswer <- client.get(extraPath, settings.AgentRetryInterval()) }()
			}
		case <-w.holdTimer():
			w.updateHold()
		case <-w.settingsChanged:
			w.updateHold()
		}
	}
}

// applyAnswer applies the answer to a call that named version after.
func (w *Watch) applyAnswer(a answer, after int64) error {
	l, err := a.list, a.err
	if errors.As(err, &unreadableError{}) {
		w.hasList = false // the changes are lost, so the next call asks for the whole list
	}
	before := w.seq
	switch {
	case err != nil:
		return err
	case l.whole && w.listSource == w.client && l.seq < w.seq && !w.receivedOlder:
		// An older list may show draining workers as up. If the list fetched next is older too, the service has
		// restarted its versions, and that list is accepted.
		w.hasList, w.receivedOlder = false, true
		return fmt.Errorf("received version %d of the whole list after version %d", l.seq, w.seq)
	case l.whole:
		w.deliver(topazfall.ListSnapshot, l, w.client.Addr)
	case w.hasList && after <= l.seq && l.seq < w.seq:
		// Another process has received newer changes during the call.
		l.entries = nil
		l.seq = w.seq
	case !w.hasList || l.seq < w.seq: // changes to a different list
		w.hasList = false
		return fmt.Errorf("changes up to version %d do not apply to version %d", l.seq, w.seq)
	default:
		w.deliver(topazfall.ListPatch, l, w.client.Addr)
	}
	w.listSource, w.receivedOlder = w.client, false
	w.sharing.read = &Update{Discovery: w.client.Addr, After: min(after, before), Seq: l.seq, Whole: l.whole,
		Restarted: l.whole && l.seq < before, Entries: l.entries}
	if len(l.entries) > 0 {
		slog.Info("inventory", "seq", l.seq, "whole", l.whole, "entries", len(l.entries))
	}
	return nil
}
