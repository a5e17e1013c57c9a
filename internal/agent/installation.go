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

// appliedKey is the entry with the time at which a revision was requested. It makes every change unique, so that
// applying an unchanged document creates a revision too.
const appliedKey = "applied"

// localApplyTimeout limits the wait until a committed revision has taken effect at the origin that created it.
const localApplyTimeout = 2 * time.Second

// An Apply that had no effect, for example because the origins have no leader, is retried for this period and at this
// interval. An election takes about as long as the period.
const (
	applyRetryPeriod   = 3 * time.Second
	applyRetryInterval = 100 * time.Millisecond
)

// installation is an instance's membership in the installation that shares its settings.
type installation struct {
	sync   *configsync.Sync
	roster *configsync.Roster
	store  *settings.Store
}

// ApplyRevision applies a committed revision at this instance.
func (i *installation) ApplyRevision(r configlog.Revision, entries map[string][]byte) (since time.Time, err error) {
	doc, err := settings.FromEntries(entries)
	if err != nil {
		return since, err
	}
	return i.store.ApplyManaged(revisionOf(r, doc))
}

// revisionOf converts a revision of the log to one of the store.
func revisionOf(r configlog.Revision, doc *pb.Settings) *pb.Revision {
	return &pb.Revision{Number: r.Number, Epoch: r.Epoch.String(), Settings: doc, Taken: timestamppb.Now()}
}

// Apply has the origins create a revision, and returns when it is committed.
func (i *installation) Apply(ctx context.Context, doc *pb.Settings, from uint64) (*pb.Revision, error) {
	if !i.sync.IsOrigin() {
		return nil, control.NotOriginError{Origins: i.roster.Origins()}
	}
	entries, err := entriesOf(doc, time.Now())
	if err != nil {
		return nil, err
	}
	result, err := i.applyWithRetry(ctx, from, entries)
	if err != nil {
		return nil, err
	}
	switch result.Outcome {
	case configlog.Committed:
		r := revisionOf(result.Revision, doc)
		i.waitUntilInForce(ctx, r.Number)
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

// applyWithRetry retries for applyRetryPeriod while the outcome is that nothing was done.
func (i *installation) applyWithRetry(ctx context.Context, from uint64,
	entries map[string][]byte) (configlog.Result, error) {
	for deadline := time.Now().Add(applyRetryPeriod); ; {
		result, err := i.sync.Apply(ctx, from, entries)
		if err != nil || time.Now().After(deadline) {
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
		case <-time.After(applyRetryInterval):
		}
	}
}

// waitUntilInForce waits until the revision or a newer one is in effect here, so that a caller that gets a revision's
// number back can read that revision.
func (i *installation) waitUntilInForce(ctx context.Context, number uint64) {
	ctx, cancel := context.WithTimeout(ctx, localApplyTimeout)
	defer cancel()
	for {
		current, _ := i.store.Current()
		if current.Number >= number {
			return
		}
		if _, err := i.store.NextAfter(ctx, current.Number); err != nil {
			return
		}
	}
}

// entriesOf returns the entries of a document, with the time in appliedKey. Its errors are settings.Faults and encoding
// errors.
func entriesOf(doc *pb.Settings, now time.Time) (map[string][]byte, error) {
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

// Instances requests the status of every instance on the roster.
func (i *installation) Instances(ctx context.Context) *pb.InstancesResponse {
	statuses := i.sync.StatusAll(ctx)
	out := &pb.InstancesResponse{}
	var since int64
	for _, a := range statuses {
		status := a.Status
		if status == nil || status.Revision < out.Newest {
			continue
		}
		if status.Revision > out.Newest || since == 0 || status.SinceUs < since {
			out.Newest, since = status.Revision, status.SinceUs
		}
	}
	if since > 0 {
		out.NewestSince = timestamppb.New(time.UnixMicro(since))
	}
	for _, a := range statuses {
		out.Instances = append(out.Instances, instanceOf(a, out.Newest, since))
	}
	return out
}

// instanceOf converts the status of an instance. newest is the newest revision that any instance holds, and newestSince
// the time in microseconds since which it is in effect at any instance.
func instanceOf(a configsync.InstanceStatus, newest uint64, newestSince int64) *pb.Instance {
	instance := &pb.Instance{Name: a.Member.Name, Region: a.Member.Region, Zone: a.Member.Zone, Role: a.Member.Role}
	if instance.Role == "" {
		instance.Role = "follower"
	}
	if a.Status == nil {
		instance.Fault = a.Err.Error()
		return instance
	}
	status := a.Status
	instance.Answered, instance.Revision, instance.Leader, instance.Sources, instance.Fault =
		true, status.Revision, status.Leader, status.Sources, status.Fault
	instance.Voting = status.Voting
	if status.SinceUs > 0 {
		instance.Since = timestamppb.New(time.UnixMicro(status.SinceUs))
	}
	if status.SilentUs >= 0 {
		instance.Silent = durationpb.New(time.Duration(status.SilentUs) * time.Microsecond)
	}
	if instance.Behind = newest - status.Revision; instance.Behind > 0 && newestSince > 0 {
		instance.BehindFor = durationpb.New(max(time.Since(time.UnixMicro(newestSince)), 0))
	}
	return instance
}
