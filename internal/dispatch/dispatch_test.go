package dispatch

import (
	"errors"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazfall"
	"topazfall/internal/decide/addresses"
	"topazfall/internal/exchange"
	"topazfall/internal/metrics"
)

// side stands in for the south side and the inventory: it keeps what it is given.
type side struct {
	sent, off chan *exchange.Relay
}

func (s side) Send(r *exchange.Relay)                { s.sent <- r }
func (s side) CallOff(r *exchange.Relay)             { r.End(); s.off <- r }
func (s side) Probe(*exchange.Host)                  {}
func (s side) Readdress(string, []addresses.Address) {}
func (s side) Follow()                               {}
func (s side) Fetch()                                {}

func entry(id string, state topazfall.WorkerState) Entry {
	return Entry{Addr: "127.0.0.1:1", Worker: topazfall.Worker{ID: id, Zone: "z", Kind: "k", State: state}}
}

func start(t *testing.T, hosts ...string) (*Core, side) {
	return startWith(t, nil, hosts...)
}

func settings(tenants []topazfall.Tenant) topazfall.Settings {
	return topazfall.Settings{Tenants: tenants, Dispatchers: 1, Zone: "z", Zones: []string{"z"}, Tick: 4000,
		Classes: []topazfall.Class{{Name: "once", Deadline: 60e6, Aim: 60e6, Repeat: topazfall.Unsafe}},
		Allowed: topazfall.Allowed{Attempts: 4, DialTimeout: 250e3, Cancel: true}}
}

func startWith(t *testing.T, tenants []topazfall.Tenant, hosts ...string) (*Core, side) {
	return startOn(t, settings(tenants), hosts...)
}

func startOn(t *testing.T, settings topazfall.Settings, hosts ...string) (*Core, side) {
	c, err := New(settings, &metrics.Metrics{})
	require.NoError(t, err)
	s := side{make(chan *exchange.Relay, 9), make(chan *exchange.Relay, 9)}
	go c.Run(s, s)
	var entries []Entry
	for _, h := range hosts {
		entries = append(entries, entry(h, topazfall.Ready))
	}
	c.List(topazfall.ListStale, entries)
	return c, s
}

func message(c *Core, id string, wait time.Duration) *exchange.Exchange {
	return exchange.New(exchange.Message{ID: id, Tenant: -1, Due: c.Now() + wait.Microseconds()})
}

// A relay has one ending, whatever else is told of it; the first answer stands, and nothing is kept after.
func TestOneEndingOneAnswer(t *testing.T) {
	c, s := start(t, "h")
	x := message(c, "1", time.Minute)
	c.Arrive(x)
	r := <-s.sent
	require.True(t, r.Start(c.Now()))
	for _, result := range []string{"first", "second"} {
		c.Noted(Note{ID: "1", From: "h", State: Over, Outcome: topazfall.Completed, Result: []byte(result),
			Load: topazfall.NoLoad})
	}
	c.Ended(r, topazfall.Severed, topazfall.NoLoad)
	c.Gone(x)
	require.Equal(t, exchange.Answer{Verdict: exchange.Served, Body: []byte("first")}, <-x.Answer())
	c.Sync()
	c.Sync() // what the first found queued has been dealt with too
	require.Zero(t, c.InHand())
	require.Empty(t, s.off)
	require.Empty(t, c.byID)
	require.Empty(t, c.byNum)
}

// A dial may outlast a drain notice: the relay is not started any more, and the job goes elsewhere.
func TestDialOutlastsDrainNotice(t *testing.T) {
	for _, how := range []string{"draining", "gone", "not listed"} {
		c, s := start(t, "h", "i")
		c.Arrive(message(c, "1", time.Minute))
		r := <-s.sent
		other := map[string]string{"h": "i", "i": "h"}[r.Host.ID]
		switch how {
		case "draining":
			c.List(topazfall.ListPatch, []Entry{entry(r.Host.ID, topazfall.Draining)})
		case "gone":
			c.List(topazfall.ListPatch, []Entry{entry(r.Host.ID, topazfall.Gone)})
		case "not listed":
			c.List(topazfall.ListWhole, []Entry{entry(other, topazfall.Ready)})
		}
		c.Sync()
		require.False(t, r.Start(c.Now()), how)
		c.Ended(r, topazfall.Superseded, topazfall.NoLoad)
		r = <-s.sent
		require.Equal(t, other, r.Host.ID, how)
		require.True(t, r.Start(c.Now()), how)
	}
}

// A client leaves while the core has other things to do: nothing is sent for it any more, though its leaving is not
// dealt with.
func TestNoStartAfterTheClientLeft(t *testing.T) {
	c, err := New(settings(nil), &metrics.Metrics{}) // and it does not run
	require.NoError(t, err)
	x := message(c, "1", time.Minute)
	r := x.Relay(&exchange.Host{ID: "h"}, c.Now(), x.Due)
	c.Gone(x)
	require.False(t, r.Start(c.Now()))
	r = c.Resume(Begun{Message: x.Message}, away{}).Relay(&exchange.Host{ID: "h"}, c.Now(), x.Due)
	require.False(t, r.Start(c.Now()))
}

// A client leaves while its message waits in line with others, or its next attempt waits for its time: of the first
// nothing is prepared, and of the second nothing more.
func TestNothingIsPreparedAfterTheClientLeft(t *testing.T) {
	block := func(c *Core) (gate chan struct{}) {
		begun, gate := make(chan struct{}), make(chan struct{})
		c.ops <- func() { close(begun); <-gate }
		<-begun
		return gate
	}
	fill := func(c *Core) { // no further operation finds a place
		for len(c.ops) < cap(c.ops) {
			c.ops <- func() {}
		}
	}
	t.Run("in line", func(t *testing.T) {
		c, s := start(t, "h")
		gate := block(c)
		x := message(c, "1", time.Minute)
		c.Arrive(x)
		fill(c)
		go c.Gone(x) // waits for its place, behind all
		require.Eventually(t, x.HasLeft, patience, time.Millisecond)
		close(gate)
		require.Equal(t, exchange.Failed, answered(t, x).Verdict)
		require.Eventually(t, func() bool { return len(c.ops) == 0 }, patience, time.Millisecond)
		c.Sync()
		require.Zero(t, c.InHand())
		require.Empty(t, s.sent)
	})
	t.Run("between two attempts", func(t *testing.T) {
		c, s := start(t, "h", "i")
		x := message(c, "1", time.Minute)
		c.Arrive(x)
		r := <-s.sent
		gate := block(c)
		c.Ended(r, topazfall.Saturated, topazfall.NoLoad)
		fill(c)
		go c.Gone(x)
		require.Eventually(t, x.HasLeft, patience, time.Millisecond)
		close(gate)
		require.Equal(t, exchange.Failed, answered(t, x).Verdict)
		require.Eventually(t, func() bool { return len(c.ops) == 0 }, patience, time.Millisecond)
		c.Sync()
		require.Zero(t, c.InHand())
		require.Empty(t, s.sent)
		require.Empty(t, c.byNum)
	})
	t.Run("until a worker comes", func(t *testing.T) { // the module looks again by a timer
		c, s := start(t)
		x := message(c, "1", time.Minute)
		c.Arrive(x)
		c.Sync()
		x.Leave() // and nobody tells of it
		c.List(topazfall.ListPatch, []Entry{entry("h", topazfall.Ready)})
		require.Equal(t, exchange.Failed, answered(t, x).Verdict)
		c.Sync()
		require.Zero(t, c.InHand())
		require.Empty(t, s.sent)
	})
}

// A client leaves while the module is about to send a second copy: there is none, and the first is called off.
func TestNoCopyAfterTheClientLeft(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		s := settings(nil)
		s.TellsStart, s.Allowed.SecondCopies = true, true
		s.Classes[0].Repeat, s.Classes[0].Deadline, s.Classes[0].Aim = topazfall.Safe, 400e3, 400e3
		c, side := startOn(t, s, "h", "i")
		x := message(c, "1", time.Minute)
		c.Arrive(x)
		first := <-side.sent
		require.True(t, first.Start(c.Now()))
		if !leaves {
			require.NotEqual(t, first.Host.ID, (<-side.sent).Host.ID, "without leaving there is a copy")
			continue
		}
		x.Leave() // and nobody tells of it but the mark
		require.Equal(t, exchange.Failed, answered(t, x).Verdict)
		require.Same(t, first, <-side.off)
		c.Sync()
		c.Sync()
		require.Empty(t, side.sent)
		require.Zero(t, c.InHand())
	}
}

const patience = 20 * time.Second // no verdict hangs on how fast a machine is

// answered waits for the final answer.
func answered(t *testing.T, x *exchange.Exchange) exchange.Answer {
	t.Helper()
	select {
	case a := <-x.Answer():
		return a
	case <-time.After(patience):
		require.Fail(t, "no answer")
		return exchange.Answer{}
	}
}

// Nor is it started once it is called off, the message is over, or its time is up.
func TestNoStartAfterTheEnd(t *testing.T) {
	for name, end := range map[string]func(*exchange.Exchange, *exchange.Relay){
		"called off": func(_ *exchange.Exchange, r *exchange.Relay) { r.End() },
		"over":       func(x *exchange.Exchange, _ *exchange.Relay) { x.Finish(exchange.Answer{}) },
		"late":       func(_ *exchange.Exchange, r *exchange.Relay) { r.Due = 5 },
		"never":      func(*exchange.Exchange, *exchange.Relay) {},
	} {
		x := exchange.New(exchange.Message{ID: "1"})
		r := x.Relay(&exchange.Host{}, 1, 10)
		end(x, r)
		require.Equal(t, name == "never", r.Start(5), name)
		require.Equal(t, name == "never", r.End(), name)
	}
}

// A repeat of a keyed class that its window allowed when it was decided does not begin once the window is over, as
// behind a slow dial: its effect would come twice. One after attempts that never ran has no window.
func TestNoRepeatBeginsBeyondTheWindow(t *testing.T) {
	const window = 3e6
	for name, c := range map[string]struct {
		repeat    topazfall.RepeatRule
		first     topazfall.Outcome
		later     int64 // the repeat's dial comes up so long after the first attempt
		permitted bool
	}{
		"in time":       {topazfall.Keyed, topazfall.Severed, window - 8001, true}, // two ticks before its end
		"at the end":    {topazfall.Keyed, topazfall.Severed, window - 8000, false},
		"beyond":        {topazfall.Keyed, topazfall.Severed, window + 1e6, false},
		"never ran":     {topazfall.Keyed, topazfall.Saturated, window + 1e6, true},
		"not written":   {topazfall.Keyed, topazfall.RefusedConn, window + 1e6, true},
		"of every kind": {topazfall.Safe, topazfall.Severed, window + 1e6, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := settings(nil)
			s.Classes[0].Repeat, s.Classes[0].Window, s.Classes[0].Group = c.repeat, window, topazfall.GroupAll
			core, side := startOn(t, s, "h", "i")
			core.Arrive(message(core, "1", time.Minute))
			first := <-side.sent
			require.True(t, first.Start(first.Sent))
			core.Ended(first, c.first, topazfall.NoLoad)
			again := <-side.sent
			require.Equal(t, c.permitted, again.Start(first.Sent+c.later))
		})
	}
}

// Without a word from the host the relay ends when its time is up, is called off, and the client is told.
func TestOverdue(t *testing.T) {
	c, s := start(t, "h")
	x := message(c, "1", 50*time.Millisecond)
	c.Arrive(x)
	r := <-s.sent
	require.Equal(t, exchange.TimedOut, (<-x.Answer()).Verdict)
	require.Equal(t, r, <-s.off)
	require.GreaterOrEqual(t, c.Now(), x.Due)
}

// A relay that its host has not answered for long is called off where there is no time to wait: what must not run
// twice is failed then. One that the host has taken stays, and so does a young one.
func TestEndUnanswered(t *testing.T) {
	c, s := start(t, "h")
	taken, unanswered := message(c, "1", time.Minute), message(c, "2", time.Minute)
	c.Arrive(taken)
	r := <-s.sent
	require.True(t, r.Start(c.Now()))
	r.Accept()
	c.Arrive(unanswered)
	r = <-s.sent
	require.True(t, r.Start(c.Now()))
	c.EndUnanswered(time.Minute.Microseconds())
	c.Sync()
	require.Empty(t, s.off)
	c.EndUnanswered(0)
	require.Equal(t, r, <-s.off)
	require.Equal(t, exchange.Failed, (<-unanswered.Answer()).Verdict)
	c.Sync()
	require.False(t, taken.Over())
	require.Empty(t, s.sent)
}

// A message in hand goes to another core as it stands, with what is told of it later; one whose relay its host has not
// answered stays until then.
func TestHandOver(t *testing.T) {
	c, s := start(t, "h")
	x := message(c, "1", time.Minute)
	x.Path, x.Body = "/p\xff", []byte("b\x00")
	c.Arrive(x)
	r := <-s.sent
	require.True(t, r.Start(c.Now()))
	var begun Begun
	over := func(b Begun) error { begun = b; return nil }
	require.False(t, c.HandOver(x, over))
	r.Accept()
	require.False(t, c.HandOver(x, func(Begun) error { return errors.New("no") }))
	require.Equal(t, int64(2), c.InHand())
	require.True(t, c.HandOver(x, over))
	require.Equal(t, exchange.Moved, (<-x.Answer()).Verdict)
	require.False(t, c.HandOver(x, over), "it is gone")
	require.Zero(t, c.InHand())
	require.False(t, c.Take(Note{ID: "1", From: "h", State: Started}))
	require.Empty(t, s.off, "nothing is called off")

	to, t2 := start(t, "h")
	y := to.Resume(begun, nil)
	require.True(t,
		to.Take(Note{ID: "1", From: "h", State: Over, Outcome: topazfall.Completed, Result: []byte("r"),
			Load: topazfall.NoLoad}))
	require.Equal(t, exchange.Answer{Verdict: exchange.Served, Body: []byte("r")}, <-y.Answer())
	require.Equal(t, x.Path, y.Path)
	require.Equal(t, x.Body, y.Body)
	to.Sync()
	require.Zero(t, to.InHand())
	require.Empty(t, t2.sent, "it is not sent again")
}

// A second message with a known id is not taken, and does the first no harm whichever way either ends: a
// call-back could not tell the two apart, and a host must not be asked to run the job again.
func TestKnownID(t *testing.T) {
	c, s := start(t, "h")
	first := message(c, "1", time.Minute)
	c.Arrive(first)
	<-s.sent
	again := func() {
		x := message(c, "1", time.Minute)
		c.Arrive(x)
		require.Equal(t, exchange.Twice, (<-x.Answer()).Verdict)
		c.Gone(x)
		c.Sync()
	}
	again()
	require.Equal(t, int64(2), c.InHand(), "the first and its relay")
	c.Noted(Note{ID: "1", From: "h", State: Over, Outcome: topazfall.Completed, Load: topazfall.NoLoad})
	require.Equal(t, exchange.Served, (<-first.Answer()).Verdict)
	again()
	for i := range remembered {
		c.Arrive(message(c, strconv.Itoa(2+i), 0))
	}
	c.Sync()
	require.Len(t, c.known, remembered)
	require.False(t, c.known["1"])
	require.Empty(t, s.sent)
}

// A whole list that names a host again never closes it, not even for a moment: a relay may be about to begin.
func TestWholeListKeepsHostsOpen(t *testing.T) {
	c, s := start(t)
	var entries []Entry
	for i := range 20_000 { // a long one: what is done in two steps lies apart
		entries = append(entries, entry("h"+strconv.Itoa(i), topazfall.Ready))
	}
	c.List(topazfall.ListWhole, entries)
	c.Arrive(message(c, "1", time.Minute))
	host := (<-s.sent).Host
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.List(topazfall.ListWhole, entries)
		c.Sync()
	}()
	for listed := false; !listed; {
		select {
		case <-done:
			listed = true
		default:
		}
		r := exchange.New(exchange.Message{ID: "2"}).Relay(host, 1, 10)
		require.True(t, r.Start(5), "a host that is listed was closed")
	}
}

// News of the inventory goes before all that waits to be dealt with: what is decided after a drain was heard does not
// go there, however much came before it.
func TestNewsGoesFirst(t *testing.T) {
	c, s := start(t, "h", "i")
	begun, gate := make(chan struct{}), make(chan struct{})
	c.ops <- func() { close(begun); <-gate }
	<-begun
	for i := range 8 {
		c.Arrive(message(c, strconv.Itoa(i), time.Minute))
	}
	c.List(topazfall.ListPatch, []Entry{entry("h", topazfall.Draining)})
	close(gate)
	for range 8 {
		require.Equal(t, "i", (<-s.sent).Host.ID)
	}
}

// While the list may not be relied on, nothing new begins at any host, listed before or meanwhile; what has begun goes
// on. A drain that the next list tells is heard before anything is sent again.
func TestHold(t *testing.T) {
	c, s := start(t, "h", "i")
	c.Arrive(message(c, "begun", time.Minute))
	begun := <-s.sent
	require.True(t, begun.Start(c.Now()))
	c.Arrive(message(c, "dialling", time.Minute))
	dialling := <-s.sent
	c.Hold(true)
	c.Arrive(message(c, "new", time.Minute))
	c.List(topazfall.ListPatch, []Entry{entry("j", topazfall.Ready)})
	c.Sync()
	require.False(t, dialling.Start(c.Now()), "it begins after the list may not be relied on")
	c.Ended(dialling, topazfall.Superseded, topazfall.NoLoad)
	c.Noted(Note{ID: "begun", From: begun.Host.ID, State: Over, Outcome: topazfall.Completed, Result: []byte("ok"),
		Load: topazfall.NoLoad})
	require.Equal(t, exchange.Served, (<-begun.Exchange.Answer()).Verdict)
	c.List(topazfall.ListWhole,
		[]Entry{entry("h", topazfall.Ready), entry("i", topazfall.Ready), entry("j", topazfall.Ready)})
	time.Sleep(100 * time.Millisecond) // the module's next looks at what waits
	require.Empty(t, s.sent)

	gate := make(chan struct{})
	c.ops <- func() { <-gate }
	c.Arrive(message(c, "newer", time.Minute))
	c.List(topazfall.ListPatch, []Entry{entry("h", topazfall.Draining), entry("i", topazfall.Gone)})
	c.Hold(false)
	close(gate)
	for range 2 {
		r := <-s.sent
		require.Equal(t, "j", r.Host.ID)
		require.True(t, r.Start(c.Now()))
	}
}

// A job for which no attempt was made is refused by the module once its time is lost, and not before.
func TestHoldRefusesWhatCannotWait(t *testing.T) {
	c, s := start(t, "h")
	c.Hold(true)
	x := message(c, "1", 300*time.Millisecond)
	x.Hint = 50_000
	came := time.Now()
	c.Arrive(x)
	require.Equal(t, exchange.Refused, (<-x.Answer()).Verdict)
	require.Greater(t, time.Since(came), 100*time.Millisecond, "a short hold would have cost nothing")
	require.Empty(t, s.sent)
	c.Sync()
	require.Zero(t, c.InHand())
}

// tenants are named by single letters, with the letter as their quota.
func tenants(names string) (ts []topazfall.Tenant) {
	for _, n := range names {
		ts = append(ts, topazfall.Tenant{Name: string(n), Quota: float64(n)})
	}
	return ts
}

// A message that was read by the settings before comes after the new ones hold: it is counted for its own tenant,
// whatever order they have now, also one that has gone or whose process has another order.
func TestTenantsKeepTheirNumbers(t *testing.T) {
	c, s := startWith(t, tenants("abc"), "h")
	first := IndicesOf(&c.settings)
	now := c.Renew(settings(tenants("dca")))
	require.Equal(t, map[string]int{"a": 0, "b": 1, "c": 2}, first.Tenants)
	require.Equal(t, map[string]int{"a": 0, "b": 1, "c": 2, "d": 3}, now.Tenants)
	require.Equal(t, []topazfall.Tenant{{Name: "a", Quota: 'a'}, {Name: "b"}, {Name: "c", Quota: 'c'},
		{Name: "d", Quota: 'd'}}, c.tenants)
	for name, number := range now.Tenants {
		x := message(c, name, time.Minute)
		x.Tenant = number
		c.Arrive(x)
		r := <-s.sent
		require.True(t, r.Start(c.Now()))
		r.Accept()
		var begun Begun
		require.True(t, c.HandOver(x, func(b Begun) error { begun = b; return nil }))
		to, _ := startWith(t, tenants("xcda"), "h")
		y := to.Resume(begun, nil)
		to.Sync()
		require.Equal(t, map[string]int{"a": 3, "b": -1, "c": 1, "d": 2}[name], y.Tenant)
	}
}

// A message that was read when its class could be repeated comes after settings by which it must not run twice.
func TestClassBecomesOneThatMustNotRunTwice(t *testing.T) {
	for _, now := range []topazfall.RepeatRule{topazfall.Safe, topazfall.Unsafe} {
		c, s := start(t, "h")
		x := message(c, "1", time.Minute) // by the settings before
		next := settings(nil)
		next.Classes[0].Repeat = now
		next.Allowed.SecondCopies = true
		c.Renew(next)
		c.Arrive(x)
		<-s.sent
		require.Equal(t, now == topazfall.Unsafe, x.Once)
		require.Equal(t, now == topazfall.Unsafe, x.Own)
	}
}

// away is a client that has left.
type away struct{}

func (away) Left() bool { return true }
