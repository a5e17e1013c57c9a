// Command topazlab is the laboratory: it measures the program, and parts of it, against stand-ins of the project's own.
package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"

	"topazfall/internal/lab/soak"
	"topazfall/internal/version"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	os.Exit(exitCode(command().ExecuteContext(ctx)))
}

// The exit codes: a bar that was missed or a run that failed, and a command that cannot be done as it was given.
const (
	exitFailed = 1
	exitUsage  = 2
)

func exitCode(err error) int {
	var usage soak.UsageError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &usage):
		return exitUsage
	}
	return exitFailed
}

func command() *cobra.Command {
	root := &cobra.Command{
		Use:          "topazlab",
		Short:        "Measures topazfall against stand-ins, on loopback only",
		Version:      version.String(),
		SilenceUsage: true,
	}
	root.AddCommand(addressesCommand(), dnsCommand(), settingsCommand(), scaleCommand(), hollowCommand(), soakCommand())
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return soak.UsageError{Err: err} })
	return root
}

// beside is the program of that name in this one's folder, where none is named.
func beside(path *string, name string) error {
	if *path != "" {
		return nil
	}
	self, err := os.Executable()
	*path = filepath.Join(filepath.Dir(self), name)
	return err
}
