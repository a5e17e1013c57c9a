package settings

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"
	"pgregory.net/rapid"

	pb "topazfall/internal/control/controlpb"
)

func newRevision(number uint64, epoch string, hold time.Duration) *pb.Revision {
	return &pb.Revision{Number: number, Epoch: epoch, Taken: timestamppb.New(time.UnixMilli(int64(number))),
		Settings: &pb.Settings{Sources: &pb.Sources{Hold: durationpb.New(hold)}}}
}

// A revision of the origins takes effect once it is saved, an older one is never accepted after it, and one that is
// received again stays as it is. Documents applied at the instance itself are rejected.
func TestApplyManaged(t *testing.T) {
	dir := t.TempDir()
	s := openStore(t, dir)
	_, err := s.Apply(parseDocument(t, validDocument), 0, time.Now())
	require.NoError(t, err)
	s.SetManaged()
	now, _ := s.Current()
	require.Zero(t, now.Number, "the local revision stays in effect until the first of the origins arrives")
	require.NotEmpty(t, now.Settings.Sources.Srv)
	_, err = s.Apply(parseDocument(t, `{}`), 0, time.Now())
	require.ErrorIs(t, err, ErrManaged)

	for _, number := range []uint64{1, 2, 7} {
		since, err := s.ApplyManaged(newRevision(number, "1@a", time.Second))
		require.NoError(t, err)
		require.EqualValues(t, number, since.UnixMilli())
	}
	again := newRevision(7, "1@a", time.Second)
	again.Taken = timestamppb.Now()
	since, err := s.ApplyManaged(again)
	require.NoError(t, err)
	require.EqualValues(t, 7, since.UnixMilli(), "the time of its first arrival")
	for _, r := range []*pb.Revision{newRevision(6, "1@a", 0), newRevision(6, "9@a", 0), newRevision(7, "2@b", 0)} {
		_, err = s.ApplyManaged(r)
		require.ErrorIs(t, err, ErrOlder)
	}
	s.Close()
	s = openStore(t, dir)
	s.SetManaged()
	now, _ = s.Current()
	require.True(t, proto.Equal(newRevision(7, "1@a", time.Second), now))
}

// A revision accepted by the process that has the lock also takes effect at the process that is about to replace it.
func TestSecondProcessFollows(t *testing.T) {
	dir := t.TempDir()
	first, second := openStore(t, dir), openStore(t, dir)
	first.SetManaged()
	second.SetManaged()
	select {
	case <-second.LockAcquired():
		t.Fatal("two processes have the lock")
	case <-first.LockAcquired():
	}
	for number := uint64(1); number < 4; number++ {
		_, err := first.ApplyManaged(newRevision(number, "1@a", time.Second))
		require.NoError(t, err)
		r, err := second.NextAfter(t.Context(), number-1)
		require.NoError(t, err)
		require.Equal(t, number, r.Number)
	}
	_, err := second.ApplyManaged(newRevision(4, "1@a", time.Second))
	require.ErrorIs(t, err, ErrReadOnly)
	first.Close()
	<-second.LockAcquired()
	_, err = second.ApplyManaged(newRevision(4, "1@a", time.Second))
	require.NoError(t, err)
}

// The size of kept revisions is limited: large documents at 5,200 revisions a day would fill the memory.
func TestKeptBytes(t *testing.T) {
	s := openStore(t, t.TempDir())
	d := &pb.Settings{}
	for i := range maxTeams {
		d.Teams = append(d.Teams, &pb.Team{Name: fmt.Sprintf("%0100d", i)})
	}
	size := proto.Size(d)
	const revisions = 60
	require.Greater(t, revisions*size, 3*maxKeptBytes)
	for i := range revisions {
		_, err := s.Apply(d, uint64(i), time.Now())
		require.NoError(t, err)
		require.LessOrEqual(t, s.olderBytes, maxKeptBytes)
		require.LessOrEqual(t, (len(s.revisions)-2)*size, maxKeptBytes,
			"except the empty revision at the start and the current one")
	}
	require.Greater(t, len(s.revisions), 10)
	_, err := s.NextAfter(t.Context(), revisions-5)
	require.NoError(t, err)
	_, err = s.NextAfter(t.Context(), 1)
	require.ErrorIs(t, err, ErrGap)
}

// A document split into entries and rebuilt is the same except for the order of its names and teams, and each team has
// an entry of its own.
func TestEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &pb.Settings{}
		if rapid.Bool().Draw(t, "sources") {
			d.Sources = &pb.Sources{Hold: durationpb.New(time.Duration(rapid.Int64Range(0, 1e12).Draw(t, "hold"))),
				Resolvers: []string{"127.0.0.1:53"}}
			for i := range rapid.IntRange(0, maxNames).Draw(t, "names") {
				d.Sources.Srv = append(d.Sources.Srv, &pb.Srv{Name: fmt.Sprintf("n%02d.example", i), Zone: "z"})
			}
		}
		if rapid.Bool().Draw(t, "addresses") {
			d.Addresses = &pb.Addresses{}
		}
		for i := range rapid.IntRange(0, 20).Draw(t, "teams") {
			d.Teams = append(d.Teams,
				&pb.Team{Name: fmt.Sprintf("t%02d", i), Quota: rapid.Float64Range(0, 9).Draw(t, "quota")})
		}
		entries, err := ToEntries(d)
		require.NoError(t, err)
		entries["of a newer program"] = []byte{0xff}
		back, err := FromEntries(entries)
		require.NoError(t, err)
		require.True(t, proto.Equal(d, back), "%v\n%v", d, back)
	})
	entries, err := ToEntries(&pb.Settings{Teams: []*pb.Team{{Name: "a"}, {Name: "b"}}})
	require.NoError(t, err)
	require.Len(t, entries, 2)
	_, err = FromEntries(map[string][]byte{"sources": {0xff}})
	require.ErrorIs(t, err, ErrInvalidEntries)
	wrong, err := proto.Marshal(&pb.Team{Name: "a", Share: 2})
	require.NoError(t, err)
	_, err = FromEntries(map[string][]byte{"team/a": wrong})
	require.ErrorAs(t, err, &Faults{})
	_, err = FromEntries(map[string][]byte{"team/a": wrong, "team/b": wrong})
	require.ErrorContains(t, err, "listed twice")
}

func FuzzFromEntries(f *testing.F) {
	f.Add("sources", []byte{}, "team/a", []byte{0x0a, 1, 'a'})
	f.Add("srv/x", []byte{0x0a, 1, 'x'}, "addresses", []byte{0xff})
	f.Fuzz(func(t *testing.T, key string, value []byte, other string, second []byte) {
		d, err := FromEntries(map[string][]byte{key: value, other: second})
		if err == nil && len(Check(d)) > 0 {
			t.Fatal("a document with faults was accepted")
		}
	})
}

func TestCheckTeams(t *testing.T) {
	list := func(team *pb.Team, more ...*pb.Team) *pb.Settings { return &pb.Settings{Teams: append(more, team)} }
	require.Empty(t, Check(list(&pb.Team{Name: "a", Share: 1, Quota: 20})))
	many := slices.Repeat([]*pb.Team{{Name: "a"}}, maxTeams)
	for want, d := range map[string]*pb.Settings{
		"teams[0].name: must have":       list(&pb.Team{}),
		"teams[0].name":                  list(&pb.Team{Name: strings.Repeat("x", maxTeamNameBytes+1)}),
		"teams[1].name":                  list(&pb.Team{Name: "a"}, &pb.Team{Name: "a"}),
		"teams[0].share: 1.5":            list(&pb.Team{Name: "a", Share: 1.5}),
		"teams[0].share: NaN":            list(&pb.Team{Name: "a", Share: math.NaN()}),
		"teams[0].quota: -1":             list(&pb.Team{Name: "a", Quota: -1}),
		"teams[0].quota: +Inf":           list(&pb.Team{Name: "a", Quota: math.Inf(1)}),
		"teams: 1025 are more than 1024": list(&pb.Team{Name: "b"}, many...),
	} {
		require.Contains(t, Check(d).Error(), want)
	}
	require.Equal(t, 3., Tenants(list(&pb.Team{Name: "a", Quota: 3}))[0].Quota)
}
