package scale

import (
	"context"
	"fmt"
	"time"

	"topazfall/internal/lab/discoveryserver"
	"topazfall/internal/lab/program"
)

// Usage is what one process of an installation has used in a window, divided by the number of its dispatchers.
type Usage struct {
	Kind     dispatcherKind `json:"kind"`
	CPU      time.Duration  `json:"cpu_ns"`   // processor time in the window
	Resident float64        `json:"resident"` // bytes, at the end of the window
}

// Window holds the measurements of a period of time.
type Window struct {
	Length  time.Duration                `json:"length_ns"`
	Events  int                          `json:"events"` // events that the run caused at each dispatcher
	Usages  []Usage                      `json:"usages"` // one for each process
	Traffic map[dispatcherKind]Bandwidth `json:"traffic"`
}

// Bandwidth is what discovery sent and received, in bytes a second for each dispatcher.
type Bandwidth struct{ FromDiscovery, ToDiscovery float64 }

// Sum returns the bytes a second of both directions.
func (b Bandwidth) Sum() float64 { return b.FromDiscovery + b.ToDiscovery }

// MeasureWindow measures for the given time, while do is called at a rate (calls a second). It does not call do if the
// rate is 0.
func (in *Installation) MeasureWindow(ctx context.Context, length time.Duration, rate float64,
	do func() error) (w Window, err error) {
	before, err := in.usages()
	if err != nil {
		return w, err
	}
	trafficBefore := in.traffic()
	start := time.Now()
	w.Events, err = callAtRate(ctx, length, rate, do)
	if err != nil {
		return w, err
	}
	w.Length = time.Since(start)
	after, err := in.usages()
	if err != nil {
		return w, err
	}
	for i := range after {
		after[i].CPU -= before[i].CPU
	}
	w.Usages, w.Traffic = after, map[dispatcherKind]Bandwidth{}
	for k, now := range in.traffic() {
		if n := float64(in.dispatcherCount(k)); n > 0 {
			w.Traffic[k] = Bandwidth{float64(now.BytesOut-trafficBefore[k].BytesOut) / n / w.Length.Seconds(),
				float64(now.BytesIn-trafficBefore[k].BytesIn) / n / w.Length.Seconds()}
		}
	}
	return w, nil
}

// Minimum sizes in bytes of the parts of a response of discovery, by which ChangeAndAwait detects that a change was
// sent to all dispatchers, and the time limit for that.
const (
	minResponseHead  = 110
	minResponseEntry = 130
	sendTimeout      = 20 * time.Second
)

// ChangeAndAwait makes a change of the given number of entries and waits until discovery has sent it to all dispatchers
// of these kinds: a further change before that would be sent together with it, as one.
func (in *Installation) ChangeAndAwait(ctx context.Context, change func() error, entries int,
	kinds ...dispatcherKind) error {
	before := in.traffic()
	if err := change(); err != nil {
		return err
	}
	for end := time.Now().Add(sendTimeout); time.Now().Before(end); {
		now, all := in.traffic(), true
		for _, k := range kinds {
			all = all && now[k].BytesOut-before[k].BytesOut >=
				int64(in.dispatcherCount(k)*(minResponseHead+entries*minResponseEntry))
		}
		if all {
			return nil
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
	return fmt.Errorf("a change of %d entries was not sent to all dispatchers within %s", entries, sendTimeout)
}

// callAtRate calls do at a rate and returns the number of calls. It catches up on late calls, so that their number
// holds on a busy machine. The last part of the window has no calls, so that the dispatchers can handle the events.
func callAtRate(ctx context.Context, length time.Duration, rate float64, do func() error) (calls int, err error) {
	const idlePart = 0.1 // fraction of the window
	start := time.Now()
	active := time.Duration(float64(length) * (1 - idlePart))
	for total := int(rate * length.Seconds()); calls < total; calls++ {
		due := start.Add(active * time.Duration(calls) / time.Duration(total))
		if err := sleep(ctx, time.Until(due)); err != nil {
			return calls, err
		}
		if err := do(); err != nil {
			return calls, err
		}
	}
	return calls, sleep(ctx, time.Until(start.Add(length)))
}

// dispatcherCount returns how many dispatchers of a kind run.
func (in *Installation) dispatcherCount(k dispatcherKind) int {
	if k == realKind {
		return len(in.realProcesses)
	}
	return in.setup.Simulated
}

// usages returns what each process has used since its start, divided by the number of its dispatchers.
func (in *Installation) usages() (list []Usage, err error) {
	for _, p := range in.realProcesses {
		u, err := program.ReadUsage(p.PID())
		if err != nil {
			return nil, err
		}
		list = append(list, Usage{realKind, u.CPU, float64(u.ResidentBytes)})
	}
	for _, p := range in.simulatedProcesses {
		u, err := program.ReadUsage(p.cmd.Process.Pid)
		if err != nil {
			return nil, err
		}
		list = append(list, Usage{simulatedKind, u.CPU / time.Duration(p.count),
			float64(u.ResidentBytes) / float64(p.count)})
	}
	return list, nil
}

// traffic returns the bytes that discovery has sent to and received from each kind of dispatcher, over all regions.
func (in *Installation) traffic() map[dispatcherKind]discoveryserver.Traffic {
	sums := map[dispatcherKind]discoveryserver.Traffic{}
	for k, endpoints := range in.endpoints {
		var sum discoveryserver.Traffic
		for _, endpoint := range endpoints {
			t := endpoint.Traffic()
			sum.BytesIn, sum.BytesOut = sum.BytesIn+t.BytesIn, sum.BytesOut+t.BytesOut
		}
		sums[k] = sum
	}
	return sums
}

// costPerEvent returns the processor time in seconds of one event in each process of a kind: what the window took
// beyond an idle one, divided by its events.
func costPerEvent(idle, busy Window, k dispatcherKind) (list []float64) {
	if busy.Events == 0 {
		return nil
	}
	for i, u := range busy.Usages {
		if u.Kind == k {
			idleCPU := idle.Usages[i].CPU.Seconds() / idle.Length.Seconds() * busy.Length.Seconds()
			list = append(list, (u.CPU.Seconds()-idleCPU)/float64(busy.Events))
		}
	}
	return list
}
