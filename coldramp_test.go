package topazfall

import (
	"flag"
	"fmt"
	"testing"
)

// coldSizes are the sizes of fleets with which every scenario is run.
var coldSizes = []struct{ dispatchers, workers, cold int }{{5, 12, 3}, {30, 15, 4}, {300, 100, 10}}

// baseScenario is a fleet of which some workers return cold during a burst of half as much load again, which is more
// than it can serve.
var baseScenario = coldScenario{cores: 3, speed: 1, load: 0.85, burst: 1.5, unevenLoad: true, peers: true,
	liveWeights: true, coldFrom: 0.36, rampTime: 6e6, fallTime: 3e6, fallMultiple: 2.5, seed: 1}

// coldCases are the scenarios, as differences from baseScenario.
var coldCases = []struct {
	name   string
	change func(*coldScenario)
	large  bool // run with 300 dispatchers too, which takes seconds
}{
	{"gossip delivered", func(*coldScenario) {}, true},
	{"three in ten gossip messages lost", func(c *coldScenario) { c.lostMessages = 0.3 }, true},
	{"all gossip lost", func(c *coldScenario) { c.lostMessages = 1 }, true},
	{"no peer messages", func(c *coldScenario) { c.peers = false }, true},
	{"no peer messages, no live weights", func(c *coldScenario) { c.peers, c.liveWeights = false, false }, false},
	{"one cold, no quotas", func(c *coldScenario) { c.cold, c.noQuota = 1, true }, false},
	{"all cold", func(c *coldScenario) { c.cold = c.workers }, false},
	{"all cold, all gossip lost", func(c *coldScenario) { c.cold, c.lostMessages = c.workers, 1 }, false},
	{"half are new", func(c *coldScenario) { c.cold, c.joinsAsNew = c.workers/2, true }, false},
	{"cold again in the ramp", func(c *coldScenario) { c.restartsTwice = true }, false},
	{"notified 2 s late", func(c *coldScenario) { c.lateNotice = 2e6 }, false},
	{"notified 2 s late, all cold, all gossip lost", func(c *coldScenario) {
		c.lateNotice, c.cold, c.lostMessages = 2e6, c.workers, 1
	}, false},
	{"seven in ten dispatchers killed", func(c *coldScenario) { c.killedShare, c.cold = 0.7, c.workers/2 }, false},
	{"no hints", func(c *coldScenario) { c.noHints = true }, false},
	{"no hints, fast cores, all cold", func(c *coldScenario) { c.noHints, c.speed, c.cold = true, 1.7, c.workers },
		false},
	{"hints of half the work, slow cores, all cold", func(c *coldScenario) {
		c.hintBias, c.cold, c.workers, c.liveWeights = 0.5, 24, 24, false
		c.fallMultiple, c.fallTime, c.coldFrom, c.cores, c.speed, c.work = 2.5, 1e6, 0.3, 5, 0.7, 60e3
	}, false},
	{"weights in another unit, fast cores, all cold", func(c *coldScenario) {
		c.weightUnit, c.cold, c.workers, c.liveWeights = 0.25, 24, 24, false
		c.fallMultiple, c.fallTime, c.coldFrom, c.rampTime, c.cores, c.speed = 3, 1e6, 0.1, 5e6, 5, 1.7
	}, false},
	{"half cold, lists in pieces and late, no quotas, all gossip lost", func(c *coldScenario) {
		c.lostMessages, c.lateNotice, c.noQuota, c.liveWeights, c.cold = 1, 2e6, true, false, c.workers/2
		c.fallMultiple, c.fallTime, c.coldFrom, c.rampTime, c.cores, c.speed, c.work = 2, 2e6, 0.1, 9e6, 4, 0.7, 60e3
	}, false},
	{"long jobs", func(c *coldScenario) { c.work = 900e3 }, false},
	{"short jobs", func(c *coldScenario) { c.work = 100e3 }, false},
	{"3 times in 2 s, no hints, no peers", func(c *coldScenario) {
		c.fallMultiple, c.fallTime, c.coldFrom, c.rampTime, c.cores, c.peers, c.noHints =
			3, 2e6, 0.45, 5e6, 4, false, true
	}, false},
	{"twice in 2.5 s, no peers", func(c *coldScenario) {
		c.fallMultiple, c.fallTime, c.coldFrom, c.rampTime, c.cores, c.peers = 2, 2500e3, 0.3, 9e6, 4, false
	}, false},
	{"3 times in 1.5 s, no peers", func(c *coldScenario) {
		c.fallMultiple, c.fallTime, c.coldFrom, c.rampTime, c.cores, c.peers = 3, 1500e3, 0.3, 9e6, 4, false
	}, false},
	{"cold for 20 s from 0.15 on", func(c *coldScenario) { c.coldFrom, c.rampTime, c.cores = 0.15, 20e6, 5 }, false},
}

// Cold workers can be overloaded by the sum of what all dispatchers send. In no window of the fall time, wherever it
// begins, may one be sent more than N + 2 sqrt(N) + 2 requests of mean work. Dispatchers that are notified late cannot
// hold back their work, so where there are any, no overload may be due to the notified ones. The capacity must also be
// used: if the fleet is offered more than it can serve, cold workers get at least half of what they can do. Half of
// what can be served is also the minimum service of a simulated day.
func TestRampHoldsForTheFleet(t *testing.T) {
	for _, k := range coldCases {
		for _, size := range coldSizes {
			if size.dispatchers > 100 && !k.large {
				continue
			}
			c := baseScenario
			c.dispatchers, c.workers, c.cold = size.dispatchers, size.workers, size.cold
			k.change(&c)
			t.Run(fmt.Sprintf("%s, %d", k.name, size.dispatchers), func(t *testing.T) {
				t.Parallel()
				f := runColdScenario(t, c)
				t.Logf("%s, %d: %v", k.name, c.dispatchers, f)
				if f.avoidable > 0 || c.lateNotice == 0 && f.overloads > 0 {
					t.Errorf("%d cold workers overloaded, %d by notified dispatchers: %v", f.overloads, f.avoidable, f)
				}
				if f.utilization() < 0.5 {
					t.Errorf("cold workers got %.2f of their capacity: %v", f.utilization(), f)
				}
			})
		}
	}
}

// A scenario has the same result in every run.
func TestColdScenarioIsDeterministic(t *testing.T) {
	c := baseScenario
	c.dispatchers, c.workers, c.cold, c.lostMessages = 5, 12, 3, 0.3
	if one, two := runColdScenario(t, c), runColdScenario(t, c); one != two {
		t.Errorf("%v, then %v", one, two)
	}
}

// A worker that has just started has no jobs, and must look free where no list gives its load: the load of the other
// workers tells nothing about its own.
func TestRestartedWorkerLooksFree(t *testing.T) {
	s := settings()
	s.Dispatchers = 1
	for _, id := range []string{"w0", "new"} {
		r := newRig(t, s, fleet(6)...)
		r.handle(Event{Kind: TimerDue, Token: tokenPeriodic})
		for _, w := range r.b.ranked {
			for range 20 {
				r.handle(Event{Kind: ProbeDone, Worker: w.ID, Load: Load{Queue: 12, Inflight: 13, Free: 0, Util: 1}})
			}
		}
		fresh := Worker{ID: id, Zone: "a", Kind: "std", StartedAt: r.now}
		r.handle(Event{Kind: ListPatch, List: []Worker{fresh}})
		if w := r.b.workers[id]; r.b.currentRegion(w) != 0 || r.b.currentRegion(r.b.workers["w1"]) == 0 {
			t.Errorf("%s: backlog %v, another has %v", id, r.b.backlog(w), r.b.backlog(r.b.workers["w1"]))
		}
	}
}

// allColdAndListsLate is a scenario in which the whole fleet restarts cold, from a tenth of its capacity. A quarter of
// the dispatchers are notified late, the list reaches all of them in pieces, and no gossip arrives.
func allColdAndListsLate(dispatchers, workers int, seed uint64) coldScenario {
	c := baseScenario
	c.dispatchers, c.workers, c.cold, c.seed = dispatchers, workers, workers, seed
	c.lostMessages, c.lateNotice, c.noQuota, c.liveWeights = 1, 2e6, true, false
	c.fallMultiple, c.fallTime, c.coldFrom, c.rampTime, c.cores, c.speed, c.work = 2, 2e6, 0.1, 9e6, 4, 0.7, 60e3
	return c
}

// The whole fleet restarts cold from a tenth of its capacity, a quarter of the dispatchers are notified late, the list
// reaches all of them in pieces, and no gossip arrives. No worker may be overloaded by notified dispatchers. When only
// dispatchers that had the worker as a buddy took turns, one worker was: within 0.34 s of its start w2 got 37.5
// requests of mean work with a budget of 37.1, 28.3 of them from eight notified dispatchers. Each of these saw a
// different part of the list, 4 to 12 of the 15 workers, had the worker among its buddies at that moment, and found
// that 2 to 6 dispatchers including itself might use it in this turn. While the list grew from piece to piece, every
// dispatcher was one of them for a while.
func TestRampHoldsWithAllColdAndListsLate(t *testing.T) {
	c := baseScenario
	c.dispatchers, c.workers, c.cold = 30, 15, 15
	c.lostMessages, c.lateNotice, c.noQuota, c.liveWeights = 1, 2e6, true, false
	c.fallMultiple, c.fallTime, c.coldFrom, c.rampTime, c.cores, c.speed, c.work = 2, 2e6, 0.1, 9e6, 4, 0.7, 60e3
	if f := runColdScenario(t, c); f.avoidable > 0 {
		t.Errorf("%d cold workers overloaded, %d by notified dispatchers: %v", f.overloads, f.avoidable, f)
	}
}

// largeFleets adds the fleets that take minutes: go test -run AtEverySize -large-fleets .
var largeFleets = flag.Bool("large-fleets", false, "run fleets of up to 300 dispatchers that take minutes")

// The same as TestRampHoldsWithAllColdAndListsLate at every size and with more seeds; in addition the capacity must be
// used. The overload grew with the fleet: of 150 workers of 300 dispatchers, 13 to 23 were overloaded by notified
// dispatchers.
func TestRampHoldsAtEverySizeWithAllColdAndListsLate(t *testing.T) {
	for _, fleet := range []struct {
		dispatchers, workers int
		first, last          uint64 // seeds
		large                bool
	}{
		{30, 15, 1, 4, false}, {60, 30, 2, 3, false},
		{30, 15, 5, 30, true}, {60, 30, 4, 30, true}, {120, 60, 1, 8, true},
		{300, 100, 1, 4, true}, {300, 150, 1, 4, true},
	} {
		if fleet.large && !*largeFleets {
			continue
		}
		for seed := fleet.first; seed <= fleet.last; seed++ {
			t.Run(fmt.Sprintf("%d and %d, seed %d", fleet.dispatchers, fleet.workers, seed), func(t *testing.T) {
				t.Parallel()
				f := runColdScenario(t, allColdAndListsLate(fleet.dispatchers, fleet.workers, seed))
				t.Log(f)
				if f.avoidable > 0 {
					t.Errorf("%d cold workers overloaded, %d by notified dispatchers: %v", f.overloads, f.avoidable, f)
				}
				if f.utilization() < 0.5 {
					t.Errorf("cold workers got %.2f of their capacity: %v", f.utilization(), f)
				}
			})
		}
	}
}
