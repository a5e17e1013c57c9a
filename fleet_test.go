package topazfall

// Tests of many dispatchers side by side: what each does alone must be harmless when all do it.

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"topazfall/internal/decide/gossip"
)

// tier is a set of balancers over one fleet that share nothing, as if on separate machines.
type tier struct{ rigs []*rig }

// newTier returns a tier whose balancers know a list of workers.
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

// setWeights sets the weights of all workers.
func setWeights(ws []Worker, weight float64) {
	for i := range ws {
		ws[i].Weight = weight
	}
}

// maxCount returns the maximum number of jobs that one worker was sent.
func maxCount(sent map[string]int) (n int) {
	for _, k := range sent {
		n = max(n, k)
	}
	return n
}

// The live weights in the list are the only load reports of workers that a dispatcher does not use.
func TestLiveWeightsShowLoad(t *testing.T) {
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
			t.Errorf("sent to %s although only %s has free slots", got, ws[idle].ID)
		}
		if k := r.b.kinds["std"]; k.slots != 3 || k.size != 3 {
			t.Errorf("learned %v slots and size %v", k.slots, k.size)
		}
	}
}

func TestInflightFromWeight(t *testing.T) {
	k := &workerKind{slots: 1}
	for _, c := range []struct{ weight, want float64 }{
		{1.0, -1},  // the only weight so far: it may be the size
		{1.5, -1},  // a larger one, so this is the size; no step has been seen
		{1.0, 1},   // one job on two cores
		{0.749, 2}, // a little noise
		{0.501, 4}, //
		{1.502, 0}, //
		{3.0, -1},  // a larger machine: what was learned belongs to another size
		{2.25, 1},  // of three cores
		{0, 1e9},   // impossible values are left to sanitize
		{math.NaN(), 1e9},
	} {
		got := k.inflightFromWeight(c.weight)
		if c.want == 1e9 {
			if sanitize(got) >= 1e6 || k.cores != 3 {
				t.Errorf("weight %v: %v jobs, %v cores", c.weight, got, k.cores)
			}
		} else if got != c.want {
			t.Errorf("weight %v: %v jobs, want %v", c.weight, got, c.want)
		}
	}
}

// All dispatchers read the same list at the same moment. Workers that it shows as idle must not get all of their jobs.
func TestSameListDoesNotOverloadOneWorker(t *testing.T) {
	const dispatchers, workers = 80, 60
	s, ws := settings(), fleet(workers)
	s.LiveWeights = true
	setWeights(ws, 3)
	a := newTier(t, s, dispatchers, ws)
	if n := len(a.rigs[0].b.buddies); n != 2*minBuddies {
		t.Errorf("%d buddies", n)
	}
	for i := range ws {
		if i%6 != 0 { // ten stay idle
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
	if busy > dispatchers/2 { // a buddy set may contain no idle worker
		t.Errorf("%d of %d went to busy workers", busy, dispatchers)
	}
	if n := len(sent); n < 10 {
		t.Errorf("only %d workers are used", n)
	}
}

// deliver passes the gossip messages among the actions to their receivers and returns the number of messages.
func (a *tier) deliver(from int, acts []Action) (delivered int) {
	for _, act := range acts {
		for to, r := range a.rigs {
			if act.Kind == SendToPeer && to != from && (act.Peer == to || act.Peer == AllPeers) {
				r.handle(Event{Kind: PeerMessage, From: from, Data: act.Data})
				delivered++
			}
		}
	}
	return delivered
}

// A long job at a shared worker is known to the other dispatchers before the list can show it.
func TestLongJobsAreAnnouncedToSharers(t *testing.T) {
	const dispatchers, workers = 80, 60
	for _, delivers := range []bool{true, false} {
		s := settings()
		s.LiveWeights, s.Allowed.PeerMessages = true, true
		ws := fleet(workers)
		setWeights(ws, 1) // one core each, as the next list shows
		a := newTier(t, s, dispatchers, ws)
		for i := range ws {
			if i%6 != 0 {
				ws[i].Weight = 1. / 2 // one job, which shows the number of cores
				if i%2 == 0 {
					ws[i].Weight = 1. / 4
				}
			}
		}
		sent, messages := map[string]int{}, 0
		for _, r := range a.rigs {
			r.now += 1e6
			r.b.jobTime = 150e3 // the job is longer than most
			r.handle(Event{Kind: ListPatch, List: ws})
		}
		for me, r := range a.rigs {
			_, acts := r.arrive(unsafe)
			sent[r.requireSend(acts).Worker]++
			if delivers {
				messages += a.deliver(me, acts)
			}
		}
		if delivers && (maxCount(sent) > 4 || messages > dispatchers*len(a.rigs[0].b.buddies)*dispatchers/workers) {
			t.Errorf("%d of %d jobs sent to one worker, with %d gossip messages", maxCount(sent), dispatchers, messages)
		}
		if !delivers && maxCount(sent) < 7 {
			t.Errorf("the test has no effect without gossip: %v", sent)
		}
	}
}

// A job of any class that leaves a backlog is announced: by the list the worker would still look less loaded.
func TestBacklogIsAnnounced(t *testing.T) {
	for _, c := range []struct {
		listedJobs float64 // at a worker of three cores, by the list
		work       int64   // in job times
		announced  bool
	}{{0, 1, false}, {1, 1, false}, {4, 1, true}, {9, 1, true}, {4, 0, false}} {
		s, ws := settings(), fleet(6)
		s.LiveWeights, s.Allowed.PeerMessages, s.Dispatchers = true, true, 30
		setWeights(ws, 3)
		r := newRig(t, s, ws...)
		for _, n := range []float64{1, c.listedJobs} { // the first shows the number of cores
			setWeights(ws, 3/(1+n/3))
			r.now += 1e6
			r.handle(Event{Kind: ListPatch, List: ws})
		}
		r.b.jobTime = 150e3
		r.id++
		acts := r.handle(Event{Kind: Arrival, Request: r.id, Class: safe, Tenant: -1, Due: r.now + 5e6,
			Hint: c.work*150e3 + 1000})
		r.requireSend(acts)
		if n, _ := countActions(acts, SendToPeer); n > 0 != c.announced {
			t.Errorf("%v jobs at the worker, work of %d job times: %d gossip messages", c.listedJobs, c.work, n)
		}
	}
}

// A worker that fails every job always looks free. Without gossip each dispatcher would find that out by its own jobs.
func TestFailingWorkerCostsTierFewJobs(t *testing.T) {
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
				a.deliver(me, r.finishAttempt(id, 0, w, Completed))
				continue
			}
			lost++
			a.deliver(me, r.finishAttempt(id, 0, w, Errored))
		}
	}
	if lost > 3 {
		t.Errorf("%d jobs failed at one worker", lost)
	}
	r := a.rigs[0] // errors that are not repeated expire
	r.now += (faultMemory + 1) * r.b.probeInterval()
	r.handle(Event{Kind: TimerDue, Token: tokenPeriodic})
	if w := r.b.workers["w0"]; w.consecutiveErrors != 0 || w.ejections != 0 {
		t.Errorf("the worker still has %d errors", w.consecutiveErrors)
	}
}

// Faults expire by time only: neither by the ejection that they lead to nor by a handover.
func TestFaultsExpireByTimeOnly(t *testing.T) {
	r := newRig(t, settings(), fleet(6)...)
	w := r.b.workers["w0"]
	r.handle(Event{Kind: TimerDue, Token: tokenPeriodic})
	r.b.eject(w)
	first := w.ejectedUntil - r.b.now
	r.b.eject(w)
	if second := w.ejectedUntil - r.b.now; second != 2*first {
		t.Errorf("ejected for %d us, then for %d us", first, second)
	}
	r.b.recordError(w)
	successor := newRig(t, settings(), fleet(6)...)
	successor.handle(Event{Kind: TimerDue, Token: tokenPeriodic})
	successor.b.Restore(successor.now, r.b.Memory())
	if got := successor.b.workers["w0"]; got.ejections != 2 || got.consecutiveErrors != 1 {
		t.Errorf("restored %d ejections and %d errors", got.ejections, got.consecutiveErrors)
	}
}

// If all dispatchers share every worker, each learns of the others from its own jobs, and gossip costs more than it
// saves.
func TestFewDispatchersDoNotGossip(t *testing.T) {
	for _, dispatchers := range []int{1, redundancy, redundancy + 1} {
		s := settings()
		s.Allowed.PeerMessages, s.Dispatchers = true, dispatchers
		r := newRig(t, s, fleet(6)...)
		id, acts := r.arrive(unsafe)
		acts = append(acts, r.finishAttempt(id, 0, r.requireSend(acts).Worker, Errored)...)
		if n, _ := countActions(acts, SendToPeer); (n > 0) != (dispatchers > redundancy) {
			t.Errorf("%d dispatchers: %d gossip messages", dispatchers, n)
		}
	}
}

// Gossip messages that are invalid, old, about an unknown worker or from the dispatcher itself are only counted.
func TestInvalidGossipIsDropped(t *testing.T) {
	s := settings()
	s.Allowed.PeerMessages = true
	r := newRig(t, s, fleet(6)...)
	encode := func(op gossip.Op, at int64, host string) []byte {
		return gossip.Message{Op: op, At: at, Host: gossip.HostHash(host)}.Append(nil)
	}
	invalid := []Event{
		{From: 1}, {From: 1, Data: []byte("x")}, {From: 1, Data: make([]byte, 256)},
		{From: 1, Data: encode(gossip.Failed, r.now, "unknown")}, {From: 1, Data: encode(9, r.now, "w0")},
		{From: 1, Data: encode(gossip.Failed, r.now-gossip.MaxAge-100e3, "w0")},
		{From: 0, Data: encode(gossip.Sent, r.now, "w0")},
		{From: -1, Data: encode(gossip.Failed, r.now, "w0")},
	}
	for _, e := range invalid {
		e.Kind = PeerMessage
		if acts := r.handle(e); len(acts) > 0 {
			t.Errorf("message %v leads to %v", e.Data, acts)
		}
	}
	w := r.b.workers["w0"]
	if r.b.DroppedMessages() != len(invalid) || w.consecutiveErrors != 0 || w.peerLoad.Since(0) != 0 {
		t.Errorf("%d of %d dropped, %d errors, peer load %d", r.b.DroppedMessages(), len(invalid), w.consecutiveErrors,
			w.peerLoad.Since(0))
	}
	for range 1000 { // forged messages make a worker look busy until the next list, and no longer
		r.handle(Event{Kind: PeerMessage, From: 1, Data: encode(gossip.Sent, r.now, "w0")})
	}
	_, acts := r.arrive(unsafe)
	if got := r.requireSend(acts).Worker; got == "w0" {
		t.Error("sent to the worker that looks busy")
	}
	r.now += 2e6
	r.handle(Event{Kind: ProbeDone, Worker: "w0", Load: Load{Queue: -1, Inflight: 0, Free: -1, Util: -1}})
	if held := w.queued + float64(w.peerLoad.Since(w.reportAsOf)); held > 0 {
		t.Errorf("%v jobs waiting after a report of none", held)
	}
}

// All dispatchers of a tier, a set of dispatchers over one fleet, that share a cold worker use it, and the sum of what
// they send stays within its limit, whether their gossip messages about sends arrive, are all lost, or are not sent at
// all. With gossip the worker gets at least a third of its capacity. The same holds when a whole zone restarts cold at
// once.
func TestColdWorkerIsSharedByTheTier(t *testing.T) {
	for _, c := range []struct {
		dispatchers, workers, cold int
		rate                       float64 // requests a second at a dispatcher
		least                      float64 // a third of its capacity, which grows from 0.3 to 1 of three cores
	}{{80, 60, 1, 1.5, 6.5e6}, {300, 165, 55, 1.5, 5.8e6}, {2, 12, 4, 60, 5.8e6}, {4, 15, 5, 30, 5.8e6}} {
		withoutGossip := coldTierWork(t, c.dispatchers, c.workers, c.cold, c.rate, "none")
		if allLost := coldTierWork(t, c.dispatchers, c.workers, c.cold, c.rate, "lost"); allLost < withoutGossip {
			t.Errorf("%+v: a cold worker got work %v with all gossip lost, %v without gossip", c, allLost,
				withoutGossip)
		}
		if delivered := coldTierWork(t, c.dispatchers, c.workers, c.cold, c.rate, "delivered"); delivered < c.least {
			t.Errorf("%+v: a cold worker got work %v with gossip, %v without", c, delivered, withoutGossip)
		}
	}
}

// coldTierWork runs a tier with some cold workers among warm ones that have jobs waiting. It fails the test if a cold
// worker is sent more than the rule permits, and returns the mean work, in microseconds, that one is sent while it is
// cold. The gossipMode is "none", "lost" or "delivered".
func coldTierWork(t *testing.T, dispatchers, workers, cold int, rate float64, gossipMode string) float64 {
	const seconds, job = 9, 200e3
	s := settings()
	s.Allowed.PeerMessages, s.LiveWeights = gossipMode != "none", true
	s.Tenants = []Tenant{{Quota: rate * float64(dispatchers)}}
	s.Contract.ColdFrom, s.Contract.RampTime, s.Contract.FallTime = 0.3, 9e6, 3e6
	ws := fleet(workers)
	setWeights(ws, 3)
	a := newTier(t, s, dispatchers, ws)
	setWeights(ws, 3/(1+1./3)) // one job shows the number of cores
	for _, r := range a.rigs {
		r.handle(Event{Kind: ListPatch, List: ws})
	}
	setWeights(ws, 3/(1+9./3)) // the warm workers have jobs waiting
	start := a.rigs[0].now
	sent := map[string][]int64{} // times of the sends to each cold worker
	for i := range cold {
		w := &ws[(7+3*i)%workers]
		w.Weight, w.StartedAt = 3, start
		sent[w.ID] = nil
	}
	for _, r := range a.rigs {
		r.handle(Event{Kind: ListPatch, List: ws})
		r.b.jobTime = job
	}
	random := rand.New(rand.NewPCG(1, 2))
	for now := start; now < start+seconds*1e6; now += 10e3 {
		for me, r := range a.rigs {
			r.now = now
			if random.Float64() > rate*0.01 {
				continue
			}
			id, acts := r.arrive(unsafe)
			if n, act := countActions(acts, Send); n == 1 {
				if gossipMode == "delivered" {
					a.deliver(me, acts)
				}
				if _, is := sent[act.Worker]; is {
					sent[act.Worker] = append(sent[act.Worker], now)
				}
				if end := r.finishAttempt(id, 0, act.Worker, Completed); gossipMode == "delivered" {
					a.deliver(me, end)
				}
				r.b.jobTime = job
				for _, k := range r.b.kinds {
					k.pace = 1 // as jobs end at once here
				}
			}
		}
	}
	total := 0.0
	for _, at := range sent {
		total += float64(len(at)) * job
		for i, from := range at {
			sum, limitAt := 0.0, from
			for _, t := range at[i:] {
				if t < from+s.Contract.FallTime {
					sum += job
					// With equal shares the limit is that of the capacity at the end of the window.
					if dispatchers <= 4 {
						limitAt = t
					}
				}
			}
			capacity := s.Contract.ColdFrom +
				(1-s.Contract.ColdFrom)*float64(limitAt-start)/float64(s.Contract.RampTime)
			if limit := s.Contract.FallMultiple * capacity * 3 * float64(s.Contract.FallTime); sum > limit {
				t.Errorf("%d dispatchers, gossip %s: work %v within a window from %v s on, limit %v", dispatchers,
					gossipMode, sum, float64(from-start)/1e6, limit)
			}
		}
	}
	return total / float64(cold)
}

// A client with a short timeout is not a client that retries late: its aim counts from its arrival. The request must
// not be refused while workers are free as if it were a retry whose aim has passed.
func TestShortClientTimeoutKeepsAim(t *testing.T) {
	r := newRig(t, settings(), fleet(6)...)
	arrive := func(wait, hint int64) *request {
		r.id++
		r.handle(Event{Kind: Arrival, Request: r.id, Class: unsafe, Due: r.now + wait, Hint: hint})
		return r.b.requests[r.id]
	}
	arrive(10e6, 300e3) // the timeout of other clients
	r.b.lateLoss = 0.2  // late jobs have a price
	span := r.b.settings.Classes[unsafe].Aim + 600e3
	if first := arrive(2e6, 300e3); first == nil || first.aim != r.now+span || first.outstanding != 1 {
		t.Errorf("a request of a client with a timeout of 2 s: %+v", first)
	}
	r.b.lateLoss = 0
	if short := arrive(400e3, 300e3); short == nil || short.aim != short.due {
		t.Errorf("the aim is after the deadline: %+v", short)
	}
	if retry := arrive(10e6-400e3, 300e3); retry == nil || retry.aim != r.now+span-400e3 {
		t.Errorf("a retry 400 ms after the first try must have the aim of the first: %+v", retry)
	}
}

// During a release half of the workers drain, and buddy sets span twice as many workers. The dispatchers that are
// notified of a worker's fault, and those that take turns at a cold worker, are those that use the worker at that
// time. A fault is not announced to all of hundreds of dispatchers.
func TestSharersFollowCurrentUse(t *testing.T) {
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
		users, missed, turns, limit := 0, map[int]bool{}, 0, 0.0
		for me, r := range a.rigs {
			w := r.b.workers[cold.ID]
			if w.StartedAt = r.now - 1; slices.Contains(r.b.buddies, w) {
				users, missed[me] = users+1, true
			}
			r.b.now, r.b.jobTime = r.now, job
			if share := r.b.coldBudget(w); share > 0 {
				turns++
				limit = share * 2
			}
		}
		chance := -math.Expm1(-float64(s.Contract.FallTime) / 1e6) // that a dispatcher gets a request in a turn
		// the span of the buddy sets differs slightly between dispatchers
		if sum := float64(turns) * job * chance; turns == 0 || sum > limit/2*5/4 {
			t.Errorf("draining %v: %d of %d users have a turn, with %v of work, limit %v", draining, turns,
				users, sum, limit)
		}
		sender := a.rigs[slices.IndexFunc(a.rigs,
			func(r *rig) bool { return slices.Contains(r.b.buddies, r.b.workers[cold.ID]) })]
		sender.b.actions = nil
		sender.b.reportError(sender.b.workers[cold.ID])
		notified := 0
		for _, act := range sender.b.actions {
			if act.Kind == SendToPeer {
				notified++
				delete(missed, act.Peer)
			}
		}
		if len(missed) > users/8 || notified > users*5/4 {
			t.Errorf("draining %v: of %d users %d are not notified of a fault, by %d messages", draining, users,
				len(missed), notified)
		}
	}
}

// Errors of all workers that are announced at once, true or forged, must not leave a dispatcher without any worker.
func TestGossipEjectsAtMostAThird(t *testing.T) {
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
		t.Errorf("%d of 30 workers are ejected because of gossip", n)
	}
	_, acts := r.arrive(unsafe)
	r.requireSend(acts)
	w := r.b.ranked[slices.IndexFunc(r.b.ranked, func(w *worker) bool { return r.now >= w.ejectedUntil })]
	r.b.recordError(w) // an own observation still ejects it
	if r.now >= w.ejectedUntil {
		t.Error("a worker is not ejected for an error seen here")
	}
}

// Among equal workers one in the own zone is chosen. If those are busy, the job goes to a free worker in another zone
// instead of waiting.
func TestEqualWorkersChosenInOwnZone(t *testing.T) {
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
		for _, v := range r.b.buddies { // all in the own zone are busy
			if v.Zone == r.b.settings.Zone {
				v.queued, v.evidenceAt = 12, r.now
			}
		}
		_, acts = r.arrive(unsafe)
		if w := r.b.workers[r.requireSend(acts).Worker]; w.Zone == r.b.settings.Zone {
			t.Fatalf("the job of dispatcher %d waits at %s while other workers are free", me, w.ID)
		}
	}
	if crossed > 0 || maxCount(sent) > 6 {
		t.Errorf("%d of %d sends went to another zone, one worker got %d", crossed, dispatchers, maxCount(sent))
	}
}

// All dispatchers restart at the same moment, with no connection and the same list. The connections of the first second
// must be spread over the workers, at most one for each request, with few gossip messages.
func TestJointRestartDoesNotFloodConnections(t *testing.T) {
	for _, c := range []struct{ dispatchers, workers int }{{80, 60}, {300, 165}} {
		s := settings()
		s.LiveWeights, s.Allowed.PeerMessages = true, true
		ws := fleet(c.workers)
		setWeights(ws, 3)
		a := newTier(t, s, c.dispatchers, ws)
		const requestsEach = 4 // requests in the first second, more than most dispatchers get
		dials, connections, gossiped := map[string]int{}, 0, 0
		for _, r := range a.rigs {
			r.b.jobTime = 100e3 // each job is longer than most, and announced
			known := map[string]bool{}
			for range requestsEach {
				r.now += 250e3
				_, acts := r.arrive(unsafe)
				if w := r.requireSend(acts).Worker; !known[w] {
					known[w] = true
					dials[w]++
					connections++
				}
				n, _ := countActions(acts, SendToPeer)
				gossiped += n
			}
		}
		requests := requestsEach * c.dispatchers
		if connections > requests || maxCount(dials) > 3*requests/c.workers {
			t.Errorf("%+v: %d connections for %d requests, %d to one worker", c, connections, requests, maxCount(dials))
		}
		if users := c.dispatchers * 2 * minBuddies / c.workers; gossiped == 0 || gossiped > requests*(users+1) {
			t.Errorf("%+v: %d gossip messages for %d requests", c, gossiped, requests)
		}
		t.Logf("%+v: %d connections, at most %d to one worker, %d gossip messages", c, connections, maxCount(dials),
			gossiped)
	}
}
