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

// historyStart is when the histories of the tests begin.
var historyStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// historyTime returns the time ms milliseconds after historyStart.
func historyTime(ms int) time.Time { return historyStart.Add(time.Duration(ms) * time.Millisecond) }

// validHistory returns a history without violations: a request of the lookup class that two workers received one after
// the other, a request of the usage-report class that one worker received, a process that was terminated and another
// that started after it, and a drain.
func validHistory() *History {
	h := &History{Terms: Terms{DrainGrace: drainGrace, Classes: []Class{{Name: program.Classes[0]},
		{Name: program.Classes[1], Repeat: Keyed, Window: time.Second},
		{Name: program.Classes[2], Repeat: AtMostOnce}}}}
	h.Processes = []ProcessRecord{
		{Process: "n0", Started: historyTime(0), Ready: historyTime(100), Terminated: historyTime(5000),
			Ended: historyTime(5700)},
		{Process: "n0", Started: historyTime(5700), Ready: historyTime(5800), Terminated: historyTime(20000),
			Ended: historyTime(20700)},
	}
	h.WorkerUpdates = []WorkerUpdate{{At: historyTime(0), Worker: "s-0", AcceptsWork: true},
		{At: historyTime(0), Worker: "s-1", AcceptsWork: true}, {At: historyTime(3000), Worker: "s-1"},
		{At: historyTime(9000), Worker: "s-1", AcceptsWork: true}}
	h.Requests = []Request{newRequest("n0-a", 0, 1000, 1400, "s-1 n0-a"), newRequest("n0-b", 2, 2000, 2100, "s-0 n0-b")}
	first := newAttempt("s-0", "n0-a", 1010)
	first.EndedAt = historyTime(1200)
	second := newAttempt("s-1", "n0-a", 1210)
	second.EndedAt = historyTime(1390)
	third := newAttempt("s-0", "n0-b", 2010)
	third.EndedAt = historyTime(2090)
	h.Attempts = []Attempt{first, second, third}
	h.Leftovers = []Leftover{{Process: "n0", Descriptors: 12, AllowedDescriptors: 14}}
	return h
}

// newRequest returns a request that was answered with status 200 and a body.
func newRequest(id string, class, sent, ended int, body string) Request {
	return Request{Process: "n0", Delivery: client.Delivery{Message: client.Message{ID: id,
		Class: program.Classes[class], Timeout: time.Second}},
		Result: client.Result{Started: historyTime(sent), Sent: historyTime(sent), Ended: historyTime(ended),
			Status: 200, Body: body}}
}

// newAttempt returns an attempt that the worker received within a millisecond.
func newAttempt(worker, id string, began int) Attempt {
	return Attempt{Worker: worker, Attempt: host.Attempt{ID: id, FirstByteAt: historyTime(began),
		LastByteAt: historyTime(began + 1), Timeout: 500 * time.Millisecond}}
}

func TestAuditPassesValidHistory(t *testing.T) {
	require.Empty(t, Audit(validHistory()))
}

// plantedFault changes a valid history so that it violates a rule. The auditor must report that rule and request id.
type plantedFault struct {
	rule  Rule
	id    string
	fault func(h *History)
}

var plantedFaults = map[string]plantedFault{
	"an answer comes 0.56 s after its timeout": {RuleLost, "n0-b", func(h *History) {
		h.Requests[1].Ended = h.Requests[1].Sent.Add(1560 * time.Millisecond)
	}},
	"no answer comes": {RuleLost, "n0-b", func(h *History) {
		h.Requests[1].Outcome, h.Requests[1].Ended = client.TimedOut, historyTime(4000)
	}},
	"a second answer comes": {RuleLost, "n0-b", func(h *History) { h.Requests[1].ExtraBytes = 80 }},
	"a request is read and its connection closed": {RuleClosed, "n0-b", func(h *History) {
		h.Requests[1].Outcome, h.Requests[1].Err = client.ClosedAfterRead, errors.New("EOF")
	}},
	"a request sent 0.8 s after SIGTERM is ended by the kill": {RuleClosed, "n0-b", func(h *History) {
		h.Processes[0].Terminated, h.Processes[0].Killed = historyTime(1200), historyTime(2050)
		h.Requests[1].Outcome, h.Requests[1].Ended = client.ClosedAfterRead, historyTime(2051)
	}},
	"an at-most-once request is sent again": {RuleDuplicate, "n0-b", func(h *History) {
		h.Attempts = append(h.Attempts, newAttempt("s-1", "n0-b", 2095))
	}},
	"a second attempt begins while the first goes on": {RuleDuplicate, "n0-a", func(h *History) {
		h.Attempts[0].EndedAt = time.Time{}
	}},
	"a second attempt comes 80 ms before the first ends": {RuleDuplicate, "n0-a", func(h *History) {
		h.Attempts[1].LastByteAt = h.Attempts[0].EndedAt.Add(-80 * time.Millisecond)
	}},
	"a keyed repeat is outside its window": {RuleDuplicate, "n0-a", func(h *History) {
		h.Requests[0].Class, h.Requests[0].Timeout = program.Classes[1], 3*time.Second
		h.Attempts[1] = newAttempt("s-1", "n0-a", 2070)
		h.Requests[0].Ended = historyTime(2500)
	}},
	"an at-most-once request that may have run is refused": {RuleRefused, "n0-b", func(h *History) {
		h.Requests[1].Status, h.Requests[1].Body = 503, "refused"
	}},
	"a body comes from no worker": {RuleInvented, "n0-b", func(h *History) { h.Requests[1].Body = "s-1 n0-b" }},
	"a worker has a request that no client sent": {RuleInvented, "n0-x", func(h *History) {
		h.Attempts = append(h.Attempts, newAttempt("s-0", "n0-x", 2500))
	}},
	"new work comes to a worker 0.56 s after its drain": {RuleDrain, "n0-c", func(h *History) {
		h.Requests = append(h.Requests, newRequest("n0-c", 0, 3550, 3700, "s-1 n0-c"))
		h.Attempts = append(h.Attempts, newAttempt("s-1", "n0-c", 3560))
	}},
	"new work comes to a worker 0.56 s after its drain was told to who asks for lists": {RuleDrain, "n0-c",
		func(h *History) {
			h.Terms.Subscribe, h.WorkerUpdates[2].Version = true, 7
			h.Told = []Told{{"n1", 9, historyTime(3010)}, {"n0", 6, historyTime(3020)}, {"n0", 8, historyTime(3100)}}
			h.Requests = append(h.Requests, newRequest("n0-c", 0, 3650, 3800, "s-1 n0-c"))
			h.Attempts = append(h.Attempts, newAttempt("s-1", "n0-c", 3660))
		}},
	"an attempt begins 0.16 s after its client disconnected": {RuleDeparted, "n0-a", func(h *History) {
		h.Requests[0].Outcome, h.Requests[0].Ended = client.Disconnected, historyTime(1050)
	}},
	"an attempt has a longer timeout than is left": {RuleTimeout, "n0-a", func(h *History) {
		h.Attempts[0].Timeout = 1200 * time.Millisecond
	}},
	"a client that stops mid-request waits 3.1 s": {RuleErrorOwed, "n0-b", func(h *History) {
		h.Requests[1].Behavior, h.Requests[1].Status = client.StopMidRequest, 408
		h.Requests[1].Ended = historyTime(5100)
		h.Attempts = h.Attempts[:2]
	}},
	"a process exits by itself":   {RuleCrash, "", func(h *History) { h.Processes[0].Terminated = time.Time{} }},
	"a process exits with code 2": {RuleCrash, "", func(h *History) { h.Processes[0].ExitCode = 2 }},
	"one of two starts takes 10.1 s": {RuleReady, "", func(h *History) {
		h.Processes[1].Ready = h.Processes[1].Started.Add(10100 * time.Millisecond)
	}},
	"a descriptor is left over": {RuleLeak, "", func(h *History) { h.Leftovers[0].Descriptors = 15 }},
	"a goroutine is left over": {RuleLeak, "", func(h *History) {
		h.Leftovers[0].Goroutines, h.Leftovers[0].AllowedGoroutines = 21, 20
	}},
	"a process takes a kB more than its memory": {RuleMemory, "", func(h *History) {
		h.Terms.MemoryMB, h.Processes[0].PeakMemoryKB = 48, 48<<10+1
	}},
	"an unfinished request is left over": {RuleLeak, "", func(h *History) { h.Leftovers[0].Outstanding = 1 }},
}

// Each fault planted in a valid history is reported as one violation, with its rule, its request id and the events
// around it.
func TestAuditReportsPlantedFaults(t *testing.T) {
	for name, plant := range plantedFaults {
		t.Run(name, func(t *testing.T) {
			h := validHistory()
			plant.fault(h)
			violations := Audit(h)
			require.Len(t, violations, 1, "%+v", violations)
			require.Equal(t, plant.rule, violations[0].Rule)
			require.Equal(t, plant.id, violations[0].ID)
			unmet := 0
			for _, bound := range newReport(Options{}, []Outcome{{Violations: violations}}).Bounds {
				if !bound.IsMet() {
					unmet++
				}
			}
			require.Equal(t, 1, unmet, "the report counts it")
			if plant.id != "" {
				require.NotEmpty(t, violations[0].Events)
			}
		})
	}
}

// Values just within the bounds of the operators' rules are not violations.
func TestAuditAllowsValuesWithinBounds(t *testing.T) {
	for name, change := range map[string]func(h *History){
		"an answer 0.54 s after its timeout": func(h *History) {
			h.Requests[1].Ended = h.Requests[1].Sent.Add(1540 * time.Millisecond)
		},
		"a request that was reset unread": func(h *History) {
			h.Requests[1].Outcome, h.Attempts = client.ResetUnread, h.Attempts[:2]
		},
		"an unfinished request at a kill without SIGTERM": func(h *History) {
			h.Processes[0].Terminated, h.Processes[0].Killed = time.Time{}, historyTime(2050)
			h.Requests[1].Outcome, h.Requests[1].Ended = client.ClosedAfterRead, historyTime(2051)
		},
		"work for a worker 0.54 s after its drain": func(h *History) {
			h.Requests = append(h.Requests, newRequest("n0-c", 0, 3500, 3700, "s-1 n0-c"))
			h.Attempts = append(h.Attempts, newAttempt("s-1", "n0-c", 3540))
		},
		"work while discovery does not announce the drain": func(h *History) {
			h.Outages = []Outage{{historyTime(2900), historyTime(4000)}}
			h.Requests = append(h.Requests, newRequest("n0-c", 0, 4500, 4700, "s-1 n0-c"))
			h.Attempts = append(h.Attempts, newAttempt("s-1", "n0-c", 4540))
		},
		"work after a drain during a move to another discovery address": func(h *History) {
			h.Processes[0].DiscoveryMoves = []time.Time{historyTime(2500)}
			h.Requests = append(h.Requests, newRequest("n0-c", 0, 6900, 7100, "s-1 n0-c"))
			h.Attempts = append(h.Attempts, newAttempt("s-1", "n0-c", 7000))
		},
		"work for a worker 0.54 s after its drain was told to who asks for lists": func(h *History) {
			h.Terms.Subscribe, h.WorkerUpdates[2].Version = true, 7
			h.Told = []Told{{"n0", 7, historyTime(3100)}}
			h.Requests = append(h.Requests, newRequest("n0-c", 0, 3600, 3800, "s-1 n0-c"))
			h.Attempts = append(h.Attempts, newAttempt("s-1", "n0-c", 3640))
		},
		"work after a drain that was told to a process without a successor": func(h *History) {
			h.Terms.Subscribe, h.WorkerUpdates[2].Version = true, 7
			h.Told = []Told{{"n0", 7, historyTime(3100)}}
			h.Requests = append(h.Requests, newRequest("n0-c", 0, 5900, 6100, "s-1 n0-c"))
			h.Attempts = append(h.Attempts, newAttempt("s-1", "n0-c", 6000))
		},
		"work right after a replacement, in which a drain was told": func(h *History) {
			h.Terms.Subscribe, h.WorkerUpdates[2].Version = true, 7
			h.Processes[1].Successor, h.Processes[1].Ready = true, historyTime(3050)
			h.Told = []Told{{"n0", 7, historyTime(3100)}}
			h.Requests = append(h.Requests, newRequest("n0-c", 0, 5500, 5700, "s-1 n0-c"))
			h.Attempts = append(h.Attempts, newAttempt("s-1", "n0-c", 5560))
		},
		"a second attempt after a rejection": func(h *History) {
			h.Attempts[2].Rejected = true
			h.Attempts = append(h.Attempts, newAttempt("s-0", "n0-b", 2040))
		},
		"a process that takes all of its memory": func(h *History) {
			h.Terms.MemoryMB, h.Processes[0].PeakMemoryKB = 48, 48<<10
		},
		"an attempt that was cancelled": func(h *History) {
			h.Attempts[0].EndedAt, h.Attempts[0].CancelledAt = time.Time{}, historyTime(1190)
		},
		"an answer that is late by the length of a stall": func(h *History) {
			h.Requests[1].Ended = h.Requests[1].Sent.Add(1700 * time.Millisecond)
			h.Stalls = []Stall{{historyTime(2500), historyTime(2700)}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := validHistory()
			change(h)
			require.Empty(t, Audit(h))
		})
	}
}
