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

// makeUnusable puts a file in the place of a folder.
func makeUnusable(path string) error {
	if err := os.Rename(path, path+".aside"); err != nil {
		return err
	}
	return os.WriteFile(path, nil, 0o600)
}

func makeUsable(path string) error {
	if err := os.Remove(path); err != nil {
		return err
	}
	return os.Rename(path+".aside", path)
}

func encode(t testing.TB, f *syncpb.Frame) []byte {
	text, err := encodeFrame(f)
	require.NoError(t, err)
	return text
}

func hello(t testing.TB, change func(*syncpb.Hello)) []byte {
	h := &syncpb.Hello{Installation: "test", From: "f1", To: "f0", Region: "r"}
	if change != nil {
		change(h)
	}
	return encode(t, &syncpb.Frame{Content: &syncpb.Frame_Hello{Hello: h}})
}

func message(t testing.TB, body configlog.Body) []byte {
	return encode(t, &syncpb.Frame{Content: &syncpb.Frame_Log{Log: configlog.AppendBody(nil, body)}})
}

func dropped(s *Sync, why DropReason) int64 {
	s.counts.mu.Lock()
	defer s.counts.mu.Unlock()
	return s.counts.dropped[why]
}

// What is not as it should be is dropped and counted, and nothing else changes: the document held, and the connections
// of others.
func TestBadInput(t *testing.T) {
	t.Parallel()
	i := install(t, 1, 2)
	i.apply("o0", "good")
	i.reach("good")
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
	sound := message(t, configlog.Digest{})
	other := encode(t, &syncpb.Frame{Content: &syncpb.Frame_Hello{Hello: &syncpb.Hello{}}})
	unknown := bytes.Clone(sound)
	unknown[lengthBytes+1] = 9 // the version's value
	for _, c := range []struct {
		name string
		text []byte
		why  DropReason
	}{
		{"no hello", sound, ReasonHello},
		{"another installation", hello(t, func(h *syncpb.Hello) { h.Installation = "other" }), ReasonStranger},
		{"nobody on the roster", hello(t, func(h *syncpb.Hello) { h.From = "x" }), ReasonStranger},
		{"for another", hello(t, func(h *syncpb.Hello) { h.To = "o0" }), ReasonStranger},
		{"from itself", hello(t, func(h *syncpb.Hello) { h.From = "f0" }), ReasonStranger},
		{"another region", hello(t, func(h *syncpb.Hello) { h.Region = "s" }), ReasonRegion},
		{"a second hello", append(hello(t, nil), other...), ReasonHello},
		{"too large", append(hello(t, nil), 0xff, 0xff, 0xff, 0xff), ReasonSize},
		{"50,000 entries", append(hello(t, nil), frame(manyText)...), ReasonSize},
		{"cut short", append(hello(t, nil), sound[:len(sound)-1]...), ReasonCut},
		{"no frame", append(hello(t, nil), frame([]byte("\xff\xff"))...), ReasonForm},
		{"an unknown version", append(hello(t, nil), unknown...), ReasonVersion},
		{"a message cut short", append(hello(t, nil), encode(t, &syncpb.Frame{Content: &syncpb.Frame_Log{
			Log: push(configlog.Change{entry("a")})[:20]}})...), ReasonForm},
		{"an entry twice", append(hello(t, nil), encode(t, &syncpb.Frame{Content: &syncpb.Frame_Log{
			Log: push(configlog.Change{entry("a"), entry("a")})}})...), ReasonForm},
		{"a checksum that differs, of one who does not feed it", append(hello(t, nil), encode(t, &syncpb.Frame{
			Content: &syncpb.Frame_Log{Log: push(configlog.Change{entry("a")})}})...), ""},
		{"an origin's word of a follower", append(hello(t, nil), message(t, configlog.Heartbeat{Held: revision})...),
			DropReason(configlog.DropWrongRole)},
	} {
		before := dropped(i.syncs["f0"], c.why)
		conn := dialMember(t, i, "f0")
		conn.SetDeadline(time.Now().Add(patience))
		_, err := conn.Write(c.text)
		if err == nil { // else it was refused before its end
			err = conn.(interface{ CloseWrite() error }).CloseWrite()
		}
		require.NotErrorIs(t, err, os.ErrDeadlineExceeded, c.name)
		_, err = io.Copy(io.Discard, conn) // it is read to its end, or refused
		require.NotErrorIs(t, err, os.ErrDeadlineExceeded, c.name)
		if c.why != "" {
			counted := func() bool { return dropped(i.syncs["f0"], c.why) == before+1 }
			require.Eventually(t, counted, patience, time.Millisecond, c.name)
		}
		r, v := i.targets["f0"].now()
		require.EqualValues(t, 1, r.Number, c.name)
		require.Equal(t, "good", v, c.name)
	}
	i.apply("o0", "after")
	require.Less(t, i.reach("after"), 4*time.Second)
}

// The parent of an instance may say what it likes: a revision that does not make its checksum is not taken, and one
// that is held already, doubled or older, changes nothing.
func TestBadInputOfAParent(t *testing.T) {
	t.Parallel()
	i := install(t, 1, 1)
	i.apply("o0", "good")
	i.reach("good")
	from := hello(t, func(h *syncpb.Hello) { h.From = "o0" })
	held, _ := i.targets["f0"].now()
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
		_, err := conn.Write(append(bytes.Clone(from), message(t, body)...))
		require.NoError(t, err)
		conn.Close()
	}
	i.apply("o0", "after")
	require.Less(t, i.reach("after"), 4*time.Second)
}

// No more connections than the topology needs and some are taken; those that say nothing are closed.
func TestConnectionsAreBounded(t *testing.T) {
	t.Parallel()
	i := install(t, 1, 1)
	i.apply("o0", "w")
	i.reach("w")
	s := i.syncs["f0"]
	for range mostConnections(i.roster, "f0", configlog.FanOut{}) + 5 {
		dialMember(t, i, "f0")
	}
	require.Eventually(t, func() bool { return dropped(s, ReasonConnections) >= 5 }, patience, 5*time.Millisecond)
	i.apply("o0", "x")
	require.Less(t, i.reach("x"), helloTime+4*time.Second)
}

// A socket that a process before has left is replaced, and a file that is none is left alone.
func TestListenAtUsedPath(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	path := filepath.Join(dir, "s")
	first, err := listen("unix:" + path)
	require.NoError(t, err)
	first.(*net.UnixListener).SetUnlinkOnClose(false)
	_, err = listen("unix:" + path)
	require.Error(t, err, "it is in use")
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

// Of what an instance is not there for, no more waits than may.
func TestQueueIsBounded(t *testing.T) {
	t.Parallel()
	o := newOutgoing(Member{Name: "x", Address: "unix:/nowhere/x"}, nil, newCounts())
	for range 3 * queueFrames {
		o.send(make([]byte, 100))
	}
	require.LessOrEqual(t, len(o.frames), queueFrames)
	require.EqualValues(t, 2*queueFrames, o.counts.dropped[ReasonQueue])
	for range 100 {
		o.send(make([]byte, configlog.MaxMessage))
	}
	require.LessOrEqual(t, o.bytes, queueBytes)
}

func FuzzParseFrame(f *testing.F) {
	f.Add(encode(f, &syncpb.Frame{Content: &syncpb.Frame_Log{Log: []byte("x")}})[lengthBytes:])
	f.Add(hello(f, nil)[lengthBytes:])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, text []byte) {
		frame, err := parseFrame(text)
		if err == nil && (frame.Version != FrameVersion || frame.Content == nil) {
			t.Fatal("a frame that is not whole")
		}
	})
}

func TestParseRoster(t *testing.T) {
	t.Parallel()
	const origin = `{"name":"a","address":"127.0.0.1:1","role":"origin"}`
	list := func(members string) string { return `{"installation":"i","members":[` + members + `]}` }
	elsewhere := strings.Replace(origin, "127.0.0.1", "10.0.0.1", 1)
	trusted := strings.Replace(list(elsewhere), "{", `{"trusted_network":true,`, 1)
	for text, want := range map[string]string{
		list(origin):    "",
		trusted:         "",
		list(elsewhere): "trusted",
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

// What is damaged on disk is a vote that is forgotten, never another vote.
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
				if fault == nil { // a letter of the head that says nothing
					require.Equal(t, vote, saved.Vote)
					continue
				}
				require.False(t, saved.Vote.CanVote, "%s, byte %d", name, n)
			}
		}
		require.NoError(t, os.WriteFile(path, text, 0o600))
	}
}
