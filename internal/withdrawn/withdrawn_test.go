package withdrawn

import (
	"errors"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazfall"
	"topazfall/internal/decide/addresses"
	"topazfall/internal/decide/sources"
)

const (
	testTimeout = 20 * time.Second // long enough for a slow machine
	minute      = int64(60e6)      // in microseconds
)

func address(t *testing.T, text string) addresses.Address {
	a, err := addresses.Parse(text)
	require.NoError(t, err)
	return a
}

func withdrawals(t *testing.T) sources.Withdrawals {
	return sources.Withdrawals{Hosts: []sources.Withdrawn{
		{Entry: sources.Entry{Worker: topazfall.Worker{ID: "drained", State: topazfall.Draining}, Addr: "10.0.0.1:9"}},
		{Entry: sources.Entry{Worker: topazfall.Worker{ID: "listed", State: topazfall.Gone},
			Addrs: []addresses.Address{address(t, "10.0.0.2:9"), address(t, "unix:/run/w")}}, Listed: true,
			IdleFor: minute},
		{Entry: sources.Entry{Worker: topazfall.Worker{ID: "removed", State: topazfall.Gone}, Addr: "10.0.0.3:9"},
			IdleFor: minute},
	}}
}

func decode(t *testing.T, text string, now Moment) sources.Withdrawals {
	t.Helper()
	state, err := Decode([]byte(text), now)
	require.NoError(t, err)
	return state
}

// The form is one that other versions of the program read and write: names stay, and names of later versions are
// passed over.
func TestForm(t *testing.T) {
	body, err := Encode(withdrawals(t), Moment{"b", 7})
	require.NoError(t, err)
	require.JSONEq(t, `{"boot":"b","at_us":7,"hosts":[
		{"host":"drained","dial":"10.0.0.1:9","health":"draining","idle_us":0},
		{"host":"listed","addresses":["10.0.0.2:9","unix:/run/w"],"health":"removed","listed":true,"idle_us":60000000},
		{"host":"removed","dial":"10.0.0.3:9","health":"removed","idle_us":60000000}]}`, string(body))
	later := decode(t, `{"new":1,"boot":"b","at_us":7,"incomplete":true,"hosts":[
		{"host":"a","new":[],"health":"removed","idle_us":5}]}`, Moment{"b", 8})
	require.Equal(t, sources.Withdrawals{Incomplete: true, Hosts: []sources.Withdrawn{
		{Entry: sources.Entry{Worker: topazfall.Worker{ID: "a", State: topazfall.Gone}}, IdleFor: 6}}}, later)
}

// The time between two processes counts by a clock that nobody sets. After a boot of the machine no such time is known,
// and then none counts. A host that DNS listed, or that was draining, may have been so up to now.
func TestTimeBetweenProcesses(t *testing.T) {
	state := withdrawals(t)
	body, err := Encode(state, Moment{"boot", 100 * minute})
	require.NoError(t, err)
	for _, c := range []struct {
		now  Moment
		idle int64 // of the removed host
	}{
		{Moment{"boot", 100 * minute}, minute},
		{Moment{"boot", 150 * minute}, 51 * minute},
		{Moment{"boot", 99 * minute}, minute},
		{Moment{"other", 150 * minute}, minute},
		{Moment{"", 150 * minute}, minute},
	} {
		got := decode(t, string(body), c.now)
		state.Hosts[1].IdleFor, state.Hosts[2].IdleFor = 0, c.idle
		require.Equal(t, state, got, "%+v", c.now)
	}
	earlier := Now()
	require.NotEmpty(t, earlier.Boot)
	time.Sleep(time.Millisecond)
	require.Greater(t, Now().At, earlier.At)
}

// A document that was cut anywhere, or that is of another kind, is an error and never fewer hosts.
func TestInvalidForm(t *testing.T) {
	body, err := Encode(withdrawals(t), Moment{"b", 7})
	require.NoError(t, err)
	for n := range body {
		_, err := Decode(body[:n], Moment{})
		require.Error(t, err, "%q", body[:n])
	}
	for _, text := range []string{"{}", "null", "[]", `{"hosts":{}}`, `{"hosts":[{"health":"removed"}]}`,
		`{"hosts":[{"host":"a"}]}`, `{"hosts":[{"host":"a","health":"up"}]}`,
		`{"hosts":[{"host":"a","health":"removed","addresses":["nowhere"]}]}`} {
		_, err := Decode([]byte(text), Moment{})
		require.Error(t, err, "%q", text)
	}
}

// fakeSource is a Source that the test changes.
type fakeSource struct {
	mu      sync.Mutex
	state   sources.Withdrawals
	version uint64
}

func (s *fakeSource) Withdrawals() (sources.Withdrawals, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state, s.version
}

func (s *fakeSource) WithdrawalsVersion() uint64 {
	_, version := s.Withdrawals()
	return version
}

func (s *fakeSource) change(state sources.Withdrawals) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
	s.version++
}

func startFile(t *testing.T, folder string) (*File, *fakeSource) {
	source := &fakeSource{}
	f := NewFile(folder, source)
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		f.Run(stop)
	}()
	t.Cleanup(func() {
		close(stop)
		<-ended
	})
	return f, source
}

// A change counts as saved once the file has it, and not while the file cannot be written.
func TestChangeIsSavedBeforeItCounts(t *testing.T) {
	folder := t.TempDir()
	f, source := startFile(t, folder)
	require.True(t, f.AwaitSaved(testTimeout), "nothing to save")
	source.change(withdrawals(t))
	require.True(t, f.AwaitSaved(testTimeout))
	saved, err := NewFile(folder, source).Load()
	require.NoError(t, err)
	require.Len(t, saved.Hosts, 3)

	require.NoError(t, os.Rename(folder, folder+".away"))
	source.change(sources.Withdrawals{})
	require.False(t, f.AwaitSaved(2*retryInterval))
	require.NoError(t, os.Rename(folder+".away", folder))
	require.True(t, f.AwaitSaved(testTimeout))
	saved, err = NewFile(folder, source).Load()
	require.NoError(t, err)
	require.Empty(t, saved.Hosts)
}

// A file that cannot be read, or only an earlier version of it, leaves the withdrawals incomplete. The error names it.
func TestDamagedFile(t *testing.T) {
	folder := t.TempDir()
	f, source := startFile(t, folder)
	for range 2 {
		source.change(withdrawals(t))
		require.True(t, f.AwaitSaved(testTimeout))
	}
	path := filepath.Join(folder, "withdrawn.snapshot")
	require.NoError(t, os.WriteFile(path, []byte("topazfall hosts 1 00000000 0\n"), 0o600))
	state, err := f.Load()
	require.ErrorContains(t, err, path)
	require.True(t, state.Incomplete)
	require.Len(t, state.Hosts, 3, "the earlier version is used")
	require.NoError(t, os.Remove(path+".before"))
	state, err = f.Load()
	require.ErrorContains(t, err, path)
	require.Equal(t, sources.Withdrawals{Incomplete: true}, state)
	require.NoError(t, os.WriteFile(path, []byte("topazfall withdrawn 1 00000000 0\n"), 0o600))
	state, err = f.Load()
	var form *FormError
	require.True(t, errors.As(err, &form))
	require.Equal(t, path, form.Path)
	require.True(t, state.Incomplete)
}
