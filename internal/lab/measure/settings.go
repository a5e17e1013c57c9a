package measure

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "topazfall/internal/control/controlpb"
	"topazfall/internal/lab/discoveryserver"
	"topazfall/internal/lab/report"
)

// SettingsOptions are the settings of Settings.
type SettingsOptions struct {
	AgentPath string // the agent's binary
	Seed      uint64
	Kills     int // how often the agent is killed
}

// Settings measures how an agent applies settings. First many writers apply revisions at the same time. Then the agent
// is killed repeatedly while it saves a revision, and must not lose one that it has acknowledged. Progress is written
// to w.
func Settings(ctx context.Context, o SettingsOptions, w io.Writer) (*report.Report, error) {
	if o.Kills < 1 || o.Kills > 10_000 {
		return nil, fmt.Errorf("kills is %d, not within 1 to 10000", o.Kills)
	}
	dir, err := os.MkdirTemp("", "topazlab")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	discovery, err := discoveryserver.Start()
	if err != nil {
		return nil, err
	}
	defer discovery.Close()
	discovery.Update(discoveryserver.Entry{Host: "h", Dial: "127.0.0.1:9", Site: "hall-a", Class: "small", Share: 1})
	r := report.New("settings", o.Seed, "measurement", "figure", "unit")
	fmt.Fprintln(w, "32 writers and 8 watchers")
	if err := measureWriters(ctx, o, dir, discovery.Address(), r); err != nil {
		return nil, err
	}
	fmt.Fprintf(w, "%d kills\n", o.Kills)
	return r, measureKills(ctx, o, dir, discovery.Address(), r, w)
}

// numberedSettings returns settings for revision n, with that number in two fields, so that a mixture of two revisions
// shows.
func numberedSettings(n uint64) *pb.Settings {
	return &pb.Settings{Sources: &pb.Sources{Hold: durationpb.New(time.Duration(n) * time.Millisecond)},
		Addresses: &pb.Addresses{Calm: durationpb.New(time.Duration(n) * time.Millisecond)}}
}

// isConsistent reports whether a revision holds the settings of its number, and no mixture of two revisions.
func isConsistent(r *pb.Revision) bool {
	if r.GetNumber() == 0 {
		return true
	}
	want := time.Duration(r.Number) * time.Millisecond
	return r.GetSettings().GetSources().GetHold().AsDuration() == want &&
		r.GetSettings().GetAddresses().GetCalm().AsDuration() == want
}

// measureWriters lets 32 writers apply revisions at the same time, and 8 watchers check that each sees every revision
// once and in order.
func measureWriters(ctx context.Context, o SettingsOptions, dir, discoveryAddress string, r *report.Report) error {
	a, err := startAgent(o.AgentPath, dir, "writers", discoveryAddress)
	if err != nil {
		return err
	}
	defer a.Kill()
	const writers, perWriter, watchers = 32, 10, 8 // perWriter: revisions
	ctx, cancel := context.WithTimeout(ctx, 2*time.Minute)
	defer cancel()
	var writing, watching sync.WaitGroup
	var mu sync.Mutex
	rejected, inconsistent, missed := 0, 0, 0
	for range watchers {
		stream, err := a.API.Watch(ctx, connect.NewRequest(&pb.WatchRequest{}))
		if err != nil {
			return err
		}
		watching.Go(func() {
			defer stream.Close()
			last := uint64(0)
			for last < writers*perWriter && stream.Receive() {
				revision := stream.Msg().Revision
				mu.Lock()
				if last != 0 && revision.Number != last+1 {
					missed++
				}
				if !isConsistent(revision) {
					inconsistent++
				}
				mu.Unlock()
				last = revision.Number
			}
			if last != writers*perWriter {
				mu.Lock()
				missed++
				mu.Unlock()
			}
		})
	}
	start := time.Now()
	for range writers {
		writing.Go(func() {
			for done := 0; done < perWriter && ctx.Err() == nil; {
				current, err := a.API.Get(ctx, connect.NewRequest(&pb.GetRequest{}))
				if err != nil {
					return
				}
				from := current.Msg.Revision.GetNumber()
				next := &pb.ApplyRequest{From: from, Settings: numberedSettings(from + 1)}
				if _, err := a.API.Apply(ctx, connect.NewRequest(next)); err == nil {
					done++
					continue
				}
				mu.Lock()
				rejected++
				mu.Unlock()
			}
		})
	}
	writing.Wait()
	elapsed := time.Since(start)
	watching.Wait()
	r.AddRow("revisions taken of 32 writers", writers*perWriter, "")
	r.AddRow("turned down, as another came between", rejected, "")
	r.AddRow("revisions a second", float64(writers*perWriter)/elapsed.Seconds(), "1/s")
	r.AddBound("revisions that a watcher did not see once and in order", float64(missed), 0, "")
	r.AddBound("revisions that are a mixture", float64(inconsistent), 0, "")
	return nil
}

// measureKills kills the agent at random times while revisions are applied, starts it again, and checks that it lost no
// acknowledged revision.
func measureKills(ctx context.Context, o SettingsOptions, dir, discoveryAddress string, r *report.Report,
	w io.Writer) error {
	random := rand.New(rand.NewPCG(o.Seed, 1))
	acknowledged, lost, inconsistent, ahead, slowest := uint64(0), 0, 0, 0, time.Duration(0)
	for i := range o.Kills {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		start := time.Now()
		a, err := startAgent(o.AgentPath, dir, "kills", discoveryAddress)
		if err != nil {
			return fmt.Errorf("after kill %d: %w", i, err)
		}
		slowest = max(slowest, time.Since(start))
		got, err := a.API.Get(ctx, connect.NewRequest(&pb.GetRequest{}))
		if err != nil {
			a.Kill()
			return err
		}
		current := got.Msg.Revision
		switch {
		case current.GetNumber() < acknowledged:
			lost++
		case current.GetNumber() == acknowledged+1:
			ahead++ // saved, but not acknowledged before the kill
		case current.GetNumber() > acknowledged+1:
			inconsistent++
		}
		if !isConsistent(current) {
			inconsistent++
		}
		acknowledged = current.GetNumber()
		kill := time.AfterFunc(time.Duration(random.Int64N(int64(20*time.Millisecond))), a.Kill)
		for {
			next := &pb.ApplyRequest{From: acknowledged, Settings: numberedSettings(acknowledged + 1)}
			if _, err := a.API.Apply(ctx, connect.NewRequest(next)); err != nil {
				break
			}
			acknowledged++
		}
		if kill.Stop() {
			a.Kill()
			return fmt.Errorf("kill %d: the agent rejected a revision before it was killed", i)
		}
		a.Kill()
		if (i+1)%50 == 0 {
			fmt.Fprintf(w, "%d of %d\n", i+1, o.Kills)
		}
	}
	r.AddRow("kills while revisions were taken", o.Kills, "")
	r.AddRow("revisions acknowledged", acknowledged, "")
	r.AddRow("found taken and not yet acknowledged", ahead, "")
	r.AddRow("slowest start", slowest.Seconds()*1000, "ms")
	r.AddBound("acknowledged revisions lost", float64(lost), 0, "")
	r.AddBound("snapshots that are neither the one before nor after", float64(inconsistent), 0, "")
	return nil
}
