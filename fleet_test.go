package topazfall

// Many dispatchers side by side: what each does alone must be harmless when all do it.

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"topazfall/internal/decide/gossip"
)

// tier is many balancers over one fleet that share nothing, as on as many machines.
type tier struct{ rigs []*rig }

func newTier(t *testing.T, s Settings, dispatchers int, workers []Worker) *tier {
	t.Helper()
	all := &tier{}
	s.Dispatchers = dispatchers
	for me := range dispatchers {
		s.Me, s.Seed = me, uint64(me+1)
		all.rigs = append(all.rigs, newRig(t, s, workers...))
	}
	return all
}

func setWeights(ws []Worker, weight float64) {
	for i := range ws {
		ws[i].Weight = weight
	}
}

func maxCount(sent map[string]int) (n int) {
	for _, k := range sent {
		n = max(n, k)
	}
	return n
}

// The list's weights are the only word of load that a dispatcher has of workers it does not use.
func TestLiveWeightsTellWhoIsBusy(t *testing.T) {
	s := settings()
	s.LiveWeights, s.Dispatchers = true, 1
	for idle := range 6 {
		ws := fleet(6)
		r := newRig(t, s)
		setWeights(ws, 3)
		r.handle(Event{Kind: ListSnapshot, List: ws}) // all idle
		setWeights(ws, 3/(1+5./3))                    // five jobs on three cores
		ws[idle].Weight = 3 / (1 + 1./3)
		r.now += 1e6
		r.handle(Event{Kind: ListSnapshot, List: ws})
		_, acts := r.arrive(unsafe)
		if got := r.requireSend(acts).Worker; got != ws[idle].ID {
			t.Errorf("sent to %s, though only %s has free slots", got, ws[idle].ID)
		}
		if k := r.b.kinds["std"]; k.slots != 3 || k.size != 3 {
			t.Errorf("learned %v slots and size %v", k.slots, k.size)
		}
	}
}

func TestInflightOfLiveWeights(t *testing.T) {
	k := &workerKind{slots: 1}
	for _, c := range []struct{ weight, want float64 }{
		{1.0, -1},  // all that is seen so far: it may be the size
		{1.5, -1},  // the size, as it turns out; no step seen yet
		{1.0, 1},   // one job on two cores
		{0.749, 2}, // a little noise
		{0.501, 4}, //
		{1.502, 0}, //
		{3.0, -1},  // a larger machine: what was learned was of something else
		{2.25, 1},  // of three cores
		{0, 1e9},   // what cannot be is bounded by what report takes
		{math.NaN(), 1e9},
	} {
		got := k.inflightFromWeight(c.weight)
		if c.want == 1e9 {
			if sanitize(got) >= 1e6 || k.cores != 3 {
				t.Errorf("weight %v: %v in hand, %v cores", c.weight, got, k.cores)
			}
		} else if got != c.want {
			t.Errorf("weight %v: %v in hand, want %v", c.weight, got, c.want)
		}
	}
}

// All read the same list at the same moment: who it shows idle must not get what all of them have.
func TestOneListDoesNotMakeOnePile(t *testing.T) {
	const dispatchers, workers = 80, 60
	s, ws := settings(), fleet(workers)
	s.LiveWeights = true
	setWeights(ws, 3)
	a := newTier(t, s, dispatchers, ws)
	if n := len(a.rigs[0].b.buddies); n != 2*minBuddies {
		t.Errorf("%d buddies", n)
	}
	for i := range ws {
		if i%6 != 0 { // ten idle ones
			ws[i].Weight = 3 / (1 + 6./3)
		}
	}
	for _, r := range a.rigs {
		r.now += 1e6
		r.handle(Event{Kind: ListPatch, List: ws})
	}
	sent := map[string]int{}
	for _, r := range a.rigs {
		_, acts := r.arrive(unsafe)
		sent[r.requireSend(acts).Worker]++
	}
	if share := dispatchers * len(a.rigs[0].b.buddies) / workers; maxCount(sent) > share+1 {
		t.Errorf("one worker is sent %d of %d, its share of the buddy sets is %d: %v", maxCount(sent), dispatchers,
			share, sent)
	}
	busy := 0
	for i, w := range ws {
		if i%6 != 0 {
			busy += sent[w.ID]
		}
	}
	if busy > dispatchers/2 { // a window of six may hold none that is idle
		t.Errorf("%d of %d went to busy workers", busy, dispatchers)
	}
	if n := len(sent); n < 10 {
		t.Errorf("only %d workers are used", n)
	}
}

// spread hands what a balancer tells on to those it is for, and returns how many words were delivered.
func (a *tier) deliver(from int, acts []Action) (messages int) {
	for _, act := range acts {
		for to, r := range a.rigs {
			if act.Kind == SendToPeer && to != from && (act.Peer == to || act.Peer == AllPeers) {
				r.handle(Event{Kind: PeerMessage, From: from, Data: act.Data})
				messages++
			}
		}
	}
	return messages
}

// What one sends to a worker that it shares is known to the others before the list can tell of it.
func TestLongJobsAreToldToThoseWhoShareTheWorker(t *testing.T) {
	const dispatchers, workers = 80, 60
	for _, heard := range []bool{true, false} {
		s := settings()
		s.LiveWeights, s.Allowed.PeerMessages = true, true
		ws := fleet(workers)
		setWeights(ws, 1) // of one core each, as the next list shows
		a := newTier(t, s, dispatchers, ws)
		for i := range ws {
			if i%6 != 0 {
				ws[i].Weight = 1. / 2 // busy with one job, and what a core is
				if i%2 == 0 {
					ws[i].Weight = 1. / 4
				}
			}
		}
		sent, words := map[string]int{}, 0
		for _, r := range a.rigs {
			r.now += 1e6
			r.b.jobTime = 150e3 // the job is longer than most
			r.handle(Event{Kind: ListPatch, List: ws})
		}
		for me, r := range a.rigs {
			_, acts := r.arrive(unsafe)
			sent[r.requireSend(acts).Worker]++
			if heard {
				words += a.deliver(me, acts)
			}
		}
		if heard && (maxCount(sent) > 4 || words > dispatchers*len(a.rigs[0].b.buddies)*dispatchers/workers) {
			t.Errorf("most sent to one worker: %d of %d, by %d words", maxCount(sent), dispatchers, words)
		}
		if !heard && maxCount(sent) < 7 {
			t.Errorf("the test shows nothing: %v", sent)
		}
	}
}

// A word about a job is worth its price where it leaves a backlog, of whatever class it is: to all who read the list
// the worker still looks freer.
func TestABacklogIsTold(t *testing.T) {
	for _, c := range []struct {
		inHand float64 // on three cores, by the list
		work   int64   // in job times
		told   bool
	}{{0, 1, false}, {1, 1, false}, {4, 1, true}, {9, 1, true}, {4, 0, false}} {
		s, ws := settings(), fleet(6)
		s.LiveWeights, s.Allowed.PeerMessages, s.Dispatchers = true, true, 30
		setWeights(ws, 3)
		r := newRig(t, s, ws...)
		for _, n := range []float64{1, c.inHand} { // the first shows what a core is
			setWeights(ws, 3/(1+n/3))
			r.now += 1e6
			r.handle(Event{Kind: ListPatch, List: ws})
		}
		r.b.jobTime = 150e3
		r.id++
		acts := r.handle(Event{Kind: Arrival, Request: r.id, Class: safe, Tenant: -1, Due: r.now + 5e6,
			Hint: c.work*150e3 + 1000})
		r.requireSend(acts)
		if n, _ := countActions(acts, SendToPeer); n > 0 != c.told {
			t.Errorf("%v in hand, %d job times: %d words", c.inHand, c.work, n)
		}
	}
}

// A worker that fails what it gets always looks free. Each of many would find that out by jobs of its own.
func TestOneFailingWorkerCostsTheTierFewJobs(t *testing.T) {
	const dispatchers = 80
	s := settings()
	s.Allowed.PeerMessages = true
	a := newTier(t, s, dispatchers, fleet(6))
	lost := 0
	for range 3 {
		for me, r := range a.rigs {
			id, acts := r.arrive(unsafe)
			w := r.requireSend(acts).Worker
			if w != "w0" {
				a.deliver(me, r.done(id, 0, w, Completed))
				continue
			}
			lost++
			a.deliver(me, r.done(id, 0, w, Errored))
		}
	}
	if lost > 3 {
		t.Errorf("%d jobs were lost at one worker", lost)
	}
	r := a.rigs[0] // distrust that nothing confirms ends
	r.now += (faultMemory + 1) * r.b.probeInterval()
	r.handle(Event{Kind: TimerDue, Token: tokenPeriodic})
	if w := r.b.workers["w0"]; w.consecutiveErrors != 0 || w.ejections != 0 {
		t.Errorf("still distrusted for %d errors", w.consecutiveErrors)
	}
}

// What is forgotten of a fault is forgotten in time only: not by the rest that it leads to, nor by who goes on with it.
func TestDistrustIsNotForgottenAtOnce(t *testing.T) {
	r := newRig(t, settings(), fleet(6)...)
	w := r.b.workers["w0"]
	r.handle(Event{Kind: TimerDue, Token: tokenPeriodic})
	r.b.eject(w)
	first := w.ejectedUntil - r.b.now
	r.b.eject(w)
	if second := w.ejectedUntil - r.b.now; second != 2*first {
		t.Errorf("rests for %d, then for %d us", first, second)
	}
	r.b.recordError(w)
	heir := newRig(t, settings(), fleet(6)...)
	heir.handle(Event{Kind: TimerDue, Token: tokenPeriodic})
	heir.b.Restore(heir.now, r.b.Memory())
	if got := heir.b.workers["w0"]; got.ejections != 2 || got.consecutiveErrors != 1 {
		t.Errorf("inherited %d failures and %d errors", got.ejections, got.consecutiveErrors)
	}
}

// Where all dispatchers share every worker, each hears of all by its own jobs: a word would cost more than it saves.
func TestFewDispatchersSayNothing(t *testing.T) {
	for _, dispatchers := range []int{1, redundancy, redundancy + 1} {
		s := settings()
		s.Allowed.PeerMessages, s.Dispatchers = true, dispatchers
		r := newRig(t, s, fleet(6)...)
		id, acts := r.arrive(unsafe)
		acts = append(acts, r.done(id, 0, r.requireSend(acts).Worker, Errored)...)
		if n, _ := countActions(acts, SendToPeer); (n > 0) != (dispatchers > redundancy) {
			t.Errorf("%d dispatchers: %d words", dispatchers, n)
		}
	}
}

// Words that are odd, old, of nobody's worker or from oneself change nothing but a count.
func TestOddWordsChangeNothing(t *testing.T) {
	s := settings()
	s.Allowed.PeerMessages = true
	r := newRig(t, s, fleet(6)...)
	word := func(op gossip.Op, at int64, host string) []byte {
		return gossip.Message{Op: op, At: at, Host: gossip.HostHash(host)}.Append(nil)
	}
	odd := []Event{
		{From: 1}, {From: 1, Data: []byte("x")}, {From: 1, Data: make([]byte, 256)},
		{From: 1, Data: word(gossip.Failed, r.now, "unknown")}, {From: 1, Data: word(9, r.now, "w0")},
		{From: 1, Data: word(gossip.Failed, r.now-gossip.MaxAge-100e3, "w0")},
		{From: 0, Data: word(gossip.Sent, r.now, "w0")},
		{From: -1, Data: word(gossip.Failed, r.now, "w0")},
	}
	for _, e := range odd {
		e.Kind = PeerMessage
		if acts := r.handle(e); len(acts) > 0 {
			t.Errorf("%v leads to %v", e.Data, acts)
		}
	}
	w := r.b.workers["w0"]
	if r.b.DroppedMessages() != len(odd) || w.consecutiveErrors != 0 || w.peerLoad.Since(0) != 0 {
		t.Errorf("%d of %d dropped, %d errors, told %d", r.b.DroppedMessages(), len(odd), w.consecutiveErrors,
			w.peerLoad.Since(0))
	}
	for range 1000 { // a forger makes a worker look busy until the next list, and no more
		r.handle(Event{Kind: PeerMessage, From: 1, Data: word(gossip.Sent, r.now, "w0")})
	}
	_, acts := r.arrive(unsafe)
	if got := r.requireSend(acts).Worker; got == "w0" {
		t.Error("sent to the one that looks busy")
	}
	r.now += 2e6
	r.handle(Event{Kind: ProbeDone, Worker: "w0", Load: Load{Queue: -1, Inflight: 0, Free: -1, Util: -1}})
	if held := w.queued + float64(w.peerLoad.Since(w.reportAsOf)); held > 0 {
		t.Errorf("%v jobs are held after a list that says none", held)
	}
}

// A cold worker is used by all who share it, and never by more than it bears: what they tell each other bounds the sum,
// and where all words are lost it stays within the rule all the same. So it is when a whole zone returns cold at once.
func TestColdWorkerIsSharedByTheTier(t *testing.T) {
	for _, c := range []struct {
		dispatchers, workers, cold int
		rate                       float64 // messages a second at a dispatcher
		least                      float64 // a third of what it can do, as it grows from 0.3 to 1 of three cores
	}{{80, 60, 1, 1.5, 6.5e6}, {300, 165, 55, 1.5, 5.8e6}, {2, 12, 4, 60, 5.8e6}, {4, 15, 5, 30, 5.8e6}} {
		none := coldWork(t, c.dispatchers, c.workers, c.cold, c.rate, "none")
		if lost := coldWork(t, c.dispatchers, c.workers, c.cold, c.rate, "lost"); lost < none {
			t.Errorf("%+v: %v is spent at a cold worker by who hears nothing, %v where nobody talks", c, lost, none)
		}
		if heard := coldWork(t, c.dispatchers, c.workers, c.cold, c.rate, "heard"); heard < c.least {
			t.Errorf("%+v: %v is spent at a cold worker, %v where nobody talks", c, heard, none)
		}
	}
}

// coldWork lets a tier meet so many cold workers among its warm ones, which have jobs waiting. It fails the test where
// one is sent more than the rule has for it, and returns the mean work that one is sent while it is cold, in
// microseconds.
func coldWork(t *testing.T, dispatchers, workers, cold int, rate float64, words string) float64 {
	const seconds, job = 9, 200e3
	s := settings()
	s.Allowed.PeerMessages, s.LiveWeights = words != "none", true
	s.Tenants = []Tenant{{Quota: rate * float64(dispatchers)}}
	s.Contract.ColdFrom, s.Contract.RampTime, s.Contract.FallTime = 0.3, 9e6, 3e6
	ws := fleet(workers)
	setWeights(ws, 3)
	a := newTier(t, s, dispatchers, ws)
	setWeights(ws, 3/(1+1./3)) // what one job takes off tells the cores
	for _, r := range a.rigs {
		r.handle(Event{Kind: ListPatch, List: ws})
	}
	setWeights(ws, 3/(1+9./3)) // warm ones have jobs waiting
	born := a.rigs[0].now
	sent := map[string][]int64{} // to cold ones, when
	for i := range cold {
		w := &ws[(7+3*i)%workers]
		w.Weight, w.StartedAt = 3, born
		sent[w.ID] = nil
	}
	for _, r := range a.rigs {
		r.handle(Event{Kind: ListPatch, List: ws})
		r.b.jobTime = job
	}
	random := rand.New(rand.NewPCG(1, 2))
	for now := born; now < born+seconds*1e6; now += 10e3 {
		for me, r := range a.rigs {
			r.now = now
			if random.Float64() > rate*0.01 {
				continue
			}
			id, acts := r.arrive(unsafe)
			if n, act := countActions(acts, Send); n == 1 {
				if words == "heard" {
					a.deliver(me, acts)
				}
				if _, is := sent[act.Worker]; is {
					sent[act.Worker] = append(sent[act.Worker], now)
				}
				if end := r.done(id, 0, act.Worker, Completed); words == "heard" {
					a.deliver(me, end)
				}
				r.b.jobTime = job
				for _, k := range r.b.kinds {
					k.pace = 1 // though all that is sent ends at once here
				}
			}
		}
	}
	all := 0.0
	for _, at := range sent {
		all += float64(len(at)) * job
		for i, from := range at {
			sum, then := 0.0, from
			for _, t := range at[i:] {
				if t < from+s.Contract.FallTime {
					sum += job
					// in equal parts: held to the rule as it is, by what the worker can do at the end of the window
					if dispatchers <= 4 {
						then = t
					}
				}
			}
			warm := s.Contract.ColdFrom + (1-s.Contract.ColdFrom)*float64(then-born)/float64(s.Contract.RampTime)
			if rule := s.Contract.FallMultiple * warm * 3 * float64(s.Contract.FallTime); sum > rule {
				t.Errorf("%d dispatchers, words %s: work %v within a window from %v s on, the rule has %v", dispatchers,
					words, sum, float64(from-born)/1e6, rule)
			}
		}
	}
	return all / float64(cold)
}

// A client that gives up early is not one that comes again late: its job is worth its aim, and is not refused unsent
// while workers are free because a later try would have lost it by now.
func TestClientOfLittlePatienceKeepsItsAim(t *testing.T) {
	r := newRig(t, settings(), fleet(6)...)
	arrive := func(wait, hint int64) *request {
		r.id++
		r.handle(Event{Kind: Arrival, Request: r.id, Class: unsafe, Due: r.now + wait, Hint: hint})
		return r.b.requests[r.id]
	}
	arrive(10e6, 300e3) // how long clients wait
	r.b.lateLoss = 0.2  // jobs that come late have a price
	span := r.b.settings.Classes[unsafe].Aim + 600e3
	if first := arrive(2e6, 300e3); first == nil || first.aim != r.now+span || first.outstanding != 1 {
		t.Errorf("a message of a client that waits 2 s: %+v", first)
	}
	r.b.lateLoss = 0
	if hurried := arrive(400e3, 300e3); hurried == nil || hurried.aim != hurried.due {
		t.Errorf("the aim lies behind the end of the wait: %+v", hurried)
	}
	if again := arrive(10e6-400e3, 300e3); again == nil || again.aim != r.now+span-400e3 {
		t.Errorf("a try that comes 400 ms after the first has its aim: %+v", again)
	}
}

// During a release half of the workers drain, and the buddy sets reach twice as far. Who hears of a worker, and who
// takes turns at one that is cold, goes by who uses it then; and a fault is no word to all of hundreds.
func TestSharersAreThoseWhoUseAWorkerNow(t *testing.T) {
	const dispatchers, workers, job = 300, 164, 600e3
	for _, draining := range []bool{false, true} {
		s := settings()
		s.Allowed.PeerMessages, s.LiveWeights = true, true
		s.Tenants = []Tenant{{Quota: dispatchers}}
		s.Contract.ColdFrom, s.Contract.FallTime = 0.36, 3e6
		ws := fleet(workers)
		setWeights(ws, 3)
		for i := range ws {
			if draining && i%2 == 1 {
				ws[i].State = Draining
			}
		}
		a := newTier(t, s, dispatchers, ws)
		cold := a.rigs[0].b.workers[ws[8].ID]
		users, uses, turns, rule := 0, map[int]bool{}, 0, 0.0
		for me, r := range a.rigs {
			w := r.b.workers[cold.ID]
			if w.StartedAt = r.now - 1; slices.Contains(r.b.buddies, w) {
				users, uses[me] = users+1, true
			}
			r.b.now, r.b.jobTime = r.now, job
			if share := r.b.coldBudget(w); share > 0 {
				turns++
				rule = share * 2
			}
		}
		chance := -math.Expm1(-float64(s.Contract.FallTime) / 1e6) // that one gets a message in a turn
		// the reach differs a little from one to the next
		if sum := float64(turns) * job * chance; turns == 0 || sum > rule/2*5/4 {
			t.Errorf("draining %v: %d of %d users have a turn, with %v of work, the rule has %v", draining, turns,
				users, sum, rule)
		}
		teller := a.rigs[slices.IndexFunc(a.rigs,
			func(r *rig) bool { return slices.Contains(r.b.buddies, r.b.workers[cold.ID]) })]
		teller.b.actions = nil
		teller.b.reportError(teller.b.workers[cold.ID])
		told := 0
		for _, act := range teller.b.actions {
			if act.Kind == SendToPeer {
				told++
				delete(uses, act.Peer)
			}
		}
		if len(uses) > users/8 || told > users*5/4 {
			t.Errorf("draining %v: of %d users %d are not told of a fault, by %d words", draining, users, len(uses),
				told)
		}
	}
}

// Faults that all tell of at one moment, true or forged, must not leave a dispatcher with nobody to send to.
func TestWordsRestAThirdOfTheListAtMost(t *testing.T) {
	s := settings()
	s.Allowed.PeerMessages = true
	r := newRig(t, s, fleet(30)...)
	for range 3 {
		for _, w := range r.b.ranked {
			r.handle(Event{Kind: PeerMessage, From: 1,
				Data: gossip.Message{Op: gossip.Failed, At: r.now, Host: w.hostHash}.Append(nil)})
		}
	}
	if n := r.b.UnavailableWorkers(r.now); n != 30/gossipEjectionDivisor {
		t.Errorf("%d of 30 workers rest because of words", n)
	}
	_, acts := r.arrive(unsafe)
	r.requireSend(acts)
	w := r.b.ranked[slices.IndexFunc(r.b.ranked, func(w *worker) bool { return r.now >= w.ejectedUntil })]
	r.b.recordError(w) // what is seen here counts all the same
	if r.now >= w.ejectedUntil {
		t.Error("its own evidence no longer rests a worker")
	}
}

// Among workers that are equal a choice pays for no other zone, while there is one at home; and one at home that is
// busy is no reason to wait.
func TestEqualsAreTakenFromTheOwnZone(t *testing.T) {
	const dispatchers, workers = 300, 165
	s := settings()
	s.LiveWeights, s.CrossZone, s.Zones = true, 0.01, []string{"a", "b", "c"}
	ws := fleet(workers)
	setWeights(ws, 3)
	for i := range ws {
		ws[i].Zone = s.Zones[i%3]
	}
	a := newTier(t, s, dispatchers, ws)
	crossed, sent := 0, map[string]int{}
	for me, r := range a.rigs {
		r.b.settings.Zone = s.Zones[me%3]
		r.b.rebuildBuddies()
		_, acts := r.arrive(unsafe)
		w := r.b.workers[r.requireSend(acts).Worker]
		if sent[w.ID]++; w.Zone != r.b.settings.Zone {
			crossed++
		}
		for _, v := range r.b.buddies { // all at home are busy
			if v.Zone == r.b.settings.Zone {
				v.queued, v.evidenceAt = 12, r.now
			}
		}
		_, acts = r.arrive(unsafe)
		if w := r.b.workers[r.requireSend(acts).Worker]; w.Zone == r.b.settings.Zone {
			t.Fatalf("%d waits at %s, while others are free", me, w.ID)
		}
	}
	if crossed > 0 || maxCount(sent) > 6 {
		t.Errorf("%d of %d sends cross zones, one worker has %d", crossed, dispatchers, maxCount(sent))
	}
}

// All start anew in one moment, with no connection kept and one list read: the first second's connections are spread
// over the workers, none more than a message, and the words about them are few.
func TestJointRestartIsNoStormOfConnections(t *testing.T) {
	for _, c := range []struct{ dispatchers, workers int }{{80, 60}, {300, 165}} {
		s := settings()
		s.LiveWeights, s.Allowed.PeerMessages = true, true
		ws := fleet(c.workers)
		setWeights(ws, 3)
		a := newTier(t, s, c.dispatchers, ws)
		const each = 4 // messages in the second, more than most get
		dials, all, words := map[string]int{}, 0, 0
		for _, r := range a.rigs {
			r.b.jobTime = 100e3 // each job is longer than most, and told
			known := map[string]bool{}
			for range each {
				r.now += 250e3
				_, acts := r.arrive(unsafe)
				if w := r.requireSend(acts).Worker; !known[w] {
					known[w] = true
					dials[w]++
					all++
				}
				n, _ := countActions(acts, SendToPeer)
				words += n
			}
		}
		messages := each * c.dispatchers
		if all > messages || maxCount(dials) > 3*messages/c.workers {
			t.Errorf("%+v: %d connections for %d messages, %d to one worker", c, all, messages, maxCount(dials))
		}
		if users := c.dispatchers * 2 * minBuddies / c.workers; words == 0 || words > messages*(users+1) {
			t.Errorf("%+v: %d words for %d messages", c, words, messages)
		}
		t.Logf("%+v: %d connections, %d at most to one worker, %d words", c, all, maxCount(dials), words)
	}
}
