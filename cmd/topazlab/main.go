// Command topazlab is the laboratory: it measures the dispatcher, the agent and parts of them against stand-ins for
// clients, workers, discovery and DNS.
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
	os.Exit(exitCode(newRootCommand().ExecuteContext(ctx)))
}

// Exit codes.
const (
	exitFailed = 1 // a bound was missed, or a run failed
	exitUsage  = 2 // the command cannot be run with these arguments
)

// exitCode returns the exit code for the error of a command.
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

// newRootCommand returns the command line with all subcommands.
func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:          "topazlab",
		Short:        "Measures topazfall against stand-ins, on loopback only",
		Version:      version.String(),
		SilenceUsage: true,
	}
	root.AddCommand(newAddressesCommand(), newDNSCommand(), newSettingsCommand(), newScaleCommand(),
		newSimulatedCommand(), newSoakCommand(), newAdmissionCommand())
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return soak.UsageError{Err: err} })
	return root
}

// defaultToSibling sets an empty path to the program of that name in the folder of this program.
func defaultToSibling(path *string, name string) error {
	if *path != "" {
		return nil
	}
	self, err := os.Executable()
	*path = filepath.Join(filepath.Dir(self), name)
	return err
}
