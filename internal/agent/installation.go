package agent

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"topazfall/internal/configsync"
	"topazfall/internal/control"
	pb "topazfall/internal/control/controlpb"
	"topazfall/internal/decide/configlog"
	"topazfall/internal/settings"
)

// appliedKey is the entry that says when a revision was asked for: no two are the same, so that a document that changes
// nothing is a revision too.
const appliedKey = "applied"

// localTime bounds the wait for a committed revision to come into force at the origin that has answered for it.
const localTime = 2 * time.Second

// Where nothing was done, as while the origins have no leader, an Apply is tried again at these times: elections take
// about as long.
const (
	againWithin = 3 * time.Second
	againEvery  = 100 * time.Millisecond
)

// installation is an instance's place among those that share their settings.
type installation struct {
	sync   *configsync.Sync
	roster *configsync.Roster
	store  *settings.Store
}

// Take brings a committed revision into force here.
func (i *installation) ApplyRevision(r configlog.Revision, entries map[string][]byte) (since time.Time, err error) {
	doc, err := settings.FromEntries(entries)
	if err != nil {
		return since, err
	}
	return i.store.ApplyManaged(revisionOf(r, doc))
}

// revisionOf is a revision of the log as the store has it.
func revisionOf(r configlog.Revision, doc *pb.Settings) *pb.Revision {
	return &pb.Revision{Number: r.Number, Epoch: r.Epoch.String(), Settings: doc, Taken: timestamppb.Now()}
}

// Apply has the origins make a revision, and answers when it is committed.
func (i *installation) Apply(ctx context.Context, doc *pb.Settings, from uint64) (*pb.Revision, error) {
	if !i.sync.IsOrigin() {
		return nil, control.NotOriginError{Origins: i.roster.Origins()}
	}
	entries, err := changed(doc, time.Now())
	if err != nil {
		return nil, err
	}
	result, err := i.applyPatiently(ctx, from, entries)
	if err != nil {
		return nil, err
	}
	switch result.Outcome {
	case configlog.Committed:
		r := revisionOf(result.Revision, doc)
		i.waitFor(ctx, r.Number)
		return r, nil
	case configlog.Stale:
		return nil, settings.StaleError{From: from, InForce: result.Revision.Number}
	case configlog.Unknown:
		return nil, control.ErrOutcomeUnknown
	case configlog.Invalid:
		return nil, settings.Faults{{Path: "settings", Text: fmt.Sprintf(
			"the change is beyond %d bytes, or the document beyond %d", configlog.MaxChange, configlog.MaxDocument)}}
	}
	return nil, fmt.Errorf("nothing was done: %s", result.Outcome)
}

// applyPatiently tries again as long as nothing was done.
func (i *installation) applyPatiently(ctx context.Context, from uint64,
	entries map[string][]byte) (configlog.Result, error) {
	for end := time.Now().Add(againWithin); ; {
		result, err := i.sync.Apply(ctx, from, entries)
		if err != nil || time.Now().After(end) {
			return result, err
		}
		switch result.Outcome {
		case configlog.Unavailable, configlog.NotLeader, configlog.Busy:
		default:
			return result, nil
		}
		select {
		case <-ctx.Done():
			return result, nil
		case <-time.After(againEvery):
		}
	}
}

// waitFor waits until a revision, or a newer one, is in force here, so that whoever was told of it finds it.
func (i *installation) waitFor(ctx context.Context, number uint64) {
	ctx, cancel := context.WithTimeout(ctx, localTime)
	defer cancel()
	for {
		now, _ := i.store.Current()
		if now.Number >= number {
			return
		}
		if _, err := i.store.NextAfter(ctx, now.Number); err != nil {
			return
		}
	}
}

// changed returns the entries of a document. Its errors are settings.Faults, and that of the encoding.
func changed(doc *pb.Settings, now time.Time) (map[string][]byte, error) {
	if faults := settings.Check(doc); len(faults) > 0 {
		return nil, faults
	}
	entries, err := settings.ToEntries(doc)
	if err != nil {
		return nil, err
	}
	var faults settings.Faults
	for _, key := range slices.Sorted(maps.Keys(entries)) {
		if len(key) > configlog.MaxKey || len(entries[key]) > configlog.MaxValue {
			text := fmt.Sprintf("is too large to be shared: names have at most %d bytes, parts %d", configlog.MaxKey,
				configlog.MaxValue)
			faults = append(faults, settings.Fault{Path: key, Text: text})
		}
	}
	if len(faults) > 0 {
		return nil, faults
	}
	entries[appliedKey], err = proto.Marshal(timestamppb.New(now))
	return entries, err
}

// Instances asks every instance what it holds.
func (i *installation) Instances(ctx context.Context) *pb.InstancesResponse {
	answers := i.sync.StatusAll(ctx)
	out := &pb.InstancesResponse{}
	var since int64
	for _, a := range answers {
		s := a.Status
		if s == nil || s.Revision < out.Newest {
			continue
		}
		if s.Revision > out.Newest || since == 0 || s.SinceUs < since {
			out.Newest, since = s.Revision, s.SinceUs
		}
	}
	if since > 0 {
		out.NewestSince = timestamppb.New(time.UnixMicro(since))
	}
	for _, a := range answers {
		out.Instances = append(out.Instances, instanceOf(a, out.Newest, since))
	}
	return out
}

func instanceOf(a configsync.InstanceStatus, newest uint64, newestSince int64) *pb.Instance {
	one := &pb.Instance{Name: a.Member.Name, Region: a.Member.Region, Zone: a.Member.Zone, Role: a.Member.Role}
	if one.Role == "" {
		one.Role = "follower"
	}
	if a.Status == nil {
		one.Fault = a.Err.Error()
		return one
	}
	s := a.Status
	one.Answered, one.Revision, one.Leader, one.Sources, one.Fault = true, s.Revision, s.Leader, s.Sources, s.Fault
	one.Voting = s.Voting
	if s.SinceUs > 0 {
		one.Since = timestamppb.New(time.UnixMicro(s.SinceUs))
	}
	if s.SilentUs >= 0 {
		one.Silent = durationpb.New(time.Duration(s.SilentUs) * time.Microsecond)
	}
	if one.Behind = newest - s.Revision; one.Behind > 0 && newestSince > 0 {
		one.BehindFor = durationpb.New(max(time.Since(time.UnixMicro(newestSince)), 0))
	}
	return one
}
