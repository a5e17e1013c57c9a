package topazfall

import (
	"slices"
	"testing"
)

// newKeyedRig returns a rig whose dispatcher has the whole fleet as buddies, and a job time of 200 ms.
func newKeyedRig(t *testing.T, workers int) *rig {
	s := settings()
	s.Dispatchers = 1
	r := newRig(t, s, fleet(workers)...)
	r.b.jobTime = 200e3
	return r
}

// arriveKeyed brings a safe job of a key, with a hint unless that is 0, and returns its id and the actions.
func (r *rig) arriveKeyed(key uint64, hint, left int64) (uint64, []Action) {
	r.id++
	return r.id, r.handle(Event{Kind: Arrival, Request: r.id, Class: safe, Tenant: -1, Due: r.now + left,
		Hint: hint, Key: key})
}

// completeJob runs a job of a key for runTime and returns the worker that served it.
func (r *rig) completeJob(key uint64, hint, runTime int64) string {
	r.t.Helper()
	id, acts := r.arriveKeyed(key, hint, 10e6)
	w := r.requireSend(acts).Worker
	r.handle(Event{Kind: JobStarted, Request: id, Worker: w})
	r.now += runTime
	r.finishAttempt(id, 0, w, Completed)
	return w
}

// preferredIDs lists the ids of the preferred workers of a key.
func (r *rig) preferredIDs(key uint64) (ids []string) {
	for _, w := range r.b.preferredFor(key) {
		ids = append(ids, w.ID)
	}
	return ids
}

// Jobs of a key that arrive one by one all go to its first preferred worker. Any other worker would have to fetch the
// data of the key, and evict the data of other keys.
func TestIdlePreferredWorkerGetsAllJobsOfKey(t *testing.T) {
	r := newKeyedRig(t, 12)
	for key := uint64(1); key <= 20; key++ {
		first := r.preferredIDs(key)[0]
		for range 3 {
			if w := r.completeJob(key, 200e3, 200e3); w != first {
				t.Errorf("a job of key %d went to %s although its first preferred worker %s is free", key, w, first)
			}
		}
	}
}

// While the first preferred worker is busy, the next ones take jobs of its key before any other worker.
func TestBusyPreferredWorkerSharesKey(t *testing.T) {
	r := newKeyedRig(t, 12)
	preferred, used := r.preferredIDs(7), []string{}
	for range 2 * redundancy {
		_, acts := r.arriveKeyed(7, 200e3, 10e6)
		if w := r.requireSend(acts).Worker; !slices.Contains(used, w) {
			used = append(used, w)
		}
	}
	if len(used) < redundancy || !slices.Equal(used[:redundancy], preferred) {
		t.Errorf("six jobs at once went to %v in this order, the preferred workers of their key are %v", used,
			preferred)
	}
}

// An ejected worker keeps its keys: their jobs go to the next preferred workers, not to workers without the data.
func TestPreferredWorkersStayDuringEjection(t *testing.T) {
	r := newKeyedRig(t, 12)
	preferred := r.preferredIDs(7)
	r.b.eject(r.b.workers[preferred[0]])
	if now := r.preferredIDs(7); !slices.Equal(now, preferred) {
		t.Errorf("the preferred workers were %v and are %v while %s is ejected", preferred, now, preferred[0])
	}
	if w := r.completeJob(7, 200e3, 200e3); w != preferred[1] {
		t.Errorf("the job went to %s while %s is ejected, the next preferred worker is %s", w, preferred[0],
			preferred[1])
	}
	r.handle(Event{Kind: ListPatch, List: []Worker{{ID: preferred[0], Zone: "a", Kind: "std", State: Draining}}})
	if now := r.preferredIDs(7); !slices.Equal(now[:redundancy-1], preferred[1:]) ||
		slices.Contains(now, preferred[0]) {
		t.Errorf("the preferred workers were %v and are %v while %s drains", preferred, now, preferred[0])
	}
}

// The time for a fetch counts against the aim: a job with enough time to run but not to fetch counts as late at a
// worker that has to fetch, and as in time at the first preferred worker.
func TestFetchTimeCountsAgainstAim(t *testing.T) {
	r := newKeyedRig(t, 12)
	id, _ := r.arriveKeyed(7, 200e3, 300e3)
	request, preferred := r.b.requests[id], r.preferredIDs(7)
	request.attempts[0].worker.ownAttempts = nil // without the load of the job itself
	for _, w := range r.b.ranked {
		switch risk, first := r.b.risk(request, w), w.ID == preferred[0]; {
		case first && risk > 0.5:
			t.Errorf("the first preferred worker counts as late (%.2f) for a job of 200 ms with 300 ms left", risk)
		case !slices.Contains(preferred, w.ID) && risk < 1:
			t.Errorf("%s, which has to fetch for 200 ms, counts as in time (%.2f) for a job of 200 ms with 300 ms left",
				w.ID, risk)
		}
	}
}

// The mean running time of a class and the pace of a worker are learned only from jobs that did not wait for a fetch.
func TestFetchesDoNotAffectRunTimes(t *testing.T) {
	r := newKeyedRig(t, 12)
	for i := range 20 {
		got := r.completeJob(uint64(i+1), 0, 200e3)
		if first := r.preferredIDs(uint64(i + 1))[0]; got != first {
			t.Fatalf("the job went to %s, not to its first preferred worker %s", got, first)
		}
	}
	classMean, pace := r.b.classRunTimes["safe"].mean, map[string]float64{}
	for _, w := range r.b.ranked {
		pace[w.ID] = w.pace
	}
	for key := uint64(21); key <= 40; key++ { // of four jobs at once some go elsewhere, and only these end
		others := map[uint64]string{}
		for range redundancy + 1 {
			id, acts := r.arriveKeyed(key, 0, 10e6)
			w := r.requireSend(acts).Worker
			r.handle(Event{Kind: JobStarted, Request: id, Worker: w})
			if w != r.preferredIDs(key)[0] {
				others[id] = w
			}
		}
		if len(others) == 0 {
			t.Fatal("no job went elsewhere")
		}
		r.now += 900e3
		for id, w := range others {
			r.finishAttempt(id, 0, w, Completed)
		}
		for id := range r.b.requests {
			r.handle(Event{Kind: ClientGone, Request: id})
			r.finishAttempt(id, 0, r.preferredIDs(key)[0], Cancelled)
		}
	}
	if now := r.b.classRunTimes["safe"].mean; now != classMean {
		t.Errorf("the mean of the class was %.0f ms and is %.0f ms after fetches", classMean/1e3, now/1e3)
	}
	for _, w := range r.b.ranked {
		if w.pace != pace[w.ID] {
			t.Errorf("the pace of %s was %.2f and is %.2f after fetches", w.ID, pace[w.ID], w.pace)
		}
	}
}
