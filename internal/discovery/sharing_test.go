package discovery

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazfall/internal/decide/refresh"
	"topazfall/internal/dispatch"
)

// sharedSettings are settings of few dispatchers that poll, so that a first call comes soon, and a watch is passed on.
var sharedSettings = refresh.Settings{Dispatchers: 8, Polled: true, DrainGrace: 500 * time.Millisecond,
	AskEvery: 10 * time.Second}

// continuesWatch is the end of a call that continues a watch.
const continuesWatch = "&wait_ms=1000"

// process is a watch with the links to the other processes of its dispatcher.
type process struct {
	*Watch
	lists recorder

	mu   sync.Mutex
	link map[Process]*process // nil for none
	sent map[Process]int      // updates
}

func (p *process) linked(other Process) *process {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link[other]
}

func (p *process) setLink(other Process, to *process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link[other] = to
}

// SendUpdate implements OtherProcesses.
func (p *process) SendUpdate(to Process, update Update) bool {
	p.mu.Lock()
	p.sent[to]++
	p.mu.Unlock()
	other := p.linked(to)
	if other != nil {
		other.Receive(to.opposite(), update)
	}
	return other != nil
}

// sentWithin returns how many updates the process sends to another one within a time.
func (p *process) sentWithin(to Process, duration time.Duration) int {
	count := func() int {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.sent[to]
	}
	before := count()
	time.Sleep(duration)
	return count() - before
}

// RequestWatch implements OtherProcesses.
func (p *process) RequestWatch(addr string) {
	if other := p.linked(Predecessor); other != nil {
		other.Request(addr)
	}
}

// startProcess starts a process that replaces none. Its watch has version 41 of the list, and its first call is
// pending.
func startProcess(t *testing.T, server *fakeServer) *process {
	p := &process{lists: make(recorder, 99), link: map[Process]*process{}, sent: map[Process]int{}}
	p.Watch = New(server.Addr().String(), p.lists, sharedSettings)
	p.SetOtherProcesses(p)
	require.Equal(t, 1, p.LoadKnown([]byte(listJSON(41, true, "a", "up"))))
	require.Equal(t, "a0", p.lists.next(t))
	go p.Run()
	return p
}

// startWatching starts a process and answers its first call. It watches the list then; the call is returned.
func startWatching(t *testing.T, server *fakeServer) (*process, pendingCall) {
	p := startProcess(t, server)
	server.next(t).answer(t, listJSON(41, false, "a", "up"))
	require.Equal(t, "a0", p.lists.next(t))
	call := server.next(t)
	require.Equal(t, "/v1/endpoints?after=41"+continuesWatch, call.query)
	return p, call
}

// replace starts a process that replaces this one, at an address of discovery. It has the state and is not ready yet.
func (p *process) replace(t *testing.T, addr string) *process {
	next := &process{lists: make(recorder, 99), link: map[Process]*process{Predecessor: p},
		sent: map[Process]int{}}
	next.Watch = New(addr, next.lists, sharedSettings)
	next.SetOtherProcesses(next)
	p.setLink(Successor, next)
	p.SetPresent(Successor)
	state := p.HandoverState()
	require.Equal(t, 1, next.RestoreState(state))
	next.lists.next(t)
	go next.Run()
	next.SetPresent(Predecessor)
	return next
}

// startReplacement starts a process that watches the list and one that replaces it and is ready. The call of the former
// is returned.
func startReplacement(t *testing.T, server *fakeServer) (old, young *process, call pendingCall) {
	old, call = startWatching(t, server)
	young = old.replace(t, server.Addr().String())
	young.SetServing()
	return old, young, call
}

// end ends a process: its links are closed, and it does not call the discovery of the test any more.
func (p *process) end() {
	p.Move("127.0.0.1:1")
	for _, side := range []Process{Predecessor, Successor} {
		if other := p.linked(side); other != nil {
			other.setLink(side.opposite(), nil)
			other.SetGone(side.opposite())
		}
		p.setLink(side, nil)
	}
}

// requireNoCall requires that nobody calls for a while.
func (s *fakeServer) requireNoCall(t *testing.T, duration time.Duration) {
	t.Helper()
	select {
	case call := <-s.calls:
		require.Fail(t, "an unexpected call", call.query)
	case <-time.After(duration):
	}
}

func drain(seq int) string { return listJSON(seq, false, "a", "draining") }

func TestProcessOpposite(t *testing.T) {
	require.Equal(t, Successor, Predecessor.opposite())
	require.Equal(t, Predecessor, Successor.opposite())
}

// Guards against a successor that does not know what its predecessor has been told of: before the successor is ready,
// then until the predecessor leaves, and after that until it ends. The successor opens no watch of its own for that. It
// continues the predecessor's when the call in progress there has been answered, and then tells the predecessor in
// turn.
func TestSuccessorKnowsWhatItsPredecessorReads(t *testing.T) {
	t.Parallel()
	server := newFakeServer(t)
	old, call := startWatching(t, server)
	young := old.replace(t, server.Addr().String())
	for seq, state := range []func(){func() {}, young.SetServing, old.SetLeaving} {
		state()
		time.Sleep(sharedSettings.FollowTimeout() / 2)
		call.answer(t, drain(42+seq))
		require.Equal(t, "a1", old.lists.next(t))
		require.Equal(t, "a1", young.lists.next(t))
		call = server.next(t)
		require.Equal(t, fmt.Sprintf("/v1/endpoints?after=%d", 42+seq)+continuesWatch, call.query)
		server.requireNoCall(t, 2*sharedSettings.FollowTimeout())
	}
	<-old.Passed()
	call.answer(t, listJSON(45, false, "b", "up"))
	require.Equal(t, "b0", young.lists.next(t))
	require.Equal(t, "b0", old.lists.next(t), "the predecessor still has messages in flight")
	call = server.next(t)
	require.Equal(t, "/v1/endpoints?after=45"+continuesWatch, call.query)
	old.end()
	server.requireNoCall(t, 2*sharedSettings.FollowTimeout())
	call.answer(t, listJSON(46, false, "b", "draining"))
	require.Equal(t, "b1", young.lists.next(t))
}

// Guards against a change that the predecessor was told of and could not pass on, as it ended, was killed or stopped
// answering: the successor calls discovery within the grace period of a drain.
func TestSuccessorReadsForItselfWhenItsPredecessorIsGoneOrSilent(t *testing.T) {
	t.Parallel()
	for name, fail := range map[string]func(old *process){
		"gone": (*process).end,
		// A stopped process sends nothing, and its link stays.
		"silent": func(old *process) { old.setLink(Successor, nil) },
	} {
		for _, leaving := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", leaving ", leaving), func(t *testing.T) {
				t.Parallel()
				server := newFakeServer(t)
				old, _ := startWatching(t, server)
				young := old.replace(t, server.Addr().String())
				young.SetServing()
				if leaving {
					old.SetLeaving()
				}
				server.requireNoCall(t, 2*sharedSettings.FollowTimeout())
				failedAt := time.Now()
				fail(old)
				call := server.next(t)
				require.Less(t, time.Since(failedAt), sharedSettings.DrainGrace)
				require.Equal(t, "/v1/endpoints?after=41&wait_ms=0", call.query)
				call.answer(t, drain(42))
				require.Equal(t, "a1", young.lists.next(t))
			})
		}
	}
}

// A successor that is not ready yet sends nothing, and calls only if its predecessor is gone.
func TestSuccessorDoesNotCallBeforeItIsReady(t *testing.T) {
	t.Parallel()
	server := newFakeServer(t)
	old, _ := startWatching(t, server)
	old.replace(t, server.Addr().String())
	old.setLink(Successor, nil) // silent
	server.requireNoCall(t, 4*sharedSettings.FollowTimeout())
	young := old.replace(t, server.Addr().String())
	old.end()
	require.Equal(t, "/v1/endpoints?after=41&wait_ms=0", server.next(t).query)
	require.NotNil(t, young)
}

// Guards against a list that goes back: the first answer to a successor that calls for itself is older than what its
// predecessor has passed on, whole or not.
func TestOlderAnswerDoesNotUndoWhatAnotherProcessRead(t *testing.T) {
	t.Parallel()
	for _, whole := range []bool{false, true} {
		t.Run(fmt.Sprint("whole ", whole), func(t *testing.T) {
			t.Parallel()
			server := newFakeServer(t)
			old, call := startWatching(t, server)
			young := old.replace(t, server.Addr().String())
			young.SetServing()
			young.Fetch() // it calls for itself
			own := server.next(t)
			require.Equal(t, "/v1/endpoints", own.query)
			call.answer(t, drain(43))
			require.Equal(t, "a1", old.lists.next(t))
			require.Equal(t, "a1", young.lists.next(t))
			server.next(t) // of the predecessor
			if whole {
				own.answer(t, listJSON(42, true, "a", "up"))
			} else {
				own.answer(t, listJSON(41, false, "a", "up"))
			}
			retry := server.next(t)
			require.Empty(t, young.lists, "the older list is not used")
			retry.answer(t, listJSON(43, true, "a", "draining"))
			require.Equal(t, "a1", young.lists.next(t))
		})
	}
}

// An answer that another process has overtaken while the call was in progress is no error, and changes nothing.
func TestAnswerThatWasOvertaken(t *testing.T) {
	t.Parallel()
	server := newFakeServer(t)
	p, call := startWatching(t, server)
	p.Receive(Predecessor, Update{Discovery: server.Addr().String(), After: 41, Seq: 43})
	require.Empty(t, p.lists.next(t))
	call.answer(t, drain(42))
	require.Equal(t, "/v1/endpoints?after=43"+continuesWatch, server.next(t).query, "the watch continues")
	require.Empty(t, p.lists)
}

// Guards against a link that fills up while the process at its other end stands still: signs go only to processes that
// follow this one.
func TestHeartbeatsGoToFollowersOnly(t *testing.T) {
	t.Parallel()
	const observed = 10 * refresh.HeartbeatInterval
	server := newFakeServer(t)
	old, call := startWatching(t, server)
	young := old.replace(t, server.Addr().String())
	require.Zero(t, old.sentWithin(Successor, observed), "the successor is not ready")
	young.SetServing()
	require.GreaterOrEqual(t, old.sentWithin(Successor, observed), 5)
	require.Zero(t, young.sentWithin(Predecessor, observed))
	old.SetLeaving()
	call.answer(t, drain(42))
	<-old.Passed()
	server.next(t) // of the successor
	require.GreaterOrEqual(t, young.sentWithin(Predecessor, observed), 5)
	require.Zero(t, old.sentWithin(Successor, observed))
}

// A process that misses an update calls discovery at once, and one with another list does not use changes to this one.
func TestMissedUpdate(t *testing.T) {
	t.Parallel()
	server := newFakeServer(t)
	_, young, _ := startReplacement(t, server)
	young.Receive(Predecessor, Update{Discovery: server.Addr().String(), After: 42, Seq: 43})
	call := server.next(t)
	require.Equal(t, "/v1/endpoints?after=41&wait_ms=0", call.query)
	young.Receive(Predecessor, Update{Discovery: "127.0.0.1:1", After: 41, Seq: 44, Whole: true})
	call.answer(t, drain(43))
	require.Equal(t, "a1", young.lists.next(t))
	require.Equal(t, "/v1/endpoints?after=43"+continuesWatch, server.next(t).query)
	require.Empty(t, young.lists)
}

// Several replacements follow each other before any process has left: the watch goes down the row, each process knows
// what is read, and one process calls at a time.
func TestWatchIsPassedDownARow(t *testing.T) {
	t.Parallel()
	server := newFakeServer(t)
	first, call := startWatching(t, server)
	second := first.replace(t, server.Addr().String())
	second.SetServing()
	third := second.replace(t, server.Addr().String())
	third.SetServing()
	row := []*process{first, second, third}
	read := func(seq int) {
		t.Helper()
		call.answer(t, drain(seq))
		for i, p := range row {
			require.Equal(t, "a1", p.lists.next(t), "process %d", i)
		}
		call = server.next(t)
		require.Equal(t, fmt.Sprintf("/v1/endpoints?after=%d", seq)+continuesWatch, call.query)
		server.requireNoCall(t, 2*sharedSettings.FollowTimeout())
	}
	read(42)
	second.SetLeaving() // it has no watch to pass on yet
	first.SetLeaving()
	read(43)
	<-first.Passed()
	<-second.Passed()
	read(44)
	second.end()
	first.end()
	row = []*process{third}
	read(45)
}

// A replacement fails: the successor ends, before or after it has the watch. The process that stays calls at once, and
// a further successor follows it.
func TestSuccessorFailsAndAnotherFollows(t *testing.T) {
	t.Parallel()
	server := newFakeServer(t)
	old, call := startWatching(t, server)
	failed := old.replace(t, server.Addr().String())
	failed.SetServing()
	failed.end()
	server.requireNoCall(t, 2*sharedSettings.FollowTimeout())
	failed = old.replace(t, server.Addr().String())
	failed.SetServing()
	old.SetLeaving()
	call.answer(t, drain(42))
	require.Equal(t, "a1", old.lists.next(t))
	server.next(t) // of the successor
	<-old.Passed()
	failed.end()
	call = server.next(t)
	require.Equal(t, "/v1/endpoints?after=42&wait_ms=0", call.query)
	next := old.replace(t, server.Addr().String())
	next.SetServing()
	call.answer(t, drain(43))
	require.Equal(t, "a1", old.lists.next(t))
	require.Equal(t, "a1", next.lists.next(t))
	require.Equal(t, "/v1/endpoints?after=43"+continuesWatch, server.next(t).query, "of the successor")
	server.requireNoCall(t, 2*sharedSettings.FollowTimeout())
}

// Guards against a successor that goes on with its predecessor's list for seconds: the predecessor is of a version that
// passes nothing on, or has another discovery service. The first call comes within 1 s of the moment at which the
// successor is ready; what discovery has counts as told after 2 s.
func TestSuccessorThatFollowsNobodyCallsSoon(t *testing.T) {
	t.Parallel()
	server, other := newFakeServer(t), newFakeServer(t)
	settings := sharedSettings
	settings.Dispatchers = 300 // a first call may wait for 5 s
	for seed := range 5 {
		for name, state := range map[string]HandoverState{
			"older version":   {Discovery: server.Addr().String()},
			"other discovery": {Discovery: other.Addr().String(), Shared: true},
		} {
			t.Run(fmt.Sprint(name, seed), func(t *testing.T) {
				own := newFakeServer(t)
				if name == "older version" {
					state.Discovery = own.Addr().String()
				}
				p := &process{lists: make(recorder, 99), link: map[Process]*process{}, sent: map[Process]int{}}
				p.Watch = New(own.Addr().String(), p.lists, settings)
				p.SetOtherProcesses(p)
				state.Hosts = entriesByID(t, listJSON(41, true, "a", "up"))
				require.Equal(t, 1, p.RestoreState(state))
				go p.Run()
				p.SetServing()
				readyAt := time.Now()
				own.next(t)
				require.Less(t, time.Since(readyAt), refresh.HandoverBound-sharedSettings.DrainGrace)
			})
		}
	}
}

// After a reload that moves discovery the successor reads another service than its predecessor. What that one tells
// counts for both.
func TestPredecessorTakesTheListOfAnotherDiscovery(t *testing.T) {
	t.Parallel()
	server, other := newFakeServer(t), newFakeServer(t)
	old, young, call := startReplacement(t, server)
	young.Move(other.Addr().String())
	moved := other.next(t)
	require.Equal(t, "/v1/endpoints", moved.query)
	moved.answer(t, listJSON(7, true, "a", "draining"))
	require.Equal(t, "a1", young.lists.next(t))
	require.Equal(t, "a1", old.lists.next(t))
	moved = other.next(t)
	moved.answer(t, listJSON(8, false, "a", "up"))
	require.Equal(t, "a0", young.lists.next(t))
	require.Equal(t, "a0", old.lists.next(t))
	call.answer(t, drain(42)) // at the old address: not a version of this list
	require.Empty(t, young.lists)
}

// A reload that changes only settings leaves the watch as it is, at a process that calls and at one that follows it.
func TestSettingsChangeWhileFollowing(t *testing.T) {
	t.Parallel()
	server := newFakeServer(t)
	old, young, call := startReplacement(t, server)
	settings := sharedSettings
	settings.AskEvery, settings.DrainGrace = 5*time.Second, 250*time.Millisecond
	young.UpdateSettings(settings)
	old.UpdateSettings(settings)
	server.requireNoCall(t, 2*sharedSettings.FollowTimeout())
	call.answer(t, drain(42))
	require.Equal(t, "a1", old.lists.next(t))
	require.Equal(t, "a1", young.lists.next(t))
	require.Equal(t, "/v1/endpoints?after=42"+continuesWatch, server.next(t).query)
	server.requireNoCall(t, 2*sharedSettings.FollowTimeout())
}

// entriesByID returns the entries of a list.
func entriesByID(t *testing.T, text string) map[string]dispatch.Entry {
	l, err := parseList([]byte(text))
	require.NoError(t, err)
	entries := map[string]dispatch.Entry{}
	for _, e := range l.entries {
		entries[e.ID] = e
	}
	return entries
}
