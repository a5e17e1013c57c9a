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

// WorkerLosses measures what the loss of many workers at once costs: the cost of the list change over the number of
// lost workers, and what clients see while some of the serving workers are dead and still listed.
type WorkerLosses struct{}

const (
	metricLossTime  = "time until all know that workers are lost"
	metricLossCPU   = "processor time of a loss of workers"
	metricLossBytes = "bytes of a loss of workers"
	axisLost        = "workers lost at once"

	lostRackSize = 40                                     // assumed number of workers that are lost with a rack
	zoneSize     = sizeWorkers / regions / zonesPerRegion // workers in a zone
	regionSize   = sizeWorkers / regions

	// lossRate is the rate of requests, in requests a second, to all real dispatchers together: five times their share
	// of the peak.
	lossRate    = 60.0
	unlistDelay = 2 * time.Second // assumed time until discovery detects that workers are dead
)

// Name implements Measurement.
func (WorkerLosses) Name() string { return "loss of workers at once" }

// Measure implements Measurement.
func (l WorkerLosses) Measure(ctx context.Context, b *Bench) error {
	if err := l.measureListCost(ctx, b); err != nil {
		return err
	}
	return l.measureServing(ctx, b)
}

// measureListCost measures what the list change of a loss costs each dispatcher.
func (WorkerLosses) measureListCost(ctx context.Context, b *Bench) error {
	in, err := b.startInstallation(ctx, Setup{Workers: sizeWorkers, Dispatchers: sizeDispatchers, Real: realDispatchers,
		Simulated:  pick(b, 12, 40),
		PerProcess: pick(b, 6, 10), Teams: sizeTeams})
	if err != nil {
		return err
	}
	defer in.Close()
	length := pick(b, time.Second, 3*time.Second)
	idle, err := in.MeasureWindow(ctx, 2*length, 0, nil)
	if err != nil {
		return err
	}
	for _, lost := range []int{1, lostRackSize, zoneSize / 2, zoneSize, regionSize} {
		removed := append([]discoveryserver.Entry(nil), in.entries[:lost]...)
		for i := range removed {
			removed[i].Health = "removed"
		}
		var known time.Duration
		w, err := in.MeasureWindow(ctx, length, 1/length.Seconds(), func() error {
			start := time.Now()
			in.discovery.Update(removed...)
			err := in.AwaitWorkers(ctx, sizeWorkers-lost, loadTimeout)
			known = time.Since(start)
			return err
		})
		if err != nil {
			return err
		}
		b.Add(metricLossTime, axisLost, "s", "all", float64(lost), known.Seconds())
		b.addEventCosts(metricLossCPU, metricLossBytes, axisLost, float64(lost), idle, w)
		in.discovery.Update(in.entries[:lost]...)
		if err := in.AwaitWorkers(ctx, sizeWorkers, loadTimeout); err != nil {
			return err
		}
	}
	return nil
}

// lossScenarios give the number of serving workers that die at once. There is one serving worker for each zone.
var lossScenarios = []struct {
	name string
	dead int
}{{"nobody", 0}, {"a zone", 1}, {"a region", zonesPerRegion}}

// measureServing measures what clients see while some of the workers are dead: these refuse connections, and are
// removed from the list after unlistDelay.
func (l WorkerLosses) measureServing(ctx context.Context, b *Bench) error {
	for _, d := range pick(b, lossScenarios[len(lossScenarios)-1:], lossScenarios) {
		s, err := startServing(ctx, b)
		if err != nil {
			return err
		}
		if err = l.measureLoss(ctx, b, s, d.dead); err != nil {
			err = fmt.Errorf("loss of %s: %w", d.name, err)
		}
		s.close()
		if err != nil {
			return err
		}
	}
	return nil
}

// measureLoss sends requests, and meanwhile kills the given number of workers. It adds the shares of requests without a
// result and of late ones, and the time from the loss to the last late one.
func (WorkerLosses) measureLoss(ctx context.Context, b *Bench, s *servingFleet, dead int) error {
	lossAt := pick(b, time.Second, 2*time.Second)
	killTimer := time.AfterFunc(lossAt, func() { s.kill(dead) })
	defer killTimer.Stop()
	unlistTimer := time.AfterFunc(lossAt+unlistDelay, func() { s.unlist(dead) })
	defer unlistTimer.Stop()
	results, err := s.sendRequests(ctx, lossRate, lossAt+2*unlistDelay)
	if err != nil {
		return err
	}
	var unserved, late, lastLate float64
	for _, result := range results {
		if result.status != http.StatusOK {
			unserved++
		}
		if result.latency > jobTime+time.Second {
			late, lastLate = late+1, max(lastLate, result.due.Seconds()-lossAt.Seconds())
		}
	}
	b.Add("requests without a result, of 100, with the loss of part of the workers", "workers lost of 12", "%",
		sourceReal, float64(dead),
		unserved/float64(len(results))*100)
	b.Add("requests late by a second, of 100, with the loss of part of the workers", "workers lost of 12", "%",
		sourceReal, float64(dead),
		late/float64(len(results))*100)
	b.Add("time from the loss to the last late request", "workers lost of 12", "s", sourceReal, float64(dead), lastLate)
	return nil
}

// servingFleet is an installation in which a few workers run, one for each zone, and all others drain: the list has its
// full size, and requests go only to the workers that run.
type servingFleet struct {
	installation *Installation
	workers      []*host.Host
	entries      []discoveryserver.Entry
	dead         atomic.Int64 // number of workers that have died: the first ones of workers
}

// startServing starts an installation with servingWorkers running workers and waits until all dispatchers know them.
func startServing(ctx context.Context, b *Bench) (s *servingFleet, err error) {
	s = &servingFleet{}
	if s.installation, err = b.startInstallation(ctx, Setup{Workers: sizeWorkers - servingWorkers,
		Dispatchers: sizeDispatchers,
		Real:        realDispatchers, PerProcess: 1,
		Teams: sizeTeams, LiveWeights: true, Draining: true}); err != nil {
		return nil, err
	}
	for i := range servingWorkers {
		h, err := host.Start(host.Options{Name: fmt.Sprintf("serving-%02d", i), JobDuration: jobTime}, s.callbackFor(i),
			"127.0.0.1:0")
		if err != nil {
			s.close()
			return nil, err
		}
		s.workers = append(s.workers, h)
		s.entries = append(s.entries, discoveryserver.Entry{Host: h.Name(), Dial: h.Addresses()[0],
			Site: s.installation.entries[i].Site, Class: "small",
			Share: workerCores})
	}
	s.installation.discovery.Update(s.entries...)
	if err := s.installation.AwaitWorkers(ctx, sizeWorkers, loadTimeout); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *servingFleet) close() {
	s.installation.Close()
	for _, h := range s.workers {
		h.Close()
	}
}

// callbackFor returns the callback function of a worker. It passes callbacks to the dispatchers as long as the worker
// is alive.
func (s *servingFleet) callbackFor(worker int) func(body []byte) error {
	return func(body []byte) error {
		if int64(worker) < s.dead.Load() {
			return nil
		}
		return s.installation.callBack(body)
	}
}

// kill makes the first n workers refuse connections, reset their open ones and lose their running jobs.
func (s *servingFleet) kill(n int) {
	s.dead.Store(int64(n))
	for _, h := range s.workers[:n] {
		h.SetFault(0, host.Refuse)
	}
}

// unlist removes the first n workers from the list.
func (s *servingFleet) unlist(n int) {
	for _, e := range s.entries[:n] {
		e.Health = "removed"
		s.installation.discovery.Update(e)
	}
}

// requestResult is the outcome of a request.
type requestResult struct {
	due          time.Duration // since the start of the measurement
	status       int
	latency      time.Duration // from the due time to the answer
	startLatency time.Duration // from the due time to the start at a worker
	started      bool          // whether a worker started it
}

// sendRequests sends requests at a rate for the given time, while the list changes, and returns their results.
func (s *servingFleet) sendRequests(ctx context.Context, rate float64, length time.Duration) (results []requestResult,
	err error) {
	var clients []*client.Client
	for i, p := range s.installation.realProcesses {
		clients = append(clients, client.New(p.Address(), fmt.Sprintf("%s%.0f-", idPrefix(i), rate)))
	}
	var mu sync.Mutex
	var pending sync.WaitGroup
	start, n := time.Now(), 0
	_, err = callAtRate(ctx, length, rate, func() error {
		if n%int(max(rate/changeRate, 1)) == 0 {
			s.installation.ReweightWorker()
		}
		c, due := clients[n%len(clients)], time.Now()
		n++
		pending.Go(func() {
			result := s.sendRequest(c, start, due)
			mu.Lock()
			defer mu.Unlock()
			results = append(results, result)
		})
		return nil
	})
	pending.Wait()
	return results, err
}

// sendRequest sends one request and returns its result, with the time of its start at a worker.
func (s *servingFleet) sendRequest(c *client.Client, start, due time.Time) requestResult {
	id := c.NextID()
	response := c.Do(client.Message{ID: id, Class: program.Classes[0], Tenant: "team-000", Body: []byte("{}"),
		Timeout: urgentTimeout, Hint: jobTime})
	result := requestResult{due: due.Sub(start), status: response.Status, latency: time.Since(due)}
	if at, ok := firstStart(s.workers, id); ok {
		result.startLatency, result.started = at.Sub(due), true
	}
	return result
}
