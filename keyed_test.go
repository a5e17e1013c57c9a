package topazfall

import (
	"slices"
	"testing"
)

// keyedRig is a rig whose dispatcher sees the whole fleet, and knows that a job takes 200 ms.
func keyedRig(t *testing.T, workers int) *rig {
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

// serve brings a job of a key to its end after run, and returns the worker that had it.
func (r *rig) serve(key uint64, hint, run int64) string {
	r.t.Helper()
	id, acts := r.arriveKeyed(key, hint, 10e6)
	w := r.requireSend(acts).Worker
	r.handle(Event{Kind: JobStarted, Request: id, Worker: w})
	r.now += run
	r.done(id, 0, w, Completed)
	return w
}

// homeIDs lists the homes of a key by their ids.
func (r *rig) homeIDs(key uint64) (ids []string) {
	for _, w := range r.b.preferredFor(key) {
		ids = append(ids, w.ID)
	}
	return ids
}

// Jobs of a key that come one by one all go to its first home: at each further worker it would have to be fetched
// anew, and push out what others need.
func TestIdleFirstHomeGetsAllJobsOfItsKey(t *testing.T) {
	r := keyedRig(t, 12)
	for key := uint64(1); key <= 20; key++ {
		home := r.homeIDs(key)[0]
		for range 3 {
			if w := r.serve(key, 200e3, 200e3); w != home {
				t.Errorf("a job of key %d went to %s, its first home %s is free", key, w, home)
			}
		}
	}
}

// Where the first home has much to do, the next ones take jobs of its key, before all others.
func TestBusyFirstHomeSharesItsKey(t *testing.T) {
	r := keyedRig(t, 12)
	homes, used := r.homeIDs(7), []string{}
	for range 2 * redundancy {
		_, acts := r.arriveKeyed(7, 200e3, 10e6)
		if w := r.requireSend(acts).Worker; !slices.Contains(used, w) {
			used = append(used, w)
		}
	}
	if len(used) < redundancy || !slices.Equal(used[:redundancy], homes) {
		t.Errorf("six jobs at once went to %v in this order, the homes of their key are %v", used, homes)
	}
}

// A worker that rests keeps its keys: their jobs go to its next homes, not to workers that never had them.
func TestHomesStayWhileOneRests(t *testing.T) {
	r := keyedRig(t, 12)
	homes := r.homeIDs(7)
	r.b.eject(r.b.workers[homes[0]])
	if now := r.homeIDs(7); !slices.Equal(now, homes) {
		t.Errorf("the homes were %v and are %v while %s rests", homes, now, homes[0])
	}
	if w := r.serve(7, 200e3, 200e3); w != homes[1] {
		t.Errorf("the job went to %s while %s rests, the next home is %s", w, homes[0], homes[1])
	}
	r.handle(Event{Kind: ListPatch, List: []Worker{{ID: homes[0], Zone: "a", Kind: "std", State: Draining}}})
	if now := r.homeIDs(7); !slices.Equal(now[:redundancy-1], homes[1:]) || slices.Contains(now, homes[0]) {
		t.Errorf("the homes were %v and are %v after %s drains", homes, now, homes[0])
	}
}

// A fetch takes of the time that is left: a job that has time to run but none to fetch is worth nothing at a worker
// that has to, and all at the first home.
func TestFetchCountsAgainstTheAim(t *testing.T) {
	r := keyedRig(t, 12)
	id, _ := r.arriveKeyed(7, 200e3, 300e3)
	q, homes := r.b.requests[id], r.homeIDs(7)
	q.attempts[0].worker.ownAttempts = nil // as it is for the next one
	for _, w := range r.b.ranked {
		switch risk, first := r.b.risk(q, w), w.ID == homes[0]; {
		case first && risk > 0.5:
			t.Errorf("the first home counts as late (%.2f) for a job of 200 ms with 300 ms left", risk)
		case !slices.Contains(homes, w.ID) && risk < 1:
			t.Errorf("%s, which has to fetch for 200 ms, counts as in time (%.2f) for a job of 200 ms with 300 ms left",
				w.ID, risk)
		}
	}
}

// What a job of its class takes, and what a worker's pace is, is learned from jobs that found what they need, not
// from those that had to wait for it.
func TestFetchesTeachNoRunningTime(t *testing.T) {
	r := keyedRig(t, 12)
	for i := range 20 {
		home := r.serve(uint64(i+1), 0, 200e3)
		if first := r.homeIDs(uint64(i + 1))[0]; home != first {
			t.Fatalf("the job went to %s, not to its first home %s", home, first)
		}
	}
	class, pace := r.b.classRunTimes["safe"].mean, map[string]float64{}
	for _, w := range r.b.ranked {
		pace[w.ID] = w.pace
	}
	for key := uint64(21); key <= 40; key++ { // of four jobs at once some go elsewhere, and only these end
		strangers := map[uint64]string{}
		for range redundancy + 1 {
			id, acts := r.arriveKeyed(key, 0, 10e6)
			w := r.requireSend(acts).Worker
			r.handle(Event{Kind: JobStarted, Request: id, Worker: w})
			if w != r.homeIDs(key)[0] {
				strangers[id] = w
			}
		}
		if len(strangers) == 0 {
			t.Fatal("no job went elsewhere")
		}
		r.now += 900e3
		for id, w := range strangers {
			r.done(id, 0, w, Completed)
		}
		for id := range r.b.requests {
			r.handle(Event{Kind: ClientGone, Request: id})
			r.done(id, 0, r.homeIDs(key)[0], Cancelled)
		}
	}
	if now := r.b.classRunTimes["safe"].mean; now != class {
		t.Errorf("a job of the class took %.0f ms and is taken for %.0f ms after fetches", class/1e3, now/1e3)
	}
	for _, w := range r.b.ranked {
		if w.pace != pace[w.ID] {
			t.Errorf("the pace of %s was %.2f and is %.2f after fetches", w.ID, pace[w.ID], w.pace)
		}
	}
}
