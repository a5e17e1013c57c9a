package scale

import (
	"context"
	"fmt"
	"time"

	"topazfall/internal/lab/discoveryserver"
	"topazfall/internal/lab/program"
)

// Usage is what one process of an installation has used in a window, for each dispatcher that it holds.
type Usage struct {
	Kind     kind          `json:"kind"`
	CPU      time.Duration `json:"cpu_ns"`   // processor time in the window
	Resident float64       `json:"resident"` // bytes at its end
}

// Window is what was measured over a stretch of time.
type Window struct {
	Length  time.Duration      `json:"length_ns"`
	Events  int                `json:"events"` // that the run brought to each dispatcher
	Usages  []Usage            `json:"usages"` // by process
	Traffic map[kind]Bandwidth `json:"traffic"`
}

// Bandwidth is what discovery sent and was sent, in bytes a second for each dispatcher.
type Bandwidth struct{ FromDiscovery, ToDiscovery float64 }

// Sum is both directions.
func (b Bandwidth) Sum() float64 { return b.FromDiscovery + b.ToDiscovery }

// MeasureWindow measures for so long, while do is called so often a second; a rate of 0 calls nothing.
func (in *Installation) MeasureWindow(ctx context.Context, length time.Duration, rate float64, do func() error) (w Window,
	err error) {
	before, err := in.usages()
	if err != nil {
		return w, err
	}
	traffic := in.traffic()
	began := time.Now()
	w.Events, err = drive(ctx, length, rate, do)
	if err != nil {
		return w, err
	}
	w.Length = time.Since(began)
	after, err := in.usages()
	if err != nil {
		return w, err
	}
	for i := range after {
		after[i].CPU -= before[i].CPU
	}
	w.Usages, w.Traffic = after, map[kind]Bandwidth{}
	for k, now := range in.traffic() {
		if n := float64(in.count(k)); n > 0 {
			w.Traffic[k] = Bandwidth{float64(now.BytesOut-traffic[k].BytesOut) / n / w.Length.Seconds(),
				float64(now.BytesIn-traffic[k].BytesIn) / n / w.Length.Seconds()}
		}
	}
	return w, nil
}

// Least bytes of an answer of discovery, by which it is known that a change has gone to everybody.
const (
	leastHead  = 110
	leastEntry = 130
	goneLimit  = 20 * time.Second
)

// ChangeAndAwait makes a change of so many entries, and waits until discovery has sent it to all dispatchers of these kinds:
// further ones before that would reach them together with it, as one.
func (in *Installation) ChangeAndAwait(ctx context.Context, change func() error, entries int, kinds ...kind) error {
	before := in.traffic()
	if err := change(); err != nil {
		return err
	}
	for end := time.Now().Add(goneLimit); time.Now().Before(end); {
		now, all := in.traffic(), true
		for _, k := range kinds {
			all = all && now[k].BytesOut-before[k].BytesOut >= int64(in.count(k)*(leastHead+entries*leastEntry))
		}
		if all {
			return nil
		}
		if err := sleep(ctx, polling); err != nil {
			return err
		}
	}
	return fmt.Errorf("a change of %d entries has not gone to all dispatchers after %s", entries, goneLimit)
}

// drive calls do at a rate, and returns how often. What is late is made up for, so that the number holds on a busy
// machine; the last part of the window is left for the dispatchers to take what came.
func drive(ctx context.Context, length time.Duration, rate float64, do func() error) (calls int, err error) {
	const rest = 0.1 // of the window
	began := time.Now()
	active := time.Duration(float64(length) * (1 - rest))
	for want := int(rate * length.Seconds()); calls < want; calls++ {
		due := began.Add(active * time.Duration(calls) / time.Duration(want))
		if err := sleep(ctx, time.Until(due)); err != nil {
			return calls, err
		}
		if err := do(); err != nil {
			return calls, err
		}
	}
	return calls, sleep(ctx, time.Until(began.Add(length)))
}

// count is how many dispatchers of a kind run.
func (in *Installation) count(k kind) int {
	if k == realKind {
		return len(in.real)
	}
	return in.setup.Simulated
}

// usages are those of all processes since their start, for each of their dispatchers.
func (in *Installation) usages() (list []Usage, err error) {
	for _, p := range in.real {
		u, err := program.ReadUsage(p.PID())
		if err != nil {
			return nil, err
		}
		list = append(list, Usage{realKind, u.CPU, float64(u.ResidentBytes)})
	}
	for _, p := range in.hollow {
		u, err := program.ReadUsage(p.cmd.Process.Pid)
		if err != nil {
			return nil, err
		}
		list = append(list, Usage{hollowKind, u.CPU / time.Duration(p.count), float64(u.ResidentBytes) / float64(p.count)})
	}
	return list, nil
}

func (in *Installation) traffic() map[kind]discoveryserver.Traffic {
	sums := map[kind]discoveryserver.Traffic{}
	for k, doors := range in.doors {
		var sum discoveryserver.Traffic
		for _, door := range doors {
			t := door.Traffic()
			sum.BytesIn, sum.BytesOut = sum.BytesIn+t.BytesIn, sum.BytesOut+t.BytesOut
		}
		sums[k] = sum
	}
	return sums
}

// perEvent is the processor time of one event in each process of a kind: what the window took beyond a quiet one.
func perEvent(quiet, busy Window, k kind) (list []float64) {
	if busy.Events == 0 {
		return nil
	}
	for i, u := range busy.Usages {
		if u.Kind == k {
			idle := quiet.Usages[i].CPU.Seconds() / quiet.Length.Seconds() * busy.Length.Seconds()
			list = append(list, (u.CPU.Seconds()-idle)/float64(busy.Events))
		}
	}
	return list
}
