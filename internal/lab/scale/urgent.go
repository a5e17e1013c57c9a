package scale

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"topazfall/internal/lab/client"
	"topazfall/internal/lab/discovery"
	"topazfall/internal/lab/host"
	"topazfall/internal/lab/program"
)

// Urgent measures how soon work begins at a worker, at real dispatchers that hold the whole list while it changes.
// All but a few workers drain, so that the list costs what it costs at its size and the work goes to stand-ins that
// run.
type Urgent struct{}

const (
	figureStart  = "time from a client's call to the start at a worker, 99.9th percentile"
	axisRequests = "requests a second"

	servingWorkers = 12
	workTime       = 200 * time.Millisecond
	urgentWait     = 10 * time.Second // of a client
)

// Name implements Measurement.
func (Urgent) Name() string { return "start of urgent work" }

// Measure implements Measurement.
func (u Urgent) Measure(ctx context.Context, b *Bench) error {
	in, err := b.start(ctx, Setup{Workers: sizeWorkers - servingWorkers, Dispatchers: sizeDispatchers,
		Real: realCount, PerProcess: 1,
		Teams: sizeTeams, LiveWeights: true, Draining: true})
	if err != nil {
		return err
	}
	defer in.Close()
	back := func(body []byte) error { return in.callBack(body) }
	workers := make([]*host.Host, servingWorkers)
	for i := range workers {
		h, err := host.Start(host.Options{Name: fmt.Sprintf("serving-%02d", i), Work: workTime}, back, "127.0.0.1:0")
		if err != nil {
			return err
		}
		defer h.Close()
		workers[i] = h
		in.list.Set(discovery.Entry{Host: h.Name(), Dial: h.Addresses()[0], Site: in.entries[i].Site,
			Class: "small", Share: cores})
	}
	if err := in.Await(ctx, sizeWorkers, loading); err != nil {
		return err
	}
	for _, rate := range []float64{startsAtPeak * realCount / sizeDispatchers, 30, 60,
		120} { // at all real ones together
		starts, unserved, err := u.play(ctx, b, in, workers, rate)
		if err != nil {
			return err
		}
		b.Add(figureStart, axisRequests, "ms", fromReal, rate, quantile(starts, 0.999)*1e3)
		b.Check(Bar{What: fmt.Sprintf("urgent work without a start, of %d requests at %.0f a second",
			len(starts)+unserved, rate),
			Value: float64(unserved), Most: 0})
		b.Check(Bar{What: fmt.Sprintf("time until urgent work starts, p99.9 of %d at %.0f a second", len(starts), rate),
			Value: quantile(starts, 0.999), Most: mostStarting, Unit: "s", Timed: true})
	}
	return nil
}

// callBack brings a worker's call-back to the dispatcher that its id names.
func (in *Installation) callBack(body []byte) error {
	for i, p := range in.real {
		if strings.Contains(string(body), prefixOf(i)) {
			return p.CallBack(body)
		}
	}
	return fmt.Errorf("no dispatcher has this id: %s", body)
}

// prefixOf begins the ids of the requests to a dispatcher.
func prefixOf(dispatcher int) string { return fmt.Sprintf("u%d-", dispatcher) }

// play sends requests at a rate while the list changes, and returns the times to their starts in seconds, from when
// each was to be sent, and how many had none.
func (Urgent) play(ctx context.Context, b *Bench, in *Installation, workers []*host.Host,
	rate float64) (starts []float64, unserved int,
	err error) {
	var clients []*client.Client
	for i, p := range in.real {
		clients = append(clients, client.New(p.Address(), prefixOf(i)+fmt.Sprintf("%.0f-", rate)))
	}
	var mu sync.Mutex
	var waiting sync.WaitGroup
	n := 0
	_, err = drive(ctx, pick(b, 3*time.Second, 10*time.Second), rate, func() error {
		if n%int(max(rate/changeRate, 1)) == 0 {
			in.Touch()
		}
		c, due := clients[n%len(clients)], time.Now()
		n++
		waiting.Go(func() {
			m := client.Message{ID: c.NextID(), Class: program.Classes[0], Tenant: "team-000", Body: []byte("{}"),
				Wait: urgentWait, Hint: workTime}
			c.Do(m)
			start, ok := startOf(workers, m.ID)
			mu.Lock()
			defer mu.Unlock()
			if !ok {
				unserved++
				return
			}
			starts = append(starts, start.Sub(due).Seconds())
		})
		return nil
	})
	waiting.Wait()
	return starts, unserved, err
}

// startOf is when a request first came to a worker.
func startOf(workers []*host.Host, id string) (first time.Time, ok bool) {
	for _, w := range workers {
		for _, s := range w.Seen(id) {
			if !ok || s.At.Before(first) {
				first, ok = s.At, true
			}
		}
	}
	return first, ok
}
