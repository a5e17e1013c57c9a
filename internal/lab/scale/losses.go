package scale

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"topazfall/internal/lab/client"
	"topazfall/internal/lab/discoveryserver"
	"topazfall/internal/lab/host"
	"topazfall/internal/lab/program"
)

// WorkerLosses measures what the loss of many workers at once costs: the list's part of it over the number that is lost,
// and what clients see while a part of those that serve is dead and still listed.
type WorkerLosses struct{}

const (
	figureLossTime  = "time until all know that workers are lost"
	figureLossCPU   = "processor time of a loss of workers"
	figureLossBytes = "bytes of a loss of workers"
	axisLost        = "workers lost at once"

	rackSize   = 40                            // assumed: workers of a rack
	zoneSize   = sizeWorkers / regions / zones // workers of a zone
	regionSize = sizeWorkers / regions

	// lossRate is of all real ones together: five times their part of the peak, in requests a second.
	lossRate    = 60.0
	unlistedFor = 2 * time.Second // assumed: until discovery has found out that workers are dead
)

// Name implements Measurement.
func (WorkerLosses) Name() string { return "loss of workers at once" }

// Measure implements Measurement.
func (l WorkerLosses) Measure(ctx context.Context, b *Bench) error {
	if err := l.listed(ctx, b); err != nil {
		return err
	}
	return l.served(ctx, b)
}

// listed measures what the news of a loss costs each dispatcher.
func (WorkerLosses) listed(ctx context.Context, b *Bench) error {
	in, err := b.start(ctx, Setup{Workers: sizeWorkers, Dispatchers: sizeDispatchers, Real: realCount,
		Simulated:  pick(b, 12, 40),
		PerProcess: pick(b, 6, 10), Teams: sizeTeams})
	if err != nil {
		return err
	}
	defer in.Close()
	length := pick(b, time.Second, 3*time.Second)
	quiet, err := in.MeasureWindow(ctx, 2*length, 0, nil)
	if err != nil {
		return err
	}
	for _, lost := range []int{1, rackSize, zoneSize / 2, zoneSize, regionSize} {
		gone := append([]discoveryserver.Entry(nil), in.entries[:lost]...)
		for i := range gone {
			gone[i].Health = "removed"
		}
		var known time.Duration
		w, err := in.MeasureWindow(ctx, length, 1/length.Seconds(), func() error {
			began := time.Now()
			in.list.Update(gone...)
			err := in.AwaitWorkers(ctx, sizeWorkers-lost, loading)
			known = time.Since(began)
			return err
		})
		if err != nil {
			return err
		}
		b.Add(figureLossTime, axisLost, "s", "all", float64(lost), known.Seconds())
		b.addEvents(figureLossCPU, figureLossBytes, axisLost, float64(lost), quiet, w)
		in.list.Update(in.entries[:lost]...)
		if err := in.AwaitWorkers(ctx, sizeWorkers, loading); err != nil {
			return err
		}
	}
	return nil
}

// deaths are the parts of the serving workers, one for each zone, that die at once.
var deaths = []struct {
	what string
	dead int
}{{"nobody", 0}, {"a zone", 1}, {"a region", zones}}

// served measures what clients see while a part of the workers is dead: they refuse connections, and are taken off
// the list some time later.
func (l WorkerLosses) served(ctx context.Context, b *Bench) error {
	for _, d := range pick(b, deaths[len(deaths)-1:], deaths) {
		s, err := startServing(ctx, b)
		if err != nil {
			return err
		}
		if err = l.die(ctx, b, s, d.dead); err != nil {
			err = fmt.Errorf("loss of %s: %w", d.what, err)
		}
		s.close()
		if err != nil {
			return err
		}
	}
	return nil
}

func (WorkerLosses) die(ctx context.Context, b *Bench, s *serving, dead int) error {
	deathAt := pick(b, time.Second, 2*time.Second)
	killing := time.AfterFunc(deathAt, func() { s.kill(dead) })
	defer killing.Stop()
	unlisting := time.AfterFunc(deathAt+unlistedFor, func() { s.unlist(dead) })
	defer unlisting.Stop()
	answers, err := s.play(ctx, lossRate, deathAt+2*unlistedFor)
	if err != nil {
		return err
	}
	var unserved, late, lastLate float64
	for _, a := range answers {
		if a.status != http.StatusOK {
			unserved++
		}
		if a.took > workTime+time.Second {
			late, lastLate = late+1, max(lastLate, a.due.Seconds()-deathAt.Seconds())
		}
	}
	b.Add("requests without a result, of 100, with the loss of part of the workers", "workers lost of 12", "%",
		fromReal, float64(dead),
		unserved/float64(len(answers))*100)
	b.Add("requests late by a second, of 100, with the loss of part of the workers", "workers lost of 12", "%",
		fromReal, float64(dead),
		late/float64(len(answers))*100)
	b.Add("time from the loss to the last late request", "workers lost of 12", "s", fromReal, float64(dead), lastLate)
	return nil
}

// serving is an installation of which a few workers run, one for each zone, and all others drain: the list has its
// size, and work goes to those that run.
type serving struct {
	in      *Installation
	workers []*host.Host
	entries []discoveryserver.Entry
	dead    atomic.Int64 // workers that have died, the first ones
}

func startServing(ctx context.Context, b *Bench) (s *serving, err error) {
	s = &serving{}
	if s.in, err = b.start(ctx, Setup{Workers: sizeWorkers - servingWorkers, Dispatchers: sizeDispatchers,
		Real: realCount, PerProcess: 1,
		Teams: sizeTeams, LiveWeights: true, Draining: true}); err != nil {
		return nil, err
	}
	for i := range servingWorkers {
		h, err := host.Start(host.Options{Name: fmt.Sprintf("serving-%02d", i), JobDuration: workTime}, s.backOf(i),
			"127.0.0.1:0")
		if err != nil {
			s.close()
			return nil, err
		}
		s.workers = append(s.workers, h)
		s.entries = append(s.entries, discoveryserver.Entry{Host: h.Name(), Dial: h.Addresses()[0],
			Site: s.in.entries[i].Site, Class: "small",
			Share: cores})
	}
	s.in.list.Update(s.entries...)
	if err := s.in.AwaitWorkers(ctx, sizeWorkers, loading); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *serving) close() {
	s.in.Close()
	for _, h := range s.workers {
		h.Close()
	}
}

// backOf brings the call-backs of a worker to the dispatchers, as long as it lives.
func (s *serving) backOf(worker int) func(body []byte) error {
	return func(body []byte) error {
		if int64(worker) < s.dead.Load() {
			return nil
		}
		return s.in.callBack(body)
	}
}

// kill makes the first few workers refuse connections, resets those that are there, and loses the work in hand there.
func (s *serving) kill(n int) {
	s.dead.Store(int64(n))
	for _, h := range s.workers[:n] {
		h.SetFault(0, host.Refuse)
	}
}

// unlist takes the first few workers off the list.
func (s *serving) unlist(n int) {
	for _, e := range s.entries[:n] {
		e.Health = "removed"
		s.in.list.Update(e)
	}
}

// answer is what became of a request.
type answer struct {
	due    time.Duration // from the beginning
	status int
	took   time.Duration // from when it was due to its answer
	start  time.Duration // from when it was due to the start at a worker
	begun  bool          // whether it was started at all
}

// play sends requests at a rate for so long, while the list changes, and returns what became of them.
func (s *serving) play(ctx context.Context, rate float64, length time.Duration) (answers []answer, err error) {
	var clients []*client.Client
	for i, p := range s.in.real {
		clients = append(clients, client.New(p.Address(), fmt.Sprintf("%s%.0f-", prefixOf(i), rate)))
	}
	var mu sync.Mutex
	var waiting sync.WaitGroup
	began, n := time.Now(), 0
	_, err = drive(ctx, length, rate, func() error {
		if n%int(max(rate/changeRate, 1)) == 0 {
			s.in.ReweightWorker()
		}
		c, due := clients[n%len(clients)], time.Now()
		n++
		waiting.Go(func() {
			a := s.ask(c, began, due)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		})
		return nil
	})
	waiting.Wait()
	return answers, err
}

func (s *serving) ask(c *client.Client, began, due time.Time) answer {
	id := c.NextID()
	got := c.Do(client.Message{ID: id, Class: program.Classes[0], Tenant: "team-000", Body: []byte("{}"),
		Timeout: urgentWait, Hint: workTime})
	a := answer{due: due.Sub(began), status: got.Status, took: time.Since(due)}
	if at, ok := startOf(s.workers, id); ok {
		a.start, a.begun = at.Sub(due), true
	}
	return a
}
