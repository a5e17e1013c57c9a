// Command topazlab is the laboratory: it measures the program, and parts of it, against stand-ins of the project's own.
package main

import (
	"context"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"

	"topazfall/internal/version"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := command().ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}

func command() *cobra.Command {
	root := &cobra.Command{
		Use:          "topazlab",
		Short:        "Measures topazfall against stand-ins, on loopback only",
		Version:      version.String(),
		SilenceUsage: true,
	}
	root.AddCommand(addressesCommand(), dnsCommand(), settingsCommand(), scaleCommand(), hollowCommand())
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
