package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/timestamppb"

	"topazfall"
	"topazfall/internal/control"
	pb "topazfall/internal/control/controlpb"
	"topazfall/internal/decide/sources"
	"topazfall/internal/settings"
)

type fakeHosts struct{}

func (fakeHosts) Now() int64 { return 0 }
func (fakeHosts) Hosts() ([]sources.Host, map[string]string) {
	return []sources.Host{{Entry: sources.Entry{Addr: "10.0.0.1:9000", Worker: topazfall.Worker{ID: "w1.example"}},
		Sources: []string{"srv:x"}}}, map[string]string{"x": "timeout"}
}

// exitCode returns the exit code for an error, as main chooses it.
func exitCode(err error) int {
	var failure operationError
	var partial partialError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &partial):
		return exitPartial
	case errors.As(err, &failure):
		return exitFailure
	}
	return exitUsage
}

func TestCommands(t *testing.T) {
	dir := t.TempDir()
	store, _, err := settings.Open(dir)
	require.NoError(t, err)
	defer store.Close()
	address := "unix:" + filepath.Join(dir, "s")
	ln, err := control.Listen(address)
	require.NoError(t, err)
	defer control.Serve(ln, control.Options{Store: store, Hosts: fakeHosts{}}).Close()
	file := func(text string) string {
		path := filepath.Join(t.TempDir(), "doc.json")
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	valid, invalid := file(`{"sources":{"hold":"60s"}}`), file(`{"sources":{"hold":"-1s","flaps":99}}`)
	for _, test := range []struct {
		args []string
		code int
		out  string
	}{
		{[]string{"settings", "get"}, 0, "{}"},
		{[]string{"settings", "check", valid}, 0, ""},
		{[]string{"settings", "check", invalid}, 1, "sources.hold: -1s is not within 0s to 24h0m0s\nsources.flaps: 99"},
		{[]string{"settings", "diff", valid}, 0, "~ sources.hold: 300s -> 60s"},
		{[]string{"settings", "apply", invalid}, 1, ""},
		{[]string{"settings", "apply", valid}, 0, "revision 1 is in force"},
		{[]string{"settings", "apply", valid, "--from", "0"}, 1, ""},
		{[]string{"settings", "apply", valid, "--from", "1", "-o", "json"}, 0, `"number"`},
		{[]string{"settings", "diff", valid, "-o", "json"}, 0, "[]"},
		{[]string{"settings", "get", "--effective"}, 0, `"drain_every"`},
		{[]string{"settings", "apply", file(`{"sources":{"holds":"1s"}}`)}, 1, ""},
		{[]string{"settings", "apply"}, 2, ""},
		{[]string{"settings", "apply", "/nowhere"}, 2, ""},
		{[]string{"hosts", "-o", "xml"}, 2, ""},
		{[]string{"hosts"}, 0, "srv:x: 1 hosts, timeout"},
		{[]string{"hosts", "-o", "json"}, 0, `"w1.example"`},
		{[]string{"settings", "status"}, 1, ""},
		{[]string{"hosts", "--control", "unix:/nowhere/s"}, 1, ""},
		{[]string{"hosts", "--control", "127.0.0.1:1"}, 2, ""},
	} {
		var out bytes.Buffer
		root := command()
		root.SetOut(&out)
		root.SetErr(&bytes.Buffer{})
		root.SetArgs(append([]string{"--control", address}, test.args...))
		err := root.ExecuteContext(t.Context())
		require.Equal(t, test.code, exitCode(err), "%v: %v", test.args, err)
		require.Contains(t, out.String(), test.out, "%v", test.args)
	}
}

// fakeInstallation is an installation with the given status of its instances. It rejects documents as a follower does.
type fakeInstallation struct{ instances []*pb.Instance }

func (fakeInstallation) Apply(context.Context, *pb.Settings, uint64) (*pb.Revision, error) {
	return nil, control.NotOriginError{Origins: []string{"o1", "o2"}}
}

func (s fakeInstallation) Instances(context.Context) *pb.InstancesResponse {
	return &pb.InstancesResponse{Newest: 7, NewestSince: timestamppb.Now(), Instances: s.instances}
}

func TestInstallationCommands(t *testing.T) {
	dir := t.TempDir()
	store, _, err := settings.Open(dir)
	require.NoError(t, err)
	defer store.Close()
	healthy := &pb.Instance{Name: "o1", Role: "origin", Answered: true, Revision: 7, Since: timestamppb.Now()}
	for i, test := range []struct {
		args      []string
		instances []*pb.Instance
		code      int
		out       string
		err       string
	}{
		{[]string{"settings", "status"}, []*pb.Instance{healthy}, 0, "o1", ""},
		{[]string{"settings", "status", "-o", "json"}, []*pb.Instance{healthy}, 0, `"newest"`, ""},
		{[]string{"settings", "status"},
			[]*pb.Instance{healthy, {Name: "f1", Answered: true, Revision: 5, Behind: 2}}, 3, "f1",
			"f1: 2 revisions behind"},
		{[]string{"settings", "status"}, []*pb.Instance{healthy, {Name: "f2", Fault: "connection refused"}}, 3, "f2",
			"f2: connection refused"},
		{[]string{"settings", "status"},
			[]*pb.Instance{healthy, {Name: "f3", Answered: true, Revision: 7, Fault: "disk"}}, 3, "disk", "f3: disk"},
		{[]string{"settings", "apply", "-", "--from", "0"}, nil, 1, "",
			"not here: this instance follows; apply at one of o1, o2"},
	} {
		address := fmt.Sprintf("unix:%s/%d", dir, i)
		ln, err := control.Listen(address)
		require.NoError(t, err)
		server := control.Serve(ln, control.Options{Store: store, Hosts: fakeHosts{},
			Installation: fakeInstallation{test.instances}})
		var out bytes.Buffer
		root := command()
		root.SetIn(bytes.NewBufferString("{}"))
		root.SetOut(&out)
		root.SetErr(&bytes.Buffer{})
		root.SetArgs(append([]string{"--control", address}, test.args...))
		err = root.ExecuteContext(t.Context())
		require.Equal(t, test.code, exitCode(err), "%v: %v", test.args, err)
		require.Contains(t, out.String(), test.out, "%v", test.args)
		if test.err != "" {
			require.ErrorContains(t, err, test.err)
		}
		server.Close()
	}
}
