package srv

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"topazfall/internal/decide/sources"
)

const (
	maxStartDelay = 250 * time.Millisecond // random, so that dispatchers that start together spread their queries
	minRetryDelay = 250 * time.Millisecond
	maxRetryDelay = 5 * time.Second // short, so that the end of an outage is noticed soon
	maxLookupTime = 30 * time.Second
)

// Sink receives the result of each lookup of a name.
type Sink interface {
	Now() int64 // microseconds, on the clock of Record.Expires
	ApplyAnswer(name string, records []sources.Record)
	ApplyEmptyAnswer(name string)
	RecordFailure(name, fault string)
}

// Options are the resolvers and the limits of lookups.
type Options struct {
	Resolvers                []string      // IP:port
	Timeout                  time.Duration // of one query
	MinLifetime, MaxLifetime time.Duration // limits of record lifetimes
}

// Source looks up names repeatedly, each before its records expire.
type Source struct {
	sink Sink

	mu           sync.Mutex
	cancelByName map[string]context.CancelFunc
	wait         sync.WaitGroup
}

// New returns a source without names. Configure sets them.
func New(sink Sink) *Source {
	return &Source{sink: sink, cancelByName: map[string]context.CancelFunc{}}
}

// Configure replaces the options and the set of names, and starts lookups of all names anew.
func (s *Source) Configure(options Options, names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, stop := range s.cancelByName {
		stop()
	}
	clear(s.cancelByName)
	lookup := &lookup{resolverPool: newResolverPool(options.Resolvers, options.Timeout),
		minLifetime: options.MinLifetime, maxLifetime: options.MaxLifetime, cache: map[string]targetAddrs{}}
	for _, name := range names {
		ctx, stop := context.WithCancel(context.Background())
		s.cancelByName[name] = stop
		s.wait.Go(func() { s.poll(ctx, lookup, name) })
	}
}

// Close stops all lookups and waits for them to end.
func (s *Source) Close() {
	s.Configure(Options{}, nil)
	s.wait.Wait()
}

// sleep waits for a duration. It returns false if ctx ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// refreshDelay returns a random time before the end of the lifetime at which to repeat a lookup, so that dispatchers
// that made one at the same time do not stay in step. On average a name is looked up 1.1 times in a lifetime.
func refreshDelay(lifetime time.Duration) time.Duration {
	return lifetime*86/100 + rand.N(lifetime*10/100+1)
}

// poll looks up one name repeatedly until ctx ends.
func (s *Source) poll(ctx context.Context, lookup *lookup, name string) {
	if !sleep(ctx, rand.N(maxStartDelay)) {
		return
	}
	failures, reported := 0, ""
	for {
		queriedAt := s.sink.Now()
		lookupCtx, cancel := context.WithTimeout(ctx, maxLookupTime)
		result, err := lookup.find(lookupCtx, name)
		cancel()
		if ctx.Err() != nil {
			return
		}
		pause := refreshDelay(result.lifetime)
		switch {
		case err != nil:
			s.sink.RecordFailure(name, err.Error())
			pause = min(minRetryDelay<<min(failures, 10), maxRetryDelay)
			pause = pause/2 + rand.N(pause/2+1)
			failures++
		case result.empty:
			s.sink.ApplyEmptyAnswer(name)
		default:
			// Lifetimes count from the start of the lookup, as the answer may have taken long.
			for i := range result.records {
				result.records[i].Expires = queriedAt + result.lifetimes[i].Microseconds()
			}
			s.sink.ApplyAnswer(name, result.records)
		}
		if err == nil {
			failures = 0
		}
		if now := stateName(result, err); now != reported {
			reported = now
			slog.Info("sources", "name", name, "state", now, "hosts", len(result.records),
				"life_ms", result.lifetime.Milliseconds(), "error", err)
		}
		if !sleep(ctx, pause) {
			return
		}
	}
}

// stateName returns the name of a lookup's result in the log.
func stateName(result hostSet, err error) string {
	switch {
	case err != nil:
		return "failing"
	case result.empty:
		return "empty"
	}
	return "answered"
}
