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
	firstWait  = 250 * time.Millisecond // dispatchers that start together do not ask together
	retryLeast = 250 * time.Millisecond
	retryMost  = 5 * time.Second // so that an end of an outage is soon seen
	longest    = 30 * time.Second
)

// Sink is told what becomes of each name.
type Sink interface {
	Now() int64 // microseconds; what expires does so on this clock
	ApplyAnswer(name string, records []sources.Record)
	ApplyEmptyAnswer(name string)
	RecordFailure(name, fault string)
}

// Options say whom to ask, and how.
type Options struct {
	Resolvers                []string // IP:port
	Timeout                  time.Duration
	MinLifetime, MaxLifetime time.Duration // bounds on lifetimes
}

// Source keeps asking for names, each before its lifetime ends.
type Source struct {
	sink Sink

	mu    sync.Mutex
	names map[string]context.CancelFunc
	wait  sync.WaitGroup
}

// New returns a source that asks for nothing yet.
func New(sink Sink) *Source { return &Source{sink: sink, names: map[string]context.CancelFunc{}} }

// Configure asks for these names from now on, and for no others.
func (s *Source) Configure(o Options, names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, stop := range s.names {
		stop()
	}
	clear(s.names)
	l := &lookup{resolvers: newResolvers(o.Resolvers, o.Timeout), least: o.MinLifetime, most: o.MaxLifetime,
		places: map[string]place{}}
	for _, name := range names {
		ctx, stop := context.WithCancel(context.Background())
		s.names[name] = stop
		s.wait.Go(func() { s.follow(ctx, l, name) })
	}
}

// Close asks for nothing more.
func (s *Source) Close() {
	s.Configure(Options{}, nil)
	s.wait.Wait()
}

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

// refresh is when to ask again: before the lifetime ends, by chance, so that dispatchers that have asked together do
// not go on so. On the average a name is asked for 1.1 times in a lifetime.
func refresh(life time.Duration) time.Duration {
	return life*86/100 + rand.N(life*10/100+1)
}

// follow asks for one name until ctx ends.
func (s *Source) follow(ctx context.Context, l *lookup, name string) {
	if !sleep(ctx, rand.N(firstWait)) {
		return
	}
	failures, said := 0, ""
	for {
		asked := s.sink.Now()
		limited, cancel := context.WithTimeout(ctx, longest)
		f, err := l.find(limited, name)
		cancel()
		if ctx.Err() != nil {
			return
		}
		pause := refresh(f.life)
		switch {
		case err != nil:
			s.sink.RecordFailure(name, err.Error())
			pause = min(retryLeast<<min(failures, 10), retryMost)
			pause = pause/2 + rand.N(pause/2+1)
			failures++
		case f.empty:
			s.sink.ApplyEmptyAnswer(name)
		default:
			for i := range f.records { // from when it was asked for: it may have been on its way for long
				f.records[i].Expires = asked + f.lives[i].Microseconds()
			}
			s.sink.ApplyAnswer(name, f.records)
		}
		if err == nil {
			failures = 0
		}
		if now := state(f, err); now != said {
			said = now
			slog.Info("sources", "name", name, "state", now, "hosts", len(f.records), "life_ms", f.life.Milliseconds(),
				"error", err)
		}
		if !sleep(ctx, pause) {
			return
		}
	}
}

func state(f found, err error) string {
	switch {
	case err != nil:
		return "failing"
	case f.empty:
		return "empty"
	}
	return "answered"
}
