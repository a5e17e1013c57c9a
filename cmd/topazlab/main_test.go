package main

import (
	"bytes"
	"context"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// A command that cannot be done as it was given ends with 2, and says in one line why.
func TestExitCodes(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "missing")
	for _, args := range [][]string{{"soak", "--seeds", "many"}, {"soak", "--unknown"}, {"soak", "extra"},
		{"soak", "--seeds", "0"}, {"soak", "--program", missing},
		{"soak", "--program", "/bin/true", "--json", filepath.Join(missing, "file")},
		{"soak", "--program", "/bin/true", "--logs", "/proc/none"}} {
		var said bytes.Buffer
		c := command()
		c.SetArgs(args)
		c.SetOut(&said)
		c.SetErr(&said)
		require.Equal(t, exitUsage, exitCode(c.ExecuteContext(context.Background())), args)
		require.Equal(t, 1, bytes.Count(said.Bytes(), []byte("\n")), said.String())
	}
	require.Zero(t, exitCode(nil))
	require.Equal(t, exitFailed, exitCode(context.Canceled))
}
