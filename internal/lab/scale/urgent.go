package scale

import (
	"context"
	"fmt"
	"strings"
	"time"

	"topazfall/internal/lab/host"
)

// UrgentStarts measures how soon jobs start at a worker (the start of urgent work, in reports), with real dispatchers
// that hold a list of full size while it changes.
type UrgentStarts struct{}

const (
	metricStart  = "time from a client's call to the start at a worker, 99.9th percentile"
	axisRequests = "requests a second"

	servingWorkers = regions * zonesPerRegion
	jobTime        = 200 * time.Millisecond
	urgentTimeout  = 10 * time.Second // how long a client waits
)

// Name implements Measurement.
func (UrgentStarts) Name() string { return "start of urgent work" }

// Measure implements Measurement.
func (UrgentStarts) Measure(ctx context.Context, b *Bench) error {
	s, err := startServing(ctx, b)
	if err != nil {
		return err
	}
	defer s.close()
	// The first rate is the real dispatchers' share of the starts at the peak.
	for _, rate := range []float64{peakStarts * realDispatchers / sizeDispatchers, 30, 60, 120} {
		results, err := s.sendRequests(ctx, rate, pick(b, 3*time.Second, 10*time.Second))
		if err != nil {
			return err
		}
		var starts []float64
		for _, result := range results {
			if result.started {
				starts = append(starts, result.startLatency.Seconds())
			}
		}
		b.Add(metricStart, axisRequests, "ms", sourceReal, rate, quantile(starts, 0.999)*1e3)
		b.AddBound(Bound{Name: fmt.Sprintf("urgent work without a start, of %d requests at %.0f a second",
			len(results), rate),
			Value: float64(len(results) - len(starts))})
		b.AddBound(Bound{Name: fmt.Sprintf("time until urgent work starts, p99.9 of %d at %.0f a second",
			len(starts), rate),
			Value: quantile(starts, 0.999), Max: maxUrgentStartSeconds, Unit: "s", IsWallClock: true})
	}
	return nil
}

// callBack passes a worker's callback to the dispatcher that the request id in the body names.
func (in *Installation) callBack(body []byte) error {
	for i, p := range in.realProcesses {
		if strings.Contains(string(body), idPrefix(i)) {
			return p.SendCallback(body)
		}
	}
	return fmt.Errorf("no dispatcher for the request id of the callback %s", body)
}

// idPrefix returns the beginning of the ids of requests to a dispatcher.
func idPrefix(dispatcher int) string { return fmt.Sprintf("u%d-", dispatcher) }

// firstStart returns when a request first arrived at a worker. It returns false if it arrived at none.
func firstStart(workers []*host.Host, id string) (first time.Time, ok bool) {
	for _, w := range workers {
		for _, s := range w.Arrivals(id) {
			if !ok || s.At.Before(first) {
				first, ok = s.At, true
			}
		}
	}
	return first, ok
}
