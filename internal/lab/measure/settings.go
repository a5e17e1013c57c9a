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

// SettingsOptions say how the settings are measured.
type SettingsOptions struct {
	AgentPath string
	Seed      uint64
	Kills     int
}

// Settings measures the settings of an agent: many writers at once, and kills in the middle of taking one.
func Settings(ctx context.Context, o SettingsOptions, w io.Writer) (*report.Report, error) {
	if o.Kills < 1 || o.Kills > 10_000 {
		return nil, fmt.Errorf("kills is %d, not within 1 to 10000", o.Kills)
	}
	dir, err := os.MkdirTemp("", "topazlab")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	list, err := discoveryserver.Start()
	if err != nil {
		return nil, err
	}
	defer list.Close()
	list.Update(discoveryserver.Entry{Host: "h", Dial: "127.0.0.1:9", Site: "hall-a", Class: "small", Share: 1})
	r := report.New("settings", o.Seed, "measurement", "figure", "unit")
	fmt.Fprintln(w, "32 writers and 8 watchers")
	if err := measureWriters(ctx, o, dir, list.Address(), r); err != nil {
		return nil, err
	}
	fmt.Fprintf(w, "%d kills\n", o.Kills)
	return r, measureKills(ctx, o, dir, list.Address(), r, w)
}

// numbered is a document that tells which revision it is to be: two fields that must agree.
func numbered(n uint64) *pb.Settings {
	return &pb.Settings{Sources: &pb.Sources{Hold: durationpb.New(time.Duration(n) * time.Millisecond)},
		Addresses: &pb.Addresses{Calm: durationpb.New(time.Duration(n) * time.Millisecond)}}
}

// whole tells whether a revision is the document of its number, and no mixture.
func whole(r *pb.Revision) bool {
	if r.GetNumber() == 0 {
		return true
	}
	want := time.Duration(r.Number) * time.Millisecond
	return r.GetSettings().GetSources().GetHold().AsDuration() == want &&
		r.GetSettings().GetAddresses().GetCalm().AsDuration() == want
}

func measureWriters(ctx context.Context, o SettingsOptions, dir, roster string, r *report.Report) error {
	a, err := startAgent(o.AgentPath, dir, "writers", roster)
	if err != nil {
		return err
	}
	defer a.Kill()
	const writers, each, watchers = 32, 10, 8
	ctx, cancel := context.WithTimeout(ctx, 2*time.Minute)
	defer cancel()
	var writing, watching sync.WaitGroup
	var mu sync.Mutex
	turned, odd, missed := 0, 0, 0
	for range watchers {
		stream, err := a.API.Watch(ctx, connect.NewRequest(&pb.WatchRequest{}))
		if err != nil {
			return err
		}
		watching.Go(func() {
			defer stream.Close()
			last := uint64(0)
			for last < writers*each && stream.Receive() {
				n := stream.Msg().Revision
				mu.Lock()
				if last != 0 && n.Number != last+1 {
					missed++
				}
				if !whole(n) {
					odd++
				}
				mu.Unlock()
				last = n.Number
			}
			if last != writers*each {
				mu.Lock()
				missed++
				mu.Unlock()
			}
		})
	}
	began := time.Now()
	for range writers {
		writing.Go(func() {
			for done := 0; done < each && ctx.Err() == nil; {
				now, err := a.API.Get(ctx, connect.NewRequest(&pb.GetRequest{}))
				if err != nil {
					return
				}
				from := now.Msg.Revision.GetNumber()
				next := &pb.ApplyRequest{From: from, Settings: numbered(from + 1)}
				if _, err := a.API.Apply(ctx, connect.NewRequest(next)); err == nil {
					done++
					continue
				}
				mu.Lock()
				turned++
				mu.Unlock()
			}
		})
	}
	writing.Wait()
	took := time.Since(began)
	watching.Wait()
	r.AddRow("revisions taken of 32 writers", writers*each, "")
	r.AddRow("turned down, as another came between", turned, "")
	r.AddRow("revisions a second", float64(writers*each)/took.Seconds(), "1/s")
	r.AddBound("revisions that a watcher did not see once and in order", float64(missed), 0, "")
	r.AddBound("revisions that are a mixture", float64(odd), 0, "")
	return nil
}

func measureKills(ctx context.Context, o SettingsOptions, dir, roster string, r *report.Report, w io.Writer) error {
	chance := rand.New(rand.NewPCG(o.Seed, 1))
	acknowledged, lost, mixed, ahead, slowest := uint64(0), 0, 0, 0, time.Duration(0)
	for i := range o.Kills {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		began := time.Now()
		a, err := startAgent(o.AgentPath, dir, "kills", roster)
		if err != nil {
			return fmt.Errorf("after kill %d: %w", i, err)
		}
		slowest = max(slowest, time.Since(began))
		got, err := a.API.Get(ctx, connect.NewRequest(&pb.GetRequest{}))
		if err != nil {
			a.Kill()
			return err
		}
		now := got.Msg.Revision
		switch {
		case now.GetNumber() < acknowledged:
			lost++
		case now.GetNumber() == acknowledged+1:
			ahead++ // taken, and not yet acknowledged
		case now.GetNumber() > acknowledged+1:
			mixed++
		}
		if !whole(now) {
			mixed++
		}
		acknowledged = now.GetNumber()
		kill := time.AfterFunc(time.Duration(chance.Int64N(int64(20*time.Millisecond))), a.Kill)
		for {
			next := &pb.ApplyRequest{From: acknowledged, Settings: numbered(acknowledged + 1)}
			if _, err := a.API.Apply(ctx, connect.NewRequest(next)); err != nil {
				break
			}
			acknowledged++
		}
		if kill.Stop() {
			a.Kill()
			return fmt.Errorf("kill %d: an agent that was not killed takes nothing", i)
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
	r.AddBound("snapshots that are neither the one before nor after", float64(mixed), 0, "")
	return nil
}
