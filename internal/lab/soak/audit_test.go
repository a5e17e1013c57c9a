package soak

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazfall/internal/lab/client"
	"topazfall/internal/lab/host"
	"topazfall/internal/lab/program"
)

// start0 is when the written histories begin.
var start0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// after is a moment of a written history.
func after(ms int) time.Time { return start0.Add(time.Duration(ms) * time.Millisecond) }

// written is a history in which all is well: a lookup that two workers had one after the other, a report that one had,
// a process that was told to end and another that started after it, a drain.
func written() *History {
	h := &History{Terms: Terms{DrainGrace: drainGrace, Classes: []Class{{Name: program.Classes[0]},
		{Name: program.Classes[1], Repeat: Keyed, Window: time.Second}, {Name: program.Classes[2], Repeat: AtMostOnce}}}}
	h.Processes = []ProcessRecord{
		{Process: "n0", Started: after(0), Ready: after(100), Terminated: after(5000), Ended: after(5700)},
		{Process: "n0", Started: after(5700), Ready: after(5800), Terminated: after(20000), Ended: after(20700)},
	}
	h.WorkerUpdates = []WorkerUpdate{{At: after(0), Worker: "s-0", AcceptsWork: true}, {At: after(0), Worker: "s-1", AcceptsWork: true},
		{At: after(3000), Worker: "s-1"}, {At: after(9000), Worker: "s-1", AcceptsWork: true}}
	h.Requests = []Request{request("n0-a", 0, 1000, 1400, "s-1 n0-a"), request("n0-b", 2, 2000, 2100, "s-0 n0-b")}
	first := attempt("s-0", "n0-a", 1010)
	first.EndedAt = after(1200)
	second := attempt("s-1", "n0-a", 1210)
	second.EndedAt = after(1390)
	third := attempt("s-0", "n0-b", 2010)
	third.EndedAt = after(2090)
	h.Attempts = []Attempt{first, second, third}
	h.Leftovers = []Leftover{{Process: "n0", Descriptors: 12, AllowedDescriptors: 14}}
	return h
}

// request is one that was answered with a body.
func request(id string, class, sent, ended int, body string) Request {
	return Request{Process: "n0", Delivery: client.Delivery{Message: client.Message{ID: id,
		Class: program.Classes[class], Timeout: time.Second}},
		Result: client.Result{Started: after(sent), Sent: after(sent), Ended: after(ended), Status: 200, Body: body}}
}

// attempt is one that came whole in a millisecond.
func attempt(worker, id string, began int) Attempt {
	return Attempt{Worker: worker, Attempt: host.Attempt{ID: id, FirstByteAt: after(began), LastByteAt: after(began + 1),
		Timeout: 500 * time.Millisecond}}
}

func TestAuditPassesWhatIsWell(t *testing.T) {
	require.Empty(t, Audit(written()))
}

// planted is a fault of a written history, and what the auditor is to say of it.
type planted struct {
	rule  Rule
	id    string
	fault func(h *History)
}

var plantedFaults = map[string]planted{
	"an answer comes 0.56 s after its time": {RuleLost, "n0-b", func(h *History) {
		h.Requests[1].Ended = h.Requests[1].Sent.Add(1560 * time.Millisecond)
	}},
	"no answer comes": {RuleLost, "n0-b", func(h *History) {
		h.Requests[1].Outcome, h.Requests[1].Ended = client.TimedOut, after(4000)
	}},
	"a second answer comes": {RuleLost, "n0-b", func(h *History) { h.Requests[1].ExtraBytes = 80 }},
	"a request is read and its connection closed": {RuleClosed, "n0-b", func(h *History) {
		h.Requests[1].Outcome, h.Requests[1].Err = client.ClosedAfterRead, errors.New("EOF")
	}},
	"one is found by the kill that came 0.8 s after SIGTERM": {RuleClosed, "n0-b", func(h *History) {
		h.Processes[0].Terminated, h.Processes[0].Killed = after(1200), after(2050)
		h.Requests[1].Outcome, h.Requests[1].Ended = client.ClosedAfterRead, after(2051)
	}},
	"what must not run twice is sent again": {RuleDuplicate, "n0-b", func(h *History) {
		h.Attempts = append(h.Attempts, attempt("s-1", "n0-b", 2095))
	}},
	"a copy runs beside an attempt that goes on": {RuleDuplicate, "n0-a", func(h *History) {
		h.Attempts[0].EndedAt = time.Time{}
	}},
	"a copy comes 80 ms before the first ends": {RuleDuplicate, "n0-a", func(h *History) {
		h.Attempts[1].LastByteAt = h.Attempts[0].EndedAt.Add(-80 * time.Millisecond)
	}},
	"a keyed repeat is outside its window": {RuleDuplicate, "n0-a", func(h *History) {
		h.Requests[0].Class, h.Requests[0].Timeout = program.Classes[1], 3*time.Second
		h.Attempts[1] = attempt("s-1", "n0-a", 2070)
		h.Requests[0].Ended = after(2500)
	}},
	"what may have run and must not again is refused": {RuleRefused, "n0-b", func(h *History) {
		h.Requests[1].Status, h.Requests[1].Body = 503, "refused"
	}},
	"a body is of nobody": {RuleInvented, "n0-b", func(h *History) { h.Requests[1].Body = "s-1 n0-b" }},
	"a worker has a request of nobody": {RuleInvented, "n0-x", func(h *History) {
		h.Attempts = append(h.Attempts, attempt("s-0", "n0-x", 2500))
	}},
	"new work comes to a worker 0.56 s after its drain": {RuleDrain, "n0-c", func(h *History) {
		h.Requests = append(h.Requests, request("n0-c", 0, 3550, 3700, "s-1 n0-c"))
		h.Attempts = append(h.Attempts, attempt("s-1", "n0-c", 3560))
	}},
	"an attempt begins 0.16 s after its client left": {RuleDeparted, "n0-a", func(h *History) {
		h.Requests[0].Outcome, h.Requests[0].Ended = client.Disconnected, after(1050)
	}},
	"an attempt tells more time than is left": {RuleTimeout, "n0-a", func(h *History) {
		h.Attempts[0].Timeout = 1200 * time.Millisecond
	}},
	"who stops midway waits for 3.1 s": {RuleErrorOwed, "n0-b", func(h *History) {
		h.Requests[1].Behavior, h.Requests[1].Status = client.StopMidRequest, 408
		h.Requests[1].Ended = after(5100)
		h.Attempts = h.Attempts[:2]
	}},
	"a process ends by itself": {RuleCrash, "", func(h *History) { h.Processes[0].Terminated = time.Time{} }},
	"a process ends with 2":    {RuleCrash, "", func(h *History) { h.Processes[0].ExitCode = 2 }},
	"one of two starts takes 10.1 s": {RuleReady, "", func(h *History) {
		h.Processes[1].Ready = h.Processes[1].Started.Add(10100 * time.Millisecond)
	}},
	"a descriptor is left over": {RuleLeak, "", func(h *History) { h.Leftovers[0].Descriptors = 15 }},
	"a goroutine is left over": {RuleLeak, "", func(h *History) {
		h.Leftovers[0].Goroutines, h.Leftovers[0].AllowedGoroutines = 21, 20
	}},
	"a request in hand is left over": {RuleLeak, "", func(h *History) { h.Leftovers[0].Outstanding = 1 }},
}

// Faults planted in the written history are named, each by its rule and the id or process that it concerns, with the
// events round it.
func TestAuditNamesPlantedFaults(t *testing.T) {
	for name, plant := range plantedFaults {
		t.Run(name, func(t *testing.T) {
			h := written()
			plant.fault(h)
			breaks := Audit(h)
			require.Len(t, breaks, 1, "%+v", breaks)
			require.Equal(t, plant.rule, breaks[0].Rule)
			require.Equal(t, plant.id, breaks[0].ID)
			if plant.id != "" {
				require.NotEmpty(t, breaks[0].Events)
			}
		})
	}
}

// What lies just within the pages' bounds is no fault.
func TestAuditAllowsWhatThePagesAllow(t *testing.T) {
	for name, change := range map[string]func(h *History){
		"an answer 0.54 s after its time": func(h *History) {
			h.Requests[1].Ended = h.Requests[1].Sent.Add(1540 * time.Millisecond)
		},
		"a request that nobody has read": func(h *History) {
			h.Requests[1].Outcome, h.Attempts = client.ResetUnread, h.Attempts[:2]
		},
		"a request in hand at a kill without a word": func(h *History) {
			h.Processes[0].Terminated, h.Processes[0].Killed = time.Time{}, after(2050)
			h.Requests[1].Outcome, h.Requests[1].Ended = client.ClosedAfterRead, after(2051)
		},
		"work for a worker 0.54 s after its drain": func(h *History) {
			h.Requests = append(h.Requests, request("n0-c", 0, 3500, 3700, "s-1 n0-c"))
			h.Attempts = append(h.Attempts, attempt("s-1", "n0-c", 3540))
		},
		"work while discovery tells nothing of the drain": func(h *History) {
			h.Outages = []Outage{{after(2900), after(4000)}}
			h.Requests = append(h.Requests, request("n0-c", 0, 4500, 4700, "s-1 n0-c"))
			h.Attempts = append(h.Attempts, attempt("s-1", "n0-c", 4540))
		},
		"work after a drain that came with a new address of discovery": func(h *History) {
			h.Processes[0].DiscoveryMoves = []time.Time{after(2500)}
			h.Requests = append(h.Requests, request("n0-c", 0, 6900, 7100, "s-1 n0-c"))
			h.Attempts = append(h.Attempts, attempt("s-1", "n0-c", 7000))
		},
		"a second attempt of what was turned away": func(h *History) {
			h.Attempts[2].Rejected = true
			h.Attempts = append(h.Attempts, attempt("s-0", "n0-b", 2040))
		},
		"an attempt that was given up": func(h *History) {
			h.Attempts[0].EndedAt, h.Attempts[0].CancelledAt = time.Time{}, after(1190)
		},
		"an answer late by the time in which the run stood still": func(h *History) {
			h.Requests[1].Ended = h.Requests[1].Sent.Add(1700 * time.Millisecond)
			h.Stalls = []Stall{{after(2500), after(2700)}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := written()
			change(h)
			require.Empty(t, Audit(h))
		})
	}
}
