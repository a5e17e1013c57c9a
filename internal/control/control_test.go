package control

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"topazfall"
	"topazfall/internal/control/client"
	pb "topazfall/internal/control/controlpb"
	"topazfall/internal/control/controlpb/controlpbconnect"
	"topazfall/internal/decide/sources"
	"topazfall/internal/settings"
)

type fakeHosts struct{}

func (fakeHosts) Now() int64 { return 1e6 }
func (fakeHosts) Hosts() ([]sources.Host, map[string]string) {
	entry := sources.Entry{Addr: "10.0.0.1:9000", Worker: topazfall.Worker{ID: "a", State: topazfall.Draining}}
	return []sources.Host{{Entry: entry, Sources: []string{"roster", "srv:x"}, Reason: "drains", Expires: 3e6}},
		map[string]string{"x": "timeout"}
}

func startServer(t *testing.T) (controlpbconnect.ControlClient, *settings.Store, string) {
	dir := t.TempDir()
	store, _, err := settings.Open(dir)
	require.NoError(t, err)
	t.Cleanup(store.Close)
	path := filepath.Join(dir, "control.sock")
	ln, err := Listen("unix:" + path)
	require.NoError(t, err)
	s := Serve(ln, Options{Store: store, Hosts: fakeHosts{}})
	t.Cleanup(s.Close)
	c, err := client.New("unix:" + path)
	require.NoError(t, err)
	return c, store, path
}

func apply(c controlpbconnect.ControlClient, from uint64, s *pb.Settings) error {
	_, err := c.Apply(context.Background(), connect.NewRequest(&pb.ApplyRequest{Settings: s, From: from}))
	return err
}

func TestListen(t *testing.T) {
	for _, address := range []string{"127.0.0.1:0", "unix:relative", ""} {
		_, err := Listen(address)
		require.Error(t, err, address)
	}
	path := filepath.Join(t.TempDir(), "s")
	first, err := Listen("unix:" + path)
	require.NoError(t, err)
	defer first.Close()
	info, err := os.Stat(path)
	require.NoError(t, err)
	require.Equal(t, os.FileMode(0o600), info.Mode().Perm())
	second, err := Listen("unix:" + path) // as a process that replaces this one does
	require.NoError(t, err)
	defer second.Close()
	entries, err := os.ReadDir(filepath.Dir(path))
	require.NoError(t, err)
	require.Len(t, entries, 1, "the temporary folder is removed")
}

func TestRequests(t *testing.T) {
	c, _, path := startServer(t)
	bad := &pb.Settings{Sources: &pb.Sources{Resolvers: []string{"x", "y"}}}
	check, err := c.Check(t.Context(), connect.NewRequest(&pb.CheckRequest{Settings: bad}))
	require.NoError(t, err)
	require.Len(t, check.Msg.Faults, 2)
	err = apply(c, 0, bad)
	require.Equal(t, connect.CodeInvalidArgument, connect.CodeOf(err))
	var e *connect.Error
	require.ErrorAs(t, err, &e)
	require.Len(t, e.Details(), 2)
	require.NoError(t, apply(c, 0, &pb.Settings{}))
	require.Equal(t, connect.CodeAborted, connect.CodeOf(apply(c, 0, &pb.Settings{})))
	got, err := c.Get(t.Context(), connect.NewRequest(&pb.GetRequest{}))
	require.NoError(t, err)
	require.EqualValues(t, 1, got.Msg.Revision.Number)
	require.EqualValues(t, 3, got.Msg.Effective.Sources.Confirmations)
	list, err := c.Hosts(t.Context(), connect.NewRequest(&pb.HostsRequest{}))
	require.NoError(t, err)
	require.Equal(t, "draining", list.Msg.Hosts[0].State)
	require.Equal(t, 2*time.Second, list.Msg.Hosts[0].Remaining.AsDuration())
	require.Equal(t, "timeout", list.Msg.Sources[1].Fault)

	// JSON over HTTP POST, as with curl.
	dial := func(context.Context, string, string) (net.Conn, error) { return net.Dial("unix", path) }
	h := http.Client{Transport: &http.Transport{DialContext: dial}}
	resp, err := h.Post("http://x/topazfall.control.v1.Control/Get", "application/json", strings.NewReader("{}"))
	require.NoError(t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Contains(t, string(text), `"number":"1"`)
	resp, err = h.Post("http://x/topazfall.control.v1.Control/Apply", "application/json",
		strings.NewReader(`{"settings":{"sources":{"hold":"`+strings.Repeat("9", maxRequestBytes)+`"}}}`))
	require.NoError(t, err)
	resp.Body.Close()
	require.NotEqual(t, 200, resp.StatusCode, "a request over the size limit is rejected")
}

// A watcher receives each revision once and in order, also when the call lasts longer than readTimeout. A watcher that
// does not read delays no other watcher, and the number of watchers is limited.
func TestWatch(t *testing.T) {
	c, store, _ := startServer(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	slow, err := c.Watch(ctx, connect.NewRequest(&pb.WatchRequest{}))
	require.NoError(t, err)
	defer slow.Close()
	w, err := c.Watch(ctx, connect.NewRequest(&pb.WatchRequest{}))
	require.NoError(t, err)
	start := time.Now()
	for i := range uint64(20) {
		require.NoError(t, apply(c, i, &pb.Settings{}))
		require.True(t, w.Receive(), "%v", w.Err())
		require.Equal(t, i+1, w.Msg().Revision.Number)
	}
	require.Less(t, time.Since(start), 10*time.Second)
	time.Sleep(readTimeout + 500*time.Millisecond)
	require.NoError(t, apply(c, 20, &pb.Settings{}))
	require.True(t, w.Receive(), "%v", w.Err())
	for range maxWatchers {
		one, err := c.Watch(ctx, connect.NewRequest(&pb.WatchRequest{After: 21}))
		require.NoError(t, err)
		defer one.Close()
	}
	last, err := c.Watch(ctx, connect.NewRequest(&pb.WatchRequest{}))
	require.NoError(t, err)
	require.False(t, last.Receive())
	require.Equal(t, connect.CodeResourceExhausted, connect.CodeOf(last.Err()))
	store.Close()
	require.False(t, w.Receive())
	require.Equal(t, connect.CodeUnavailable, connect.CodeOf(w.Err()))
}
