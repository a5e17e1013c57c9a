package logs

import (
	"log/slog"
	"os"
	"time"
)

// flushTimeout is the time for the last lines to be written when the program ends.
const flushTimeout = 200 * time.Millisecond

// RunProgram runs a program that logs to standard error, and returns its exit status. An error of run is logged.
func RunProgram(run func() error) (status int) {
	w := NewWriter(os.Stderr)
	defer w.Flush(flushTimeout)
	slog.SetDefault(New(w))
	if err := run(); err != nil {
		slog.Error("main", "error", err)
		return 1
	}
	return 0
}
