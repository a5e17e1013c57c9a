package settings

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "topazfall/internal/control/controlpb"
	"topazfall/internal/decide/addresses"
)

func parseDocument(t testing.TB, text string) *pb.Settings {
	d := &pb.Settings{}
	require.NoError(t, protojson.Unmarshal([]byte(text), d))
	return d
}

const validDocument = `{"sources":{"srv":[{"name":"_jobs._tcp.w.example"}],"resolvers":["127.0.0.1:53"]}}`

// All faults are reported at once, each with its path and value.
func TestCheckReportsAllFaults(t *testing.T) {
	require.Empty(t, Check(nil))
	require.Empty(t, Check(parseDocument(t, validDocument)))
	faults := Check(parseDocument(t, `{"sources":{"srv":[{"name":"a b","weight_unit":70000},
		{"name":"x.example","places":[{"zone":"z"}]},{"name":"X.example."}],
		"resolvers":["127.0.0.1","127.0.0.1:53","127.0.0.1:53"],"hold":"-1s","least_lifetime":"30s",
		"most_lifetime":"20s","confirmations":1000,"flaps":99},
		"addresses":{"delay_first":"1s","rest_most":"0.001s"}}`))
	text := faults.Error()
	for _, want := range []string{"sources.srv[0].name", "sources.srv[0].weight_unit: 70000",
		"sources.srv[1].places[0].suffix", "sources.srv[2].name",
		"sources.resolvers[0]", "sources.resolvers[2]", "sources.hold: -1s", "sources.confirmations: 1000",
		"sources.flaps: 99", "addresses.rest_most: 1ms"} {
		require.Contains(t, text, want)
	}
	unordered := `{"sources":{"least_lifetime":"30s","most_lifetime":"20s"},"addresses":{"delay_first":"1s"}}`
	require.Contains(t, Check(parseDocument(t, unordered)).Error(),
		"least_lifetime: 30s is more than most_lifetime, which is 20s; "+
			"addresses.delay_first: 1s is more than delay_most")
	require.Contains(t, Check(parseDocument(t, `{"sources":{"srv":[{"name":"x.example"}]}}`)).Error(),
		"sources.resolvers: names need at least one resolver")
	require.NoError(t, AddressLimits(Effective(nil)).Check())
	require.Equal(t, addresses.Defaults, AddressLimits(Effective(nil)))
}

func openStore(t *testing.T, dir string) *Store {
	s, fault, err := Open(dir)
	require.NoError(t, err)
	require.NoError(t, fault)
	t.Cleanup(s.Close)
	return s
}

// A document is accepted completely or not at all, and only if no other was accepted since the revision that it was
// made from. It is in effect after a restart.
func TestApply(t *testing.T) {
	dir := t.TempDir()
	s := openStore(t, dir)
	r, err := s.Apply(parseDocument(t, validDocument), 0, time.Now())
	require.NoError(t, err)
	require.EqualValues(t, 1, r.Number)
	_, err = s.Apply(parseDocument(t, `{}`), 0, time.Now())
	require.ErrorIs(t, err, StaleError{0, 1})
	_, err = s.Apply(parseDocument(t, `{"sources":{"hold":"-1s"}}`), 1, time.Now())
	require.ErrorAs(t, err, &Faults{})
	now, _ := s.Current()
	require.True(t, proto.Equal(r, now))
	s.Close()
	_, err = s.Apply(parseDocument(t, `{}`), 1, time.Now())
	require.ErrorIs(t, err, ErrReadOnly)
	now, _ = openStore(t, dir).Current()
	require.True(t, proto.Equal(r, now))
}

// A document that cannot be saved is not accepted.
func TestApplyFailsWhenNotSaved(t *testing.T) {
	dir := t.TempDir()
	s := openStore(t, dir)
	_, err := s.Apply(parseDocument(t, validDocument), 0, time.Now())
	require.NoError(t, err)
	require.NoError(t, os.RemoveAll(dir))
	_, err = s.Apply(parseDocument(t, `{}`), 1, time.Now())
	require.ErrorContains(t, err, "could not be saved")
	now, _ := s.Current()
	require.EqualValues(t, 1, now.Number)
}

// Only one process at a time accepts revisions, and the next one continues from the last revision.
func TestTwoProcesses(t *testing.T) {
	dir := t.TempDir()
	first, second := openStore(t, dir), openStore(t, dir)
	_, err := second.Apply(parseDocument(t, validDocument), 0, time.Now())
	require.ErrorIs(t, err, ErrReadOnly)
	_, err = first.Apply(parseDocument(t, validDocument), 0, time.Now())
	require.NoError(t, err)
	first.Close()
	r, err := second.NextAfter(t.Context(), 0)
	require.NoError(t, err)
	require.EqualValues(t, 1, r.Number)
	require.Eventually(t, func() bool { _, ro := second.Current(); return ro == "" }, 10*time.Second, time.Millisecond)
	_, err = second.Apply(parseDocument(t, `{}`), 1, time.Now())
	require.NoError(t, err)
}

// A damaged snapshot is reported, and the previous version is used.
func TestBrokenSnapshot(t *testing.T) {
	dir := t.TempDir()
	s := openStore(t, dir)
	for i := range 2 {
		_, err := s.Apply(parseDocument(t, validDocument), uint64(i), time.Now())
		require.NoError(t, err)
	}
	s.Close()
	path := filepath.Join(dir, "settings.snapshot")
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(path, text[:len(text)/2], 0o600))
	s, fault, err := Open(dir)
	require.NoError(t, err)
	require.ErrorContains(t, fault, "the previous version is used")
	now, _ := s.Current()
	require.EqualValues(t, 1, now.Number)
	s.Close()
}

// With 32 concurrent writers, each watcher sees each accepted revision once and in order, and a watcher that reads
// nothing does not delay others.
func TestWritersAndWatchers(t *testing.T) {
	s := openStore(t, t.TempDir())
	const writers, each, watchers = 32, 5, 8
	var writing, watching sync.WaitGroup
	seen := make([][]uint64, watchers)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	for i := range watchers {
		watching.Go(func() {
			for last := uint64(0); last < writers*each; {
				r, err := s.NextAfter(ctx, last)
				if err != nil {
					t.Error(err)
					return
				}
				last = r.Number
				seen[i] = append(seen[i], last)
			}
		})
	}
	for range writers {
		writing.Go(func() {
			for done := 0; done < each; {
				now, _ := s.Current()
				if _, err := s.Apply(parseDocument(t, validDocument), now.Number, time.Now()); err == nil {
					done++
				}
			}
		})
	}
	writing.Wait()
	watching.Wait()
	for _, list := range seen {
		for i := 1; i < len(list); i++ {
			require.Equal(t, list[i-1]+1, list[i])
		}
		require.EqualValues(t, writers*each, list[len(list)-1])
	}
	_, err := s.NextAfter(ctx, writers*each+1)
	require.ErrorIs(t, err, ErrGap)
}

// Each of 1,000 malformed documents gives an error with a path and leaves the current revision unchanged.
func TestMalformedDocuments(t *testing.T) {
	s := openStore(t, t.TempDir())
	before, err := s.Apply(parseDocument(t, validDocument), 0, time.Now())
	require.NoError(t, err)
	random := rand.New(rand.NewPCG(1, 2))
	for i := range 1000 {
		d := parseDocument(t, validDocument)
		switch i % 5 {
		case 0:
			d.Sources.Srv[0].Name = strings.Repeat("x", 64+random.IntN(1000))
		case 1:
			d.Sources.Hold = &durationpb.Duration{Seconds: random.Int64(), Nanos: -1}
		case 2:
			d.Sources.Resolvers = append(d.Sources.Resolvers, fmt.Sprintf("%d.example:53", random.Uint32()))
		case 3:
			for range maxNames + random.IntN(100) {
				d.Sources.Srv = append(d.Sources.Srv, &pb.Srv{Name: fmt.Sprintf("n%d.example", random.Uint64())})
			}
		case 4:
			d.Addresses = &pb.Addresses{RestLeast: durationpb.New(time.Duration(-random.Int64N(1e9)))}
		}
		_, err := s.Apply(d, 1, time.Now())
		require.ErrorAs(t, err, &Faults{})
		require.Regexp(t, `^(sources|addresses)\.[a-z_]+`, err.Error())
	}
	now, _ := s.Current()
	require.True(t, proto.Equal(before, now))
}

func FuzzCheck(f *testing.F) {
	for _, text := range []string{validDocument, `{}`, `{"sources":{"hold":"9s"}}`, `{"addresses":{"calm":"1s"}}`} {
		b, err := proto.Marshal(parseDocument(f, text))
		require.NoError(f, err)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		d := &pb.Settings{}
		if proto.Unmarshal(text, d) != nil || len(Check(d)) > 0 {
			return
		}
		e := Effective(d) // a document without faults can be used
		require.NoError(t, AddressLimits(e).Check())
		merge, names := MergeSettings(e)
		require.Positive(t, merge.Confirmations)
		require.Len(t, names, len(d.GetSources().GetSrv()))
	})
}
