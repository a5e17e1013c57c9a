package topazfall

import (
	"fmt"
	"testing"
)

// A dispatcher that gets all of a tenant's traffic takes further buddies, until its jobs are a small part of what they
// can run, and gives them up again. Which workers it counts as shared with others does not change by that.
func TestBusyDispatcherTakesFurtherBuddies(t *testing.T) {
	for _, c := range []struct{ dispatchers, workers int }{{300, 195}, {900, 600}} {
		t.Run(fmt.Sprint(c.dispatchers), func(t *testing.T) {
			s, ws := settings(), fleet(c.workers)
			s.Dispatchers, s.LiveWeights = c.dispatchers, true
			setWeights(ws, 3)
			r := newRig(t, s, ws...)
			ws[0].Weight = 3 / (1 + 1./3) // three cores
			r.handle(Event{Kind: ListPatch, List: ws[:1]})
			before, span := len(r.b.buddies), r.b.subsetSpan
			type sentJob struct {
				id     uint64
				worker string
			}
			var sent []sentJob
			for range 60 {
				id, acts := r.arrive(safe)
				sent = append(sent, sentJob{id, r.requireSend(acts).Worker})
			}
			r.b.rebuildBuddies()
			slots := 3 * float64(len(r.b.buddies))
			if share := float64(len(sent)) / slots; share > maxOwnShare {
				t.Errorf("%d jobs take %.2f of the slots of %d buddies", len(sent), share, len(r.b.buddies))
			}
			if r.b.subsetSpan != span {
				t.Errorf("the shared range was %d workers and is %d", span, r.b.subsetSpan)
			}
			for _, job := range sent {
				r.finishAttempt(job.id, 0, job.worker, Completed)
			}
			if r.b.rebuildBuddies(); len(r.b.buddies) != before {
				t.Errorf("%d buddies without jobs, %d before", len(r.b.buddies), before)
			}
		})
	}
}

// A dispatcher with the mean of the traffic keeps its buddies, and one that has not read a list has none.
func TestMeanTrafficKeepsSubset(t *testing.T) {
	s, ws := settings(), fleet(195)
	s.Dispatchers, s.LiveWeights = 300, true
	r := newRig(t, s, ws...)
	for range 3 {
		r.arrive(safe)
	}
	if r.b.rebuildBuddies(); len(r.b.buddies) != 2*minBuddies {
		t.Errorf("%d buddies", len(r.b.buddies))
	}
	empty := newRig(t, s)
	empty.arrive(safe)
	if empty.b.rebuildBuddies(); len(empty.b.buddies) != 0 {
		t.Errorf("%d buddies of no workers", len(empty.b.buddies))
	}
}
