package topazfall

import (
	"fmt"
	"testing"
)

// BenchmarkMessage measures the processor time of all decisions for one request: arrival, send, start, progress and
// end, and a list with the live weights of all workers before every tenth request. Requests come 25 times a second, so
// lists come 2.5 times a second. The second deployment has 15 ms of processor time a second for some 26 requests, the
// first 800 ms for some 10.
func BenchmarkMessage(b *testing.B) {
	for _, c := range []struct{ dispatchers, workers, open int }{{3, 10, 5}, {2, 15, 30}, {4, 22, 60}, {300, 200, 3}} {
		b.Run(fmt.Sprintf("dispatchers=%d/workers=%d/open=%d", c.dispatchers, c.workers, c.open), func(b *testing.B) {
			s := settings()
			s.Dispatchers, s.LiveWeights, s.Allowed.PeerMessages, s.OverShare = c.dispatchers, true, true, 0.05
			for i := range 6 {
				s.Tenants = append(s.Tenants, Tenant{Name: fmt.Sprint(i), Quota: 9})
			}
			ws := fleet(c.workers)
			setWeights(ws, 5)
			m, err := New(s)
			if err != nil {
				b.Fatal(err)
			}
			now := int64(100e6)
			on := func(e Event) []Action { return m.Handle(now, &e, nil) }
			on(Event{Kind: ListSnapshot, List: ws})
			type job struct {
				id     uint64
				worker string
			}
			var open []job
			id := uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				id, now = id+1, now+40e3
				if id%10 == 0 {
					on(Event{Kind: ListPatch, List: ws})
				}
				for _, a := range on(Event{Kind: Arrival, Request: id, Class: int(id % 2), Tenant: int(id % 6),
					Due: now + 10e6, Hint: 900e3}) {
					if a.Kind == Send {
						open = append(open, job{id, a.Worker})
						on(Event{Kind: JobStarted, Request: id, Worker: a.Worker})
					}
				}
				if len(open) > c.open {
					j := open[0]
					open = open[1:]
					on(Event{Kind: JobProgress, Request: j.id, Worker: j.worker, Amount: 0.5})
					on(Event{Kind: AttemptDone, Request: j.id, Worker: j.worker, Outcome: Completed, Load: NoLoad})
				}
			}
			if len(open) < c.open {
				b.Fatalf("%d of %d requests are open: too few were sent", len(open), c.open)
			}
		})
	}
}

// BenchmarkPatchOfOneWorker measures the processor time of a change of one worker, and of a deploy that replaces it.
func BenchmarkPatchOfOneWorker(b *testing.B) {
	for _, workers := range []int{200, 5500} {
		for _, replaced := range []bool{false, true} {
			b.Run(fmt.Sprintf("workers=%d/replaced=%v", workers, replaced), func(b *testing.B) {
				m, err := New(settings())
				if err != nil {
					b.Fatal(err)
				}
				now := int64(100e6)
				on := func(e Event) { m.Handle(now, &e, nil) }
				ws := fleet(workers)
				on(Event{Kind: ListSnapshot, List: ws})
				next := 0
				b.ReportAllocs()
				for b.Loop() {
					next, now = next+1, now+1e6
					w := &ws[next%workers]
					if replaced {
						on(Event{Kind: ListPatch, List: []Worker{{ID: w.ID, State: Gone}}})
						w.ID = fmt.Sprint("n", next)
					}
					w.Weight++
					on(Event{Kind: ListPatch, List: []Worker{*w}})
					on(Event{Kind: TimerDue, Token: tokenPeriodic})
				}
			})
		}
	}
}
