package topazfall

import (
	"flag"
	"fmt"
	"testing"
)

// coldSizes are the fleets that every scenario is played with.
var coldSizes = []struct{ dispatchers, workers, cold int }{{5, 12, 3}, {30, 15, 4}, {300, 100, 10}}

// coldBase is a fleet under a burst of half as much again, more than it bears, of which some workers return
// cold.
var coldBase = coldScenario{cores: 3, speed: 1, load: 0.85, burst: 1.5, uneven: true, peers: true, live: true,
	coldFrom: 0.36, rampTime: 6e6, fallTime: 3e6, multiple: 2.5, seed: 1}

// coldCases are the scenarios, as what differs from coldBase.
var coldCases = []struct {
	name   string
	change func(*coldScenario)
	large  bool // played with 300 dispatchers too, which takes seconds
}{
	{"words heard", func(*coldScenario) {}, true},
	{"three in ten words lost", func(c *coldScenario) { c.lost = 0.3 }, true},
	{"all words lost", func(c *coldScenario) { c.lost = 1 }, true},
	{"no peer messages", func(c *coldScenario) { c.peers = false }, true},
	{"no peer messages, no live weights", func(c *coldScenario) { c.peers, c.live = false, false }, false},
	{"one cold, no quotas", func(c *coldScenario) { c.cold, c.noQuota = 1, true }, false},
	{"all cold", func(c *coldScenario) { c.cold = c.workers }, false},
	{"all cold, all words lost", func(c *coldScenario) { c.cold, c.lost = c.workers, 1 }, false},
	{"half are new", func(c *coldScenario) { c.cold, c.joins = c.workers/2, true }, false},
	{"cold again in the ramp", func(c *coldScenario) { c.twice = true }, false},
	{"told 2 s late", func(c *coldScenario) { c.lateTold = 2e6 }, false},
	{"told 2 s late, all cold, all words lost", func(c *coldScenario) {
		c.lateTold, c.cold, c.lost = 2e6, c.workers, 1
	}, false},
	{"seven in ten dispatchers killed", func(c *coldScenario) { c.restarted, c.cold = 0.7, c.workers/2 }, false},
	{"no hints", func(c *coldScenario) { c.noHints = true }, false},
	{"no hints, fast cores, all cold", func(c *coldScenario) { c.noHints, c.speed, c.cold = true, 1.7, c.workers },
		false},
	{"hints of half the work, slow cores, all cold", func(c *coldScenario) {
		c.hintBias, c.cold, c.workers, c.live = 0.5, 24, 24, false
		c.multiple, c.fallTime, c.coldFrom, c.cores, c.speed, c.work = 2.5, 1e6, 0.3, 5, 0.7, 60e3
	}, false},
	{"weights in another unit, fast cores, all cold", func(c *coldScenario) {
		c.weightUnit, c.cold, c.workers, c.live = 0.25, 24, 24, false
		c.multiple, c.fallTime, c.coldFrom, c.rampTime, c.cores, c.speed = 3, 1e6, 0.1, 5e6, 5, 1.7
	}, false},
	{"half cold, lists in pieces and late, no quotas, all words lost", func(c *coldScenario) {
		c.lost, c.lateTold, c.noQuota, c.live, c.cold = 1, 2e6, true, false, c.workers/2
		c.multiple, c.fallTime, c.coldFrom, c.rampTime, c.cores, c.speed, c.work = 2, 2e6, 0.1, 9e6, 4, 0.7, 60e3
	}, false},
	{"long jobs", func(c *coldScenario) { c.work = 900e3 }, false},
	{"short jobs", func(c *coldScenario) { c.work = 100e3 }, false},
	{"3 times in 2 s, no hints, no peers", func(c *coldScenario) {
		c.multiple, c.fallTime, c.coldFrom, c.rampTime, c.cores, c.peers, c.noHints = 3, 2e6, 0.45, 5e6, 4, false, true
	}, false},
	{"twice in 2.5 s, no peers", func(c *coldScenario) {
		c.multiple, c.fallTime, c.coldFrom, c.rampTime, c.cores, c.peers = 2, 2500e3, 0.3, 9e6, 4, false
	}, false},
	{"3 times in 1.5 s, no peers", func(c *coldScenario) {
		c.multiple, c.fallTime, c.coldFrom, c.rampTime, c.cores, c.peers = 3, 1500e3, 0.3, 9e6, 4, false
	}, false},
	{"cold for 20 s from 0.15 on", func(c *coldScenario) { c.coldFrom, c.rampTime, c.cores = 0.15, 20e6, 5 }, false},
}

// Cold workers fall under the sum of what all dispatchers send: in no window of the fall time, wherever it
// begins, is one sent more than N + 2 root of N + 2 requests of mean work. Where some dispatchers are told
// late, whose work nobody can hold back, no fall is by those who were told. And the ramp is used: where the
// fleet is offered more than it bears, cold workers get at least half of what they can do, as the service floor
// of a day is half of what can be served.
func TestRampHoldsForTheFleet(t *testing.T) {
	for _, k := range coldCases {
		for _, size := range coldSizes {
			if size.dispatchers > 100 && !k.large {
				continue
			}
			c := coldBase
			c.dispatchers, c.workers, c.cold = size.dispatchers, size.workers, size.cold
			k.change(&c)
			t.Run(fmt.Sprintf("%s, %d", k.name, size.dispatchers), func(t *testing.T) {
				t.Parallel()
				f := playCold(t, c)
				t.Logf("%s, %d: %v", k.name, c.dispatchers, f)
				if f.broken > 0 || c.lateTold == 0 && f.falls > 0 {
					t.Errorf("%d cold workers fall, %d by who was told: %v", f.falls, f.broken, f)
				}
				if f.use() < 0.5 {
					t.Errorf("cold workers get %.2f of what they can do: %v", f.use(), f)
				}
			})
		}
	}
}

// A scenario is the same in every run.
func TestColdScenarioRepeats(t *testing.T) {
	c := coldBase
	c.dispatchers, c.workers, c.cold, c.lost = 5, 12, 3, 0.3
	if one, two := playCold(t, c), playCold(t, c); one != two {
		t.Errorf("%v, then %v", one, two)
	}
}

// A worker that has just started has nothing in hand, and is taken for free where no list tells its load: what
// the others hold says nothing of it.
func TestFreshWorkerIsTakenForFree(t *testing.T) {
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

// allColdAndListsLate is a fleet that comes back whole, cold from a tenth of its capacity: a quarter of the dispatchers
// hears of it late, all in pieces, and no gossip arrives.
func allColdAndListsLate(dispatchers, workers int, seed uint64) coldScenario {
	c := coldBase
	c.dispatchers, c.workers, c.cold, c.seed = dispatchers, workers, workers, seed
	c.lost, c.lateTold, c.noQuota, c.live = 1, 2e6, true, false
	c.multiple, c.fallTime, c.coldFrom, c.rampTime, c.cores, c.speed, c.work = 2, 2e6, 0.1, 9e6, 4, 0.7, 60e3
	return c
}

// The whole fleet comes back cold from a tenth of its capacity, a quarter of the dispatchers hears of it late and in
// pieces, and no gossip arrives: no worker falls by those who were told. It did: within 0.34 s of its start w2 had 37.5
// requests of mean work where 37.1 were its budget, 28.3 of them from eight dispatchers that had been told. Each saw
// another part of the fleet listed, 4 to 12 of the 15 workers, took the worker for one of its buddies of that moment,
// and found that 2 to 6 dispatchers might use it in this turn, itself among them. Turns were dealt among those whose
// buddies it was: with a list that grows from piece to piece in the end everybody was one of them for a while.
func TestRampHoldsWithAllColdAndListsLate(t *testing.T) {
	c := coldBase
	c.dispatchers, c.workers, c.cold = 30, 15, 15
	c.lost, c.lateTold, c.noQuota, c.live = 1, 2e6, true, false
	c.multiple, c.fallTime, c.coldFrom, c.rampTime, c.cores, c.speed, c.work = 2, 2e6, 0.1, 9e6, 4, 0.7, 60e3
	if f := playCold(t, c); f.broken > 0 {
		t.Errorf("%d cold workers fall, %d by who was told: %v", f.falls, f.broken, f)
	}
}

// largeFleets has the fleets played that take minutes: go test -run AtEverySize -large-fleets .
var largeFleets = flag.Bool("large-fleets", false, "play fleets of up to 300 dispatchers that take minutes")

// The same holds at every size, by more seeds, and the ramp is used: before the mend a fault that grew with the fleet.
// Of 150 workers of 300 dispatchers 13 to 23 fell by who was told.
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
				f := playCold(t, allColdAndListsLate(fleet.dispatchers, fleet.workers, seed))
				t.Log(f)
				if f.broken > 0 {
					t.Errorf("%d cold workers fall, %d by who was told: %v", f.falls, f.broken, f)
				}
				if f.use() < 0.5 {
					t.Errorf("cold workers get %.2f of what they can do: %v", f.use(), f)
				}
			})
		}
	}
}
