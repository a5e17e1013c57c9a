package rig

import (
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazfall/internal/instance"
	"topazfall/internal/lab/discoveryserver"
	"topazfall/internal/lab/program"
)

// The program is this test's own binary, started again: the bare dispatcher.
func TestMain(m *testing.M) {
	if os.Getenv("TOPAZFALL_PLAYED") != "" {
		if instance.Run(nil) != nil {
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

const patience = 20 * time.Second

func start(t *testing.T, names ...string) *Rig {
	list, err := discoveryserver.Start()
	require.NoError(t, err)
	t.Cleanup(list.Close)
	list.Update(discoveryserver.Entry{Host: "h", Dial: "127.0.0.1:9", Site: "hall-a", Class: "small", Share: 1})
	r, err := Start(Options{Dir: t.TempDir(), Names: names, Args: func(Member) ([]string, error) { return nil, nil },
		Program: program.Options{ProgramPath: os.Args[0], Env: []string{"TOPAZFALL_PLAYED=1"}, Discovery: list.Address()}})
	require.NoError(t, err)
	t.Cleanup(r.Close)
	return r
}

func answers(r *Rig, name string) bool {
	c, err := net.DialTimeout("tcp", r.Process(name).Address(), time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	if _, err := c.Write([]byte("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")); err != nil {
		return false
	}
	c.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
	_, err = c.Read(make([]byte, 1))
	return err == nil
}

// A frozen process says nothing and one that is woken goes on; a killed one comes back under its name and address, with
// what it kept or without.
func TestProcesses(t *testing.T) {
	r := start(t, "a", "b", "c")
	require.Equal(t, []string{"a", "b", "c"}, r.Names())
	for _, name := range r.Names() {
		require.True(t, answers(r, name))
	}
	require.NoError(t, r.Freeze("a"))
	require.False(t, answers(r, "a"))
	require.True(t, answers(r, "b"))
	require.NoError(t, r.Thaw("a"))
	require.Eventually(t, func() bool { return answers(r, "a") }, patience, 10*time.Millisecond)

	kept := filepath.Join(r.Member("b").StateDir, "kept")
	require.NoError(t, os.WriteFile(kept, nil, 0o600))
	address := r.Process("b").Address()
	r.Kill("b", "c")
	require.True(t, r.Process("b").HasExited())
	require.NoError(t, r.Restart("b", "c"))
	require.Equal(t, address, r.Process("b").Address())
	require.FileExists(t, kept)
	r.Kill("b")
	require.NoError(t, r.WipeState("b"))
	require.NoError(t, r.Restart("b"))
	require.NoFileExists(t, kept)
	require.True(t, answers(r, "b"))
}

// A second process takes the first one's place under the same address, and the first one ends when it is told to.
func TestReplace(t *testing.T) {
	r := start(t, "a")
	old, err := r.Replace("a")
	require.NoError(t, err)
	require.False(t, old.HasExited())
	require.Equal(t, old.Address(), r.Process("a").Address())
	require.NoError(t, r.Terminate(old))
	require.True(t, answers(r, "a"))
	require.Contains(t, r.Log("a"), "young=here")
}

// A link carries what one member dials to another, and what is cut does not come.
func TestLinks(t *testing.T) {
	r := start(t, "a", "b", "c")
	listener, err := net.Listen("tcp", r.Member("b").PeerListen)
	require.NoError(t, err)
	defer listener.Close()
	came := make(chan string, 1)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			text := make([]byte, 1)
			if _, err := c.Read(text); err == nil {
				came <- string(text)
			}
			c.Close()
		}
	}()
	r.Partition("b", "c")
	c, err := net.Dial("tcp", r.Member("a").PeerLinks["b"])
	require.NoError(t, err)
	defer c.Close()
	c.Write([]byte("1"))
	d, err := net.Dial("tcp", r.Member("c").PeerLinks["b"])
	require.NoError(t, err)
	defer d.Close()
	d.Write([]byte("2"))
	require.Equal(t, "2", <-came, "on the same side of the cut")
	require.Zero(t, r.Link("a", "b").Bytes(0))
	r.Heal()
	require.Equal(t, "1", <-came)
}
