package scale

import (
	"context"
	"fmt"
	"strings"
	"time"

	"topazfall/internal/lab/host"
)

// UrgentStarts measures how soon work begins at a worker, at real dispatchers that hold the whole list while it changes.
type UrgentStarts struct{}

const (
	figureStart  = "time from a client's call to the start at a worker, 99.9th percentile"
	axisRequests = "requests a second"

	servingWorkers = regions * zones
	workTime       = 200 * time.Millisecond
	urgentWait     = 10 * time.Second // of a client
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
	// The first rate is the part that the real dispatchers have of the starts at the peak.
	for _, rate := range []float64{startsAtPeak * realCount / sizeDispatchers, 30, 60, 120} {
		answers, err := s.play(ctx, rate, pick(b, 3*time.Second, 10*time.Second))
		if err != nil {
			return err
		}
		var starts []float64
		for _, a := range answers {
			if a.begun {
				starts = append(starts, a.start.Seconds())
			}
		}
		b.Add(figureStart, axisRequests, "ms", fromReal, rate, quantile(starts, 0.999)*1e3)
		b.AddBound(Bound{Name: fmt.Sprintf("urgent work without a start, of %d requests at %.0f a second",
			len(answers), rate),
			Value: float64(len(answers) - len(starts))})
		b.AddBound(Bound{Name: fmt.Sprintf("time until urgent work starts, p99.9 of %d at %.0f a second", len(starts), rate),
			Value: quantile(starts, 0.999), Max: mostStarting, Unit: "s", IsWallClock: true})
	}
	return nil
}

// callBack brings a worker's call-back to the dispatcher that its id names.
func (in *Installation) callBack(body []byte) error {
	for i, p := range in.real {
		if strings.Contains(string(body), prefixOf(i)) {
			return p.SendCallback(body)
		}
	}
	return fmt.Errorf("no dispatcher has this id: %s", body)
}

// prefixOf begins the ids of the requests to a dispatcher.
func prefixOf(dispatcher int) string { return fmt.Sprintf("u%d-", dispatcher) }

// startOf is when a request first came to a worker.
func startOf(workers []*host.Host, id string) (first time.Time, ok bool) {
	for _, w := range workers {
		for _, s := range w.Arrivals(id) {
			if !ok || s.At.Before(first) {
				first, ok = s.At, true
			}
		}
	}
	return first, ok
}
