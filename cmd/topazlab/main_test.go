package main

import (
	"bytes"
	"context"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// A command that cannot be run with its arguments exits with 2 and prints the reason in one line.
func TestExitCodes(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "missing")
	for _, args := range [][]string{{"soak", "--seeds", "many"}, {"soak", "--unknown"}, {"soak", "extra"},
		{"soak", "--seeds", "0"}, {"soak", "--program", missing},
		{"soak", "--program", "/bin/true", "--json", filepath.Join(missing, "file")},
		{"soak", "--program", "/bin/true", "--logs", "/proc/none"}, {"admission", "extra"},
		{"admission", "--loads", "high"}, {"admission", "--shapes", "round"}, {"admission", "--cuts", "-1"},
		{"admission", "--length", "1s", "--json", filepath.Join(missing, "file")}} {
		var output bytes.Buffer
		cmd := newRootCommand()
		cmd.SetArgs(args)
		cmd.SetOut(&output)
		cmd.SetErr(&output)
		require.Equal(t, exitUsage, exitCode(cmd.ExecuteContext(context.Background())), args)
		require.Equal(t, 1, bytes.Count(output.Bytes(), []byte("\n")), output.String())
	}
	require.Zero(t, exitCode(nil))
	require.Equal(t, exitFailed, exitCode(context.Canceled))
}
