package configsync

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazfall/internal/configsync/syncpb"
	"topazfall/internal/decide/configlog"
)

// replaceWithFile moves a folder aside and puts a file in its place, so that nothing can be saved there.
func replaceWithFile(path string) error {
	if err := os.Rename(path, path+".aside"); err != nil {
		return err
	}
	return os.WriteFile(path, nil, 0o600)
}

// restoreFolder undoes replaceWithFile.
func restoreFolder(path string) error {
	if err := os.Remove(path); err != nil {
		return err
	}
	return os.Rename(path+".aside", path)
}

func mustEncode(t testing.TB, f *syncpb.Frame) []byte {
	text, err := encodeFrame(f)
	require.NoError(t, err)
	return text
}

func encodeHello(t testing.TB, change func(*syncpb.Hello)) []byte {
	h := &syncpb.Hello{Installation: "test", From: "f1", To: "f0", Region: "r"}
	if change != nil {
		change(h)
	}
	return mustEncode(t, &syncpb.Frame{Content: &syncpb.Frame_Hello{Hello: h}})
}

func encodeMessage(t testing.TB, body configlog.Body) []byte {
	return mustEncode(t, &syncpb.Frame{Content: &syncpb.Frame_Log{Log: configlog.AppendBody(nil, body)}})
}

func droppedCount(s *Sync, reason DropReason) int64 {
	s.metrics.mu.Lock()
	defer s.metrics.mu.Unlock()
	return s.metrics.dropped[reason]
}

// Invalid input is dropped and counted. It changes neither the document held nor the connections of other instances.
func TestInvalidInputIsDropped(t *testing.T) {
	t.Parallel()
	i := startInstallation(t, 1, 2)
	i.apply("o0", "good")
	i.waitForValue("good")
	entry := func(key string) configlog.Entry { return configlog.Entry{Key: key, Value: []byte("x")} }
	many := make(configlog.Change, 50_000)
	for n := range many {
		many[n] = configlog.Entry{Key: string(binary.BigEndian.AppendUint32(nil, uint32(n))), Delete: true}
	}
	revision := configlog.Revision{Epoch: configlog.Epoch{Round: 99, Leader: "o0"}, Number: 2}
	push := func(change configlog.Change) []byte {
		return configlog.AppendBody(nil, configlog.Push{Delta: configlog.Delta{Revision: revision, Change: change}})
	}
	manyText := push(many)
	frame := func(text []byte) []byte {
		return append(binary.BigEndian.AppendUint32(nil, uint32(len(text))), text...)
	}
	valid := encodeMessage(t, configlog.Digest{})
	secondHello := mustEncode(t, &syncpb.Frame{Content: &syncpb.Frame_Hello{Hello: &syncpb.Hello{}}})
	unknownVersion := bytes.Clone(valid)
	unknownVersion[lengthPrefixBytes+1] = 9 // the value of the version field
	for _, c := range []struct {
		name   string
		text   []byte
		reason DropReason
	}{
		{"no hello", valid, ReasonUnexpectedFrame},
		{"another installation", encodeHello(t, func(h *syncpb.Hello) { h.Installation = "other" }),
			ReasonUnknownMember},
		{"not on the roster", encodeHello(t, func(h *syncpb.Hello) { h.From = "x" }), ReasonUnknownMember},
		{"for another instance", encodeHello(t, func(h *syncpb.Hello) { h.To = "o0" }), ReasonUnknownMember},
		{"from itself", encodeHello(t, func(h *syncpb.Hello) { h.From = "f0" }), ReasonUnknownMember},
		{"another region", encodeHello(t, func(h *syncpb.Hello) { h.Region = "s" }), ReasonWrongRegion},
		{"a second hello", append(encodeHello(t, nil), secondHello...), ReasonUnexpectedFrame},
		{"too large", append(encodeHello(t, nil), 0xff, 0xff, 0xff, 0xff), ReasonTooLarge},
		{"50,000 entries", append(encodeHello(t, nil), frame(manyText)...), ReasonTooLarge},
		{"truncated", append(encodeHello(t, nil), valid[:len(valid)-1]...), ReasonTruncated},
		{"not a frame", append(encodeHello(t, nil), frame([]byte("\xff\xff"))...), ReasonMalformed},
		{"an unknown version", append(encodeHello(t, nil), unknownVersion...), ReasonUnknownVersion},
		{"a truncated message", append(encodeHello(t, nil), mustEncode(t, &syncpb.Frame{Content: &syncpb.Frame_Log{
			Log: push(configlog.Change{entry("a")})[:20]}})...), ReasonMalformed},
		{"a duplicate entry", append(encodeHello(t, nil), mustEncode(t, &syncpb.Frame{Content: &syncpb.Frame_Log{
			Log: push(configlog.Change{entry("a"), entry("a")})}})...), ReasonMalformed},
		{"a wrong checksum from a member that is not a parent", append(encodeHello(t, nil), mustEncode(t, &syncpb.Frame{
			Content: &syncpb.Frame_Log{Log: push(configlog.Change{entry("a")})}})...), ""},
		{"an origin's message from a follower", append(encodeHello(t, nil),
			encodeMessage(t, configlog.Heartbeat{Held: revision})...),
			DropReason(configlog.DropWrongRole)},
	} {
		before := droppedCount(i.syncs["f0"], c.reason)
		conn := dialMember(t, i, "f0")
		conn.SetDeadline(time.Now().Add(testTimeout))
		_, err := conn.Write(c.text)
		if err == nil { // otherwise the connection was closed before the end of the text
			err = conn.(interface{ CloseWrite() error }).CloseWrite()
		}
		require.NotErrorIs(t, err, os.ErrDeadlineExceeded, c.name)
		_, err = io.Copy(io.Discard, conn) // until the instance has read everything or rejected the connection
		require.NotErrorIs(t, err, os.ErrDeadlineExceeded, c.name)
		if c.reason != "" {
			counted := func() bool { return droppedCount(i.syncs["f0"], c.reason) == before+1 }
			require.Eventually(t, counted, testTimeout, time.Millisecond, c.name)
		}
		r, v := i.targets["f0"].current()
		require.EqualValues(t, 1, r.Number, c.name)
		require.Equal(t, "good", v, c.name)
	}
	i.apply("o0", "after")
	require.Less(t, i.waitForValue("after"), 4*time.Second)
}

// Even from the parent of an instance, a revision with a wrong checksum is rejected, and a revision that is held
// already or is older changes nothing.
func TestInvalidInputFromParent(t *testing.T) {
	t.Parallel()
	i := startInstallation(t, 1, 1)
	i.apply("o0", "good")
	i.waitForValue("good")
	from := encodeHello(t, func(h *syncpb.Hello) { h.From = "o0" })
	held, _ := i.targets["f0"].current()
	wrong := held
	wrong.Number++
	bad := configlog.Change{{Key: "key", Value: []byte("bad")}}
	for _, body := range []configlog.Body{
		configlog.Push{Delta: configlog.Delta{Revision: wrong, Change: bad}},
		configlog.Push{Delta: configlog.Delta{Revision: held, Change: bad}},
		configlog.Deltas{Latest: wrong, Deltas: []configlog.Delta{{Revision: wrong, Change: bad}}},
		configlog.Chunk{Revision: wrong, Total: 3, Data: []byte("bad")},
		configlog.Chunk{Revision: configlog.Revision{Number: 1}, Total: 0},
	} {
		conn := dialMember(t, i, "f0")
		_, err := conn.Write(append(bytes.Clone(from), encodeMessage(t, body)...))
		require.NoError(t, err)
		conn.Close()
	}
	i.apply("o0", "after")
	require.Less(t, i.waitForValue("after"), 4*time.Second)
}

// An instance accepts no more connections than the topology needs and a few spare ones. Connections on which no frame
// arrives are closed, so that others can use their places.
func TestConnectionsAreBounded(t *testing.T) {
	t.Parallel()
	i := startInstallation(t, 1, 1)
	i.apply("o0", "w")
	i.waitForValue("w")
	s := i.syncs["f0"]
	for range maxIncomingConnections(i.roster, "f0", configlog.FanOut{}) + 5 {
		dialMember(t, i, "f0")
	}
	require.Eventually(t, func() bool { return droppedCount(s, ReasonConnectionLimit) >= 5 }, testTimeout,
		5*time.Millisecond)
	i.apply("o0", "x")
	require.Less(t, i.waitForValue("x"), helloTimeout+4*time.Second)
}

// A socket that an earlier process left behind is replaced. A socket in use and a file of another type are left alone.
func TestListenAtUsedPath(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	path := filepath.Join(dir, "s")
	first, err := listen("unix:" + path)
	require.NoError(t, err)
	first.(*net.UnixListener).SetUnlinkOnClose(false)
	_, err = listen("unix:" + path)
	require.Error(t, err, "the socket is in use")
	require.NoError(t, first.Close())
	second, err := listen("unix:" + path)
	require.NoError(t, err)
	defer second.Close()
	info, err := os.Stat(path)
	require.NoError(t, err)
	require.Equal(t, os.FileMode(0o600), info.Mode().Perm())
	file := filepath.Join(dir, "f")
	require.NoError(t, os.WriteFile(file, []byte("x"), 0o600))
	_, err = listen("unix:" + file)
	require.Error(t, err)
	require.FileExists(t, file)
}

// The queue for an unreachable instance stays within its limits of frames and bytes.
func TestQueueIsBounded(t *testing.T) {
	t.Parallel()
	o := newSender(Member{Name: "x", Address: "unix:/nowhere/x"}, nil, newMetrics())
	for range 3 * maxQueuedFrames {
		o.send(make([]byte, 100))
	}
	require.LessOrEqual(t, len(o.queue), maxQueuedFrames)
	require.EqualValues(t, 2*maxQueuedFrames, o.metrics.dropped[ReasonQueueFull])
	for range 100 {
		o.send(make([]byte, configlog.MaxMessage))
	}
	require.LessOrEqual(t, o.queuedBytes, maxQueuedBytes)
}

func FuzzParseFrame(f *testing.F) {
	f.Add(mustEncode(f, &syncpb.Frame{Content: &syncpb.Frame_Log{Log: []byte("x")}})[lengthPrefixBytes:])
	f.Add(encodeHello(f, nil)[lengthPrefixBytes:])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, text []byte) {
		frame, err := parseFrame(text)
		if err == nil && (frame.Version != FrameVersion || frame.Content == nil) {
			t.Fatal("parsed a frame without the right version or without content")
		}
	})
}

func TestParseRoster(t *testing.T) {
	t.Parallel()
	const origin = `{"name":"a","address":"127.0.0.1:1","role":"origin"}`
	list := func(members string) string { return `{"installation":"i","members":[` + members + `]}` }
	remote := strings.Replace(origin, "127.0.0.1", "10.0.0.1", 1)
	trusted := strings.Replace(list(remote), "{", `{"trusted_network":true,`, 1)
	for text, want := range map[string]string{
		list(origin): "",
		trusted:      "",
		list(remote): "trusted",
		list(strings.Replace(origin, "127.0.0.1:1", "unix:x", 1)):   "absolute",
		list(strings.Replace(origin, "127.0.0.1", "x", 1)):          "neither",
		list(strings.Replace(origin, "origin", "follower", 1)):      "0 origins",
		list(strings.Replace(origin, "origin", "king", 1)):          "role",
		strings.Replace(list(origin), `"installation":"i",`, "", 1): "installation",
		strings.Replace(list(origin), "members", "member", 1):       "unknown field",
		list(origin) + " x": "its end",
		"{":                 "unexpected EOF",
		list(origin + "," + strings.Replace(origin, `"a"`, `"b"`, 1)): "has the address",
		list(origin + "," + strings.Replace(origin, `1:1`, `1:2`, 1)): "twice",
	} {
		_, err := ParseRoster([]byte(text))
		if want == "" {
			require.NoError(t, err, text)
			continue
		}
		require.ErrorIs(t, err, ErrInvalidRoster, text)
		require.ErrorContains(t, err, want)
	}
}

// A damaged state folder makes an origin lose its vote, but never yields a different vote.
func TestDamagedStorage(t *testing.T) {
	t.Parallel()
	s := storage{t.TempDir()}
	d := configlog.NewDocument()
	require.NoError(t, s.saveDocument(d))
	vote := configlog.Vote{CanVote: true, Promised: configlog.Epoch{Round: 3, Leader: "a"}}
	require.NoError(t, s.saveVote(configlog.Vote{CanVote: true}))
	require.NoError(t, s.saveVote(vote))
	saved, fault, err := s.load()
	require.NoError(t, err)
	require.NoError(t, fault)
	require.Equal(t, vote, saved.Vote)
	for _, name := range []string{voteFile, documentFile} {
		path := filepath.Join(s.dir, name)
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		for n := 0; n < len(text); n += 3 {
			broken := bytes.Clone(text)
			broken[n] ^= 1
			for _, damaged := range [][]byte{broken, text[:n]} {
				require.NoError(t, os.WriteFile(path, damaged, 0o600))
				saved, fault, err := s.load()
				require.NoError(t, err)
				if fault == nil { // a byte of the head line that has no meaning
					require.Equal(t, vote, saved.Vote)
					continue
				}
				require.False(t, saved.Vote.CanVote, "%s, byte %d", name, n)
			}
		}
		require.NoError(t, os.WriteFile(path, text, 0o600))
	}
}
